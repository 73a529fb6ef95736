"""What a router knows of control hosts and backend servers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import eliot
from result import Ok

from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_daemon.fleet.change_log import log_changes
from almondfield_daemon.fleet.messages import (
    FleetServer,
    HelloReply,
    RouterHello,
    RouterState,
    ServerNews,
    ServerPhase,
)
from almondfield_daemon.fleet.registry import ServerRegistry

__all__ = ["FleetView"]

HELLO_S = 1.0  # callers keep the address of a router for about twice as long
ASK_TIMEOUT_S = 0.9  # ends before the next hello
LOST_S = 3.0  # three hellos without an answer


@dataclass(frozen=True)
class _Followed:
    """What a control host said last.

    :ivar reply: its reply, without servers.
    :ivar heard_s: when it came, in seconds of the loop's clock.
    """

    reply: HelloReply
    heard_s: float


class FleetView:
    """Says hello to every control host and merges what they tell.

    :param peers: messages to the other hosts.
    :param hello: what the router says of itself at its start.
    :param seeds: hosts of the control group that the settings name.
    :param on_change: called after the servers changed.
    """

    def __init__(
        self,
        peers: Peers,
        hello: RouterHello,
        seeds: tuple[str, ...],
        on_change: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._hello = hello
        self._seeds = seeds
        self._members: tuple[str, ...] = ()
        self._on_change = on_change
        self._registry = ServerRegistry()
        self._followed_by_host: dict[str, _Followed] = {}
        self._lost: set[str] = set()

    @property
    def state(self) -> RouterState:
        """Return what this router says of itself."""
        return self._hello.state

    def control_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the control group, as they are known."""
        told = [host for f in self._heard_lately() for host in f.reply.control_hosts]
        return tuple(dict.fromkeys((*self._members, *told, *self._seeds)))

    def learn_control_hosts(self, hosts: tuple[str, ...]) -> None:
        """Take note of the members of the control group.

        :param hosts: their names.
        """
        if hosts:
            self._members = hosts

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on.

        :param seeds: hosts that the settings name now.
        """
        self._seeds = seeds

    def routers(self) -> int:
        """Return how many routers the fleet has, as control hosts count them."""
        counts = [item.reply.routers for item in self._heard_lately()]
        return max(counts, default=1)

    def servers(self, pool: str) -> tuple[FleetServer, ...]:
        """Return the servers of a pool that take new work.

        :param pool: name of the pool.
        """
        return tuple(
            server
            for server in self._registry.servers()
            if server.pool == pool and server.phase is ServerPhase.SERVING
        )

    def unusable_servers(self, pool: str) -> frozenset[str]:
        """Return the names of a pool's servers that take no new work.

        :param pool: name of the pool.
        """
        return frozenset(
            server.name
            for server in self._registry.servers()
            if server.pool == pool and server.phase is not ServerPhase.SERVING
        )

    def silent_servers(self) -> frozenset[str]:
        """Return the names of servers that no control host hears."""
        reports = [frozenset(item.reply.silent) for item in self._heard_lately()]
        if not reports:
            return frozenset()
        return frozenset.intersection(*reports)

    def set_state(self, state: RouterState) -> None:
        """Tell the control hosts at once whether callers are to use this router.

        :param state: what to say from now on.
        """
        if state is not self._hello.state:
            self._hello = replace(self._hello, state=state)
            for host in self.control_hosts():
                self._peers.send(host, self._hello)

    async def run(self) -> None:
        """Say hello to every control host until cancelled."""
        self._peers.listen(ServerNews, self._on_news)
        while True:
            async with asyncio.TaskGroup() as group:
                for host in self.control_hosts():
                    group.create_task(self._say_hello(host))
                group.create_task(asyncio.sleep(HELLO_S))
            self._note_lost()

    async def _say_hello(self, host: str) -> None:
        followed = self._followed_by_host.get(host)
        hello = self._hello
        if followed is not None:
            reply = followed.reply
            hello = replace(
                hello,
                board_start=reply.board_start,
                board_version=reply.board_version,
            )
        match await self._peers.ask(host, hello, ASK_TIMEOUT_S):
            case Ok(HelloReply() as reply):
                self._take(host, reply)
            case _:
                pass

    def _take(self, host: str, reply: HelloReply) -> None:
        if host in self._lost or host not in self._followed_by_host:
            self._lost.discard(host)
            eliot.log_message("control-host:reached", control_host=host)
        kept = replace(reply, servers=None)
        self._followed_by_host[host] = _Followed(kept, now())
        if reply.servers is not None:
            self._merge(reply.servers, host)

    async def _on_news(self, sender: str, news: ServerNews) -> None:
        self._merge(news.servers, sender)

    def _merge(self, servers: tuple[FleetServer, ...], sender: str) -> None:
        changed = self._registry.merge(servers)
        log_changes(changed, f"told by {sender}")
        if changed:
            self._on_change()

    def _heard_lately(self) -> list[_Followed]:
        after_s = now() - LOST_S
        return [f for f in self._followed_by_host.values() if f.heard_s > after_s]

    def _note_lost(self) -> None:
        for host, followed in list(self._followed_by_host.items()):
            if host in self._lost or now() - followed.heard_s < LOST_S:
                continue
            self._lost.add(host)
            eliot.log_message("control-host:lost", control_host=host)
