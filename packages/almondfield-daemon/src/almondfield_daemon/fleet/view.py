"""A router's view of control hosts and backend servers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import eliot
from result import Ok

from almondfield_core.clock import now
from almondfield_core.containment import contain_errors
from almondfield_core.ports import Peers
from almondfield_daemon.fleet.change_log import log_changes
from almondfield_daemon.fleet.messages import (
    FleetServer,
    HelloReply,
    RouterHello,
    RouterState,
    ServerUpdate,
)
from almondfield_daemon.fleet.registry import (
    HEARTBEAT_TIMEOUT_S as SERVER_HEARTBEAT_TIMEOUT_S,
)
from almondfield_daemon.fleet.registry import ServerRegistry
from almondfield_daemon.router_addresses import EarlyReports, RouterLoad
from almondfield_daemon.server_limits import ColdServers, NamedCold, NamedLimit

__all__ = ["FleetView"]

HELLO_INTERVAL_S = 1.0  # callers cache a router's address for about 2 s
HELLO_TIMEOUT_S = 0.9  # ends before the next hello
LOAD_CHECK_INTERVAL_S = 0.2  # a fraction of the hello interval
MAX_UNANSWERED = 10  # of one host; the earliest show that messages were lost
HEARTBEAT_TIMEOUT_S = 3.0  # three hellos without a reply


@dataclass(frozen=True)
class _LastReply:
    """The last reply of a control host.

    :ivar reply: the reply, without its servers.
    :ivar received_s: when it was received, in seconds of the loop's clock.
    """

    reply: HelloReply
    received_s: float


class FleetView:
    """Sends hellos to all control hosts and merges the servers that they report.

    :param peers: messages to the other hosts.
    :param hello: the first hello, which describes this router.
    :param seeds: hosts of the control group that the settings name.
    :param on_change: called after the servers changed.
    :param on_control_return: called with a control host that replies again or has
        restarted.
    :param on_limits: called with the limits of servers that a control host reports.
    :param on_cold: called with the cold times that a control host reports, and when it
        was asked, in seconds of the loop's clock.
    :param load: returns the size and load of this router.
    """

    def __init__(
        self,
        peers: Peers,
        hello: RouterHello,
        seeds: tuple[str, ...],
        on_change: Callable[[], None],
        on_control_return: Callable[[str], None] = lambda host: None,
        on_limits: Callable[[tuple[NamedLimit, ...]], None] = lambda limits: None,
        on_cold: Callable[[tuple[NamedCold, ...], float], None] = lambda cold, at_s: (
            None
        ),
        load: Callable[[], RouterLoad] = RouterLoad,
    ) -> None:
        self._peers = peers
        self._hello = hello
        self._seeds = seeds
        self._members: tuple[str, ...] = ()
        self._on_change = on_change
        self._on_control_return = on_control_return
        self._on_limits = on_limits
        self._on_cold = on_cold
        self._load = load
        self._early_reports = EarlyReports()
        self._registry = ServerRegistry()
        self._last_reply_by_host: dict[str, _LastReply] = {}
        self._unresponsive_hosts: set[str] = set()
        # When hellos were sent that no reply, in time or late, has come for.
        self._unanswered_s_by_host: dict[str, set[float]] = {}
        self._last_router_count = 1

    @property
    def cold(self) -> ColdServers:
        """Return which servers are cold."""
        return self._registry.cold

    @property
    def state(self) -> RouterState:
        """Return the state that this router reports to control hosts."""
        return self._hello.state

    def control_hosts(self) -> tuple[str, ...]:
        """Return the known hosts of the control group, without duplicates."""
        reported = [
            host for item in self._recent_replies() for host in item.reply.control_hosts
        ]
        return tuple(dict.fromkeys((*self._members, *reported, *self._seeds)))

    def responsive_control_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the control group that replied recently."""
        cutoff_s = now() - HEARTBEAT_TIMEOUT_S
        return tuple(
            host
            for host in self.control_hosts()
            if (last := self._last_reply_by_host.get(host)) is not None
            and last.received_s > cutoff_s
        )

    def set_control_hosts(self, hosts: tuple[str, ...]) -> None:
        """Set the members of the control group; an empty tuple changes nothing.

        :param hosts: names of their hosts.
        """
        if hosts:
            self._members = hosts

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a reload of the settings.

        :param seeds: hosts of the control group that the settings name.
        """
        self._seeds = seeds

    def router_count(self) -> int:
        """Return the number of routers in the fleet; the largest that was reported.

        Without recent replies it is the last known number. A router that is cut off, or
        late, must not spend the share of all others.
        """
        counts = [item.reply.routers for item in self._recent_replies()]
        return max(counts, default=self._last_router_count)

    def all_servers(self) -> tuple[FleetServer, ...]:
        """Return the servers of all pools, including those that left recently."""
        return self._registry.servers()

    def servers(self, pool: str) -> tuple[FleetServer, ...]:
        """Return the servers of a pool that take new work.

        :param pool: name of the pool.
        """
        return self._registry.pool(pool).serving

    def unusable_servers(self, pool: str) -> frozenset[str]:
        """Return the names of a pool's servers that take no new work.

        :param pool: name of the pool.
        """
        return self._registry.pool(pool).not_serving_names

    def unresponsive_servers(self) -> frozenset[str]:
        """Return the servers that no responsive control host has seen recently."""
        reports = [frozenset(item.reply.silent) for item in self._recent_replies()]
        if not reports:
            return frozenset()
        return frozenset.intersection(*reports)

    def is_current(self) -> bool:
        """Return whether a control host replied within the servers' heartbeat timeout.

        A router that is cut off hears neither of restarts nor of silent servers.
        """
        cutoff_s = now() - SERVER_HEARTBEAT_TIMEOUT_S
        replies = self._last_reply_by_host.values()
        return any(item.received_s >= cutoff_s for item in replies)

    def set_state(self, state: RouterState) -> None:
        """Set the state of this router and report a change to control hosts at once.

        :param state: the new state.
        """
        if state is not self._hello.state:
            self._hello = replace(self._hello, state=state)
            self._tell_control_hosts(self._load())

    async def run(self) -> None:
        """Send hellos to all control hosts until cancelled."""
        self._peers.register_handler(ServerUpdate, self._on_update)
        while True:
            load = self._load()
            self._early_reports.record_hello(load)
            async with asyncio.TaskGroup() as group:
                for host in self.control_hosts():
                    group.create_task(self._send_hello(host, load))
                group.create_task(asyncio.sleep(HELLO_INTERVAL_S))
                group.create_task(self._report_early())
            self._mark_unresponsive_hosts()

    async def _report_early(self) -> None:
        """Report a load that rises by much before the next hello."""
        for _ in range(int(HELLO_INTERVAL_S / LOAD_CHECK_INTERVAL_S) - 1):
            await asyncio.sleep(LOAD_CHECK_INTERVAL_S)
            with contain_errors("early report of the load"):
                load = self._load()
                if self._early_reports.take(load):
                    self._tell_control_hosts(load)

    def _tell_control_hosts(self, load: RouterLoad) -> None:
        hello = _with_load(self._hello, load)
        for host in self.control_hosts():
            self._peers.send(host, hello)

    async def _send_hello(self, host: str, load: RouterLoad) -> None:
        with contain_errors("hello"):
            await self._exchange_hello(host, load)

    async def _exchange_hello(self, host: str, load: RouterLoad) -> None:
        last = self._last_reply_by_host.get(host)
        hello = _with_load(self._hello, load)
        if last is not None:
            reply = last.reply
            hello = replace(
                hello,
                board_start=reply.board_start,
                board_version=reply.board_version,
            )
        sent_s = now()

        def on_late(reply: object) -> None:
            if isinstance(reply, HelloReply):
                self._unanswered_s_by_host.get(host, set()).discard(sent_s)
                self._process_reply(host, reply, sent_s)

        match await self._peers.request(host, hello, HELLO_TIMEOUT_S, on_late):
            case Ok(HelloReply() as reply):
                self._process_reply(host, reply, sent_s)
            case _:
                unanswered_s = self._unanswered_s_by_host.setdefault(host, set())
                if len(unanswered_s) < MAX_UNANSWERED:
                    unanswered_s.add(sent_s)

    def _process_reply(self, host: str, reply: HelloReply, sent_s: float) -> None:
        last = self._last_reply_by_host.get(host)
        if host in self._unresponsive_hosts or last is None:
            self._unresponsive_hosts.discard(host)
            eliot.log_message("control-host:reached", control_host=host)
        without_servers = replace(reply, servers=None, limits=(), cold=())
        self._last_reply_by_host[host] = _LastReply(without_servers, now())
        self._last_router_count = self.router_count()
        has_restarted = last is None or last.reply.board_start != reply.board_start
        # Messages arrive in order: what was sent before and isn't answered is lost.
        unanswered_s = self._unanswered_s_by_host.get(host, set())
        lost_s = {other_s for other_s in unanswered_s if other_s < sent_s}
        unanswered_s -= lost_s
        if has_restarted or lost_s:
            # The servers of the reply count all the same: they aren't sent again.
            with contain_errors("return of a control host"):
                self._on_control_return(host)
        if reply.servers is not None:
            self._merge(reply.servers, host)
        self._on_limits(reply.limits)
        self._on_cold(reply.cold, sent_s)

    async def _on_update(self, sender: str, update: ServerUpdate) -> None:
        self._merge(update.servers, sender)

    def _merge(self, servers: tuple[FleetServer, ...], sender: str) -> None:
        changed = self._registry.merge(servers, sender)
        log_changes(changed, f"told by {sender}")
        if changed:
            self._on_change()

    def _recent_replies(self) -> list[_LastReply]:
        cutoff_s = now() - HEARTBEAT_TIMEOUT_S
        return [
            item
            for item in self._last_reply_by_host.values()
            if item.received_s > cutoff_s
        ]

    def _mark_unresponsive_hosts(self) -> None:
        for host, last in list(self._last_reply_by_host.items()):
            if (
                host in self._unresponsive_hosts
                or now() - last.received_s < HEARTBEAT_TIMEOUT_S
            ):
                continue
            self._unresponsive_hosts.add(host)
            eliot.log_message("control-host:lost", control_host=host)


def _with_load(hello: RouterHello, load: RouterLoad) -> RouterHello:
    return replace(
        hello,
        cores=load.cores,
        connections=load.connections,
        running=load.running,
        loop_delay_s=load.loop_delay_s,
    )
