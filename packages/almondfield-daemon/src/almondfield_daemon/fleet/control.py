"""What a control host does for routers and backend servers."""

import asyncio
import random
from collections.abc import Callable

from almondfield_core.ports import Peers
from almondfield_daemon.fleet.change_log import log_changes
from almondfield_daemon.fleet.messages import (
    FleetServer,
    HelloReply,
    RouterHello,
    ServerNews,
    ServerPhase,
)
from almondfield_daemon.fleet.registry import ServerRegistry
from almondfield_daemon.fleet.routers import RouterDirectory

__all__ = ["FleetControl"]

SPREAD_S = 0.5  # a fraction of the interval between two announcements
MAX_SERVERS_PER_NEWS = 500  # some 50 KB a message


class FleetControl:
    """Takes announcements and hellos, and tells routers and control hosts of them.

    :param peers: messages to the other hosts.
    :param incarnation: number that grows with each start of this host.
    :param control_hosts: returns the hosts of the control group as they are known.
    :param chance: source of the order of addresses.

    :ivar routers: routers that said hello.
    :ivar on_servers: called after the servers changed.
    """

    def __init__(
        self,
        peers: Peers,
        incarnation: int,
        control_hosts: Callable[[], tuple[str, ...]],
        chance: random.Random,
    ) -> None:
        self._peers = peers
        self._incarnation = incarnation
        self._control_hosts = control_hosts
        self._registry = ServerRegistry()
        self._untold_by_name: dict[str, FleetServer] = {}
        self.routers = RouterDirectory(chance)
        self.on_servers: list[Callable[[], None]] = []

    def servers(self) -> tuple[FleetServer, ...]:
        """Return every server, also those that left a short time ago."""
        return self._registry.servers()

    def listen(self) -> None:
        """Answer messages from now on."""
        self._peers.listen(RouterHello, self._on_hello)
        self._peers.listen(ServerNews, self._on_news)

    async def run(self) -> None:
        """Tell the other control hosts of announcements until cancelled."""
        while True:
            await asyncio.sleep(SPREAD_S)
            self._note(self._registry.forget(), "silence")
            # A control host that was cut off has not heard who left meanwhile.
            leaving = self._registry.leaving()
            untold = (*leaving, *self._untold_by_name.values())
            self._untold_by_name.clear()
            if untold:
                self._tell_control_hosts(ServerNews(untold[:MAX_SERVERS_PER_NEWS]))

    def announce(self, server: FleetServer) -> None:
        """Take what a server says of itself; routers hear of changes at once.

        :param server: its announcement.
        """
        changed = self._registry.merge((server,))
        if not changed:
            self._untold_by_name[server.name] = server
            return
        self._note(changed, "announced")
        self._tell_all(ServerNews(changed))

    def leave(self, name: str) -> bool:
        """Return whether a server that says that it leaves was known.

        :param name: identifier of the server.
        """
        changed = self._registry.leave(name)
        if changed:
            self._note(changed, "left")
            self._tell_all(ServerNews(changed))
        return self._registry.get(name) is not None

    def _note(self, changed: tuple[FleetServer, ...], cause: str) -> None:
        log_changes(changed, cause)
        if changed:
            for callback in self.on_servers:
                callback()

    def _tell_all(self, news: ServerNews) -> None:
        self._tell_control_hosts(news)
        for host in self.routers.hosts():
            self._peers.send(host, news)

    def _tell_control_hosts(self, news: ServerNews) -> None:
        for host in self._control_hosts():
            if host != self._peers.host:
                self._peers.send(host, news)

    async def _on_hello(self, sender: str, hello: RouterHello) -> HelloReply:
        self.routers.note(sender, hello)
        held = (hello.board_start, hello.board_version)
        is_current = held == (self._incarnation, self._registry.version)
        return HelloReply(
            board_start=self._incarnation,
            board_version=self._registry.version,
            servers=None if is_current else self._registry.servers(),
            silent=self._registry.silent(),
            routers=len(self.routers.hosts()),
            control_hosts=self._control_hosts(),
        )

    async def _on_news(self, sender: str, news: ServerNews) -> None:
        changed = self._registry.merge(news.servers)
        self._note(changed, f"told by {sender}")
        leaving = [s for s in changed if s.phase is not ServerPhase.SERVING]
        if leaving:
            # The sender may not reach every router that this host reaches.
            for host in self.routers.hosts():
                self._peers.send(host, ServerNews(tuple(leaving)))
