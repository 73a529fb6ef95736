"""Reporting and issuing of orders on one host."""

import asyncio
from collections.abc import Callable, Mapping

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_daemon.membership import AnnouncedServer, Membership
from almondfield_daemon.orders.issuer import Issuer, OrderControl, OrderStats
from almondfield_daemon.orders.reports import (
    REPORT_REFRESH_S,
    PoolLoad,
    PoolLoads,
    ReportedState,
    ServerReport,
)
from almondfield_daemon.orders.sender import OrderSender

__all__ = ["Orders"]

REPORT_INTERVAL_S = 1.0


class Orders:
    """Reports to the issuer of orders, and runs the issuer while this host leads.

    :param peers: messages to the other hosts.
    :param view: tables and pool leases.
    :param control: the control group.
    :param membership: backend servers that announce themselves to this host, and holds.
    :param sender: sends orders to servers.
    :param settings: settings of this daemon.
    """

    def __init__(
        self,
        peers: Peers,
        view: TableView,
        control: OrderControl,
        membership: Membership,
        sender: OrderSender,
        settings: DaemonSettings,
    ) -> None:
        self._peers = peers
        self._view = view
        self._control = control
        self._membership = membership
        self._sender = sender
        self._settings = settings
        self._reported_state = ReportedState()
        self._issuer: Issuer | None = None
        self._reported_by_server: dict[str, AnnouncedServer] = {}
        self._reported_to = ""
        self._read_waiting: Callable[[], Mapping[str, int]] = dict
        peers.register_handler(ServerReport, self._on_server_report)
        peers.register_handler(PoolLoads, self._on_pool_loads)

    def set_waiting_source(self, read: Callable[[], Mapping[str, int]]) -> None:
        """Set the source of the backlogs of the pools that this host schedules.

        :param read: returns the number of waiting requests by pool.
        """
        self._read_waiting = read

    def stats(self) -> OrderStats:
        """Return the statistics of the running issuer; zeros if this host runs none."""
        return OrderStats(0, 0, 0, 0) if self._issuer is None else self._issuer.stats()

    async def run(self) -> None:
        """Report, and issue orders while this host leads, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._report())
            tasks.create_task(self._issue())

    async def _issue(self) -> None:
        while True:
            if self._control.is_leader:
                self._issuer = Issuer(
                    self._control,
                    self._membership,
                    self._sender,
                    self._reported_state,
                    self._settings,
                )
                await self._issuer.run(lambda: self._view.tables.pools)
                self._issuer = None
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _report(self) -> None:
        while True:
            leader = self._control.leader_host
            if leader != self._reported_to:
                self._reported_by_server.clear()
                self._reported_to = leader
            if leader:
                self._report_servers(leader)
                self._report_loads(leader)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _report_servers(self, leader: str) -> None:
        due = [server for server in self._membership.servers() if self._is_due(server)]
        if not due:
            return
        for server in due:
            self._reported_by_server[server.announcement.name] = server
        announcements = tuple(server.announcement for server in due)
        ages_s = tuple(now() - server.received_s for server in due)
        self._peers.send(leader, ServerReport(announcements, ages_s))

    def _is_due(self, server: AnnouncedServer) -> bool:
        name = server.announcement.name
        before = self._reported_by_server.get(name)
        if before is None or server.received_s - before.received_s >= REPORT_REFRESH_S:
            return True
        if before.received_s == server.received_s:
            return False
        changed = _significant_fields(before.announcement) != _significant_fields(
            server.announcement
        )
        return changed or self._membership.is_held(name)

    def _report_loads(self, leader: str) -> None:
        leases = self._view.lease_by_pool
        loads = tuple(
            PoolLoad(pool, leases[pool].epoch, waiting)
            for pool, waiting in self._read_waiting().items()
            if pool in leases
        )
        if loads:
            self._peers.send(leader, PoolLoads(loads))

    async def _on_server_report(self, sender: str, report: ServerReport) -> None:
        self._reported_state.record_servers(report)

    async def _on_pool_loads(self, sender: str, loads: PoolLoads) -> None:
        self._reported_state.record_loads(loads.loads)


def _significant_fields(announcement: ServerAnnouncement) -> tuple[object, ...]:
    """Return the fields of an announcement whose changes are reported at once."""
    return (
        announcement.incarnation,
        announcement.address,
        announcement.state,
        announcement.model,
        announcement.version,
        announcement.adapters,
        announcement.label_by_name,
    )
