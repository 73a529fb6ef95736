"""A control host's service for routers and backend servers."""

import asyncio
import random
from collections.abc import Callable

from almondfield_core.containment import contain_errors
from almondfield_core.findings import Finding
from almondfield_core.ports import Peers
from almondfield_daemon.fleet.change_log import log_changes
from almondfield_daemon.fleet.checking import check_server
from almondfield_daemon.fleet.messages import (
    FleetServer,
    HelloReply,
    RouterHello,
    ServerPhase,
    ServerUpdate,
)
from almondfield_daemon.fleet.registry import ServerRegistry
from almondfield_daemon.fleet.routers import RouterDirectory
from almondfield_daemon.server_limits import ColdServers, NamedCold, NamedLimit

__all__ = ["FleetControl"]

RELAY_INTERVAL_S = 0.5  # shorter than the interval between two announcements
MAX_SERVERS_PER_UPDATE = 500  # a message of about 50 KB


class FleetControl:
    """Accepts announcements and hellos; relays servers to routers and control hosts.

    :param peers: messages to the other hosts.
    :param incarnation: number that increases with each start of this host.
    :param control_hosts: returns the known hosts of the control group.
    :param rng: shuffles the addresses for callers.

    :ivar routers: routers, from their hellos.
    :ivar server_change_callbacks: callbacks for changes of the servers.
    :ivar server_limits: returns the limits of servers that routers are told.
    :ivar cold_servers: returns the cold times that a router is told, by its host and
        the number of routers.
    """

    def __init__(
        self,
        peers: Peers,
        incarnation: int,
        control_hosts: Callable[[], tuple[str, ...]],
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._incarnation = incarnation
        self._control_hosts = control_hosts
        self._registry = ServerRegistry(hears_all=True)
        self._pending_by_name: dict[str, FleetServer] = {}
        self.routers = RouterDirectory(rng)
        self.server_change_callbacks: list[Callable[[], None]] = []
        self.server_limits: Callable[[], tuple[NamedLimit, ...]] = tuple
        self.cold_servers: Callable[[str, int], tuple[NamedCold, ...]] = (
            lambda router, routers: ()
        )

    @property
    def cold(self) -> ColdServers:
        """Return which servers are cold."""
        return self._registry.cold

    def servers(self) -> tuple[FleetServer, ...]:
        """Return all servers, including those that left recently."""
        return self._registry.servers()

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of the routers and servers that are known."""
        return self.routers.data_centres().union(
            [server.data_centre for server in self.servers()]
        )

    def register_handlers(self) -> None:
        """Register the handlers of messages."""
        self._peers.register_handler(RouterHello, self._on_hello)
        self._peers.register_handler(ServerUpdate, self._on_update)

    async def run(self) -> None:
        """Relay announcements to the other control hosts until cancelled."""
        while True:
            await asyncio.sleep(RELAY_INTERVAL_S)
            with contain_errors("relay of announcements"):
                self._relay()

    def _relay(self) -> None:
        self._report_changes(self._registry.expire(), "silence")
        # Sent again each time: a partitioned control host misses the first update.
        not_serving = self._registry.not_serving()
        pending = (*not_serving, *self._pending_by_name.values())
        self._pending_by_name.clear()
        if pending:
            told = self._registry.with_cold_times(pending[:MAX_SERVERS_PER_UPDATE])
            self._notify_control_hosts(ServerUpdate(told))
        self._registry.cold.update()

    def announce(self, server: FleetServer) -> tuple[Finding, ...]:
        """Merge an announcement of a server; notify routers of a change at once.

        :param server: the announcement.
        :returns: a finding for each value that can't be used; the announcement is then
            refused.
        """
        findings = check_server(server)
        if findings:
            return findings
        changed = self._registry.merge((server,), "announcement")
        if not changed:
            self._pending_by_name[server.name] = server
            return ()
        self._report_changes(changed, "announced")
        self._notify_all(ServerUpdate(self._registry.with_cold_times(changed)))
        return ()

    def mark_gone(self, name: str) -> bool:
        """Mark a server as gone; return whether it is registered.

        :param name: identifier of the server.
        """
        changed = self._registry.mark_gone(name)
        if changed:
            self._report_changes(changed, "left")
            self._notify_all(ServerUpdate(changed))
        return self._registry.get(name) is not None

    def _report_changes(self, changed: tuple[FleetServer, ...], cause: str) -> None:
        log_changes(changed, cause)
        if changed:
            for callback in self.server_change_callbacks:
                # The routers have to be notified all the same.
                with contain_errors("change of servers"):
                    callback()

    def _notify_all(self, update: ServerUpdate) -> None:
        self._notify_control_hosts(update)
        for host in self.routers.hosts():
            self._peers.send(host, update)

    def _notify_control_hosts(self, update: ServerUpdate) -> None:
        for host in self._control_hosts():
            if host != self._peers.host:
                self._peers.send(host, update)

    async def _on_hello(self, sender: str, hello: RouterHello) -> HelloReply:
        self.routers.record(sender, hello)
        held = (hello.board_start, hello.board_version)
        is_current = held == (self._incarnation, self._registry.version)
        servers = None
        if not is_current:
            servers = self._registry.with_cold_times(self._registry.servers())
        return HelloReply(
            board_start=self._incarnation,
            board_version=self._registry.version,
            servers=servers,
            silent=self._registry.unresponsive(),
            routers=len(self.routers.hosts()),
            control_hosts=self._control_hosts(),
            limits=self.server_limits(),
            cold=self.cold_servers(sender, len(self.routers.hosts())),
        )

    async def _on_update(self, sender: str, update: ServerUpdate) -> None:
        changed = self._registry.merge(update.servers, sender)
        self._report_changes(changed, f"told by {sender}")
        not_serving = [s for s in changed if s.phase is not ServerPhase.SERVING]
        if not_serving:
            # The sender may not reach every router that this host reaches.
            for host in self.routers.hosts():
                self._peers.send(host, ServerUpdate(tuple(not_serving)))
