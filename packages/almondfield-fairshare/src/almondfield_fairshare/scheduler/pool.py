"""Scheduler of one pool."""

import asyncio
from collections import Counter

from almondfield_core.clock import now
from almondfield_core.findings import Finding
from almondfield_core.messages import (
    DemandReport,
    ServerAnnouncement,
    ServerSlots,
    SlotGrant,
)
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_core.tables import Pool
from almondfield_fairshare.placement import place_slots
from almondfield_fairshare.registry import PoolServers, RegistryUpdate, ServerOwnership
from almondfield_fairshare.scheduler.router_state import RouterState
from almondfield_fairshare.scheduler.sharing import SlotSharing
from almondfield_fairshare.windows import ReportWindows

__all__ = ["PoolScheduler"]

PLAN_BATCH_S = 0.003
"""Shortest time between two plans, in seconds; it batches reports."""

EARLY_RENEWAL_S = 0.4
"""Remaining lifetime below which a grant is renewed early, in seconds."""

MIN_EXTENSION_S = 0.1
"""Smallest extension for which a grant is renewed early, in seconds."""

SYNCHRONIZE_INTERVAL_S = 0.25
"""Time between two empty grants to a router that is not synchronized, in seconds."""

LOAD_LAG_S = 0.5
"""Time by which the load that a server announces may lag, in seconds."""


class PoolScheduler:
    """Scheduler that grants the slots of one pool while this host holds its lease.

    :param pool: name of the pool.
    :param epoch: epoch of the pool lease.
    :param peers: connection to the routers.
    :param view: tables and leases.
    :param settings: settings of the daemon.
    :param servers: announced servers, which are kept beyond the lease.
    """

    def __init__(
        self,
        pool: str,
        epoch: int,
        peers: Peers,
        view: TableView,
        settings: DaemonSettings,
        servers: PoolServers,
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.grants_sent = 0
        self.findings: tuple[Finding, ...] = ()
        self._peers = peers
        self._view = view
        self._settings = settings
        self._servers = servers
        self._windows = ReportWindows()
        self._sharing = SlotSharing(settings.sharing_policy, self._windows)
        self._router_by_host = {
            host.name: RouterState(host.name, epoch) for host in settings.hosts
        }
        timing = settings.timing
        self._ownership = ServerOwnership(
            pool, epoch == 1, timing.freshness_lease_s + timing.grant_lifetime_s
        )
        self._wake = asyncio.Event()
        self._planned_s = now()
        self._started_s = now()
        self._unreported_by_server: dict[str, int] = {}
        self._usable: dict[str, ServerAnnouncement] = {}

    async def run(self) -> None:
        """Grant slots until cancelled, except while the lease has expired."""
        while True:
            if self._view.pool_lease_left_s(self.pool) > 0:
                self._synchronize_routers()
                self._plan()
            await self._wait_for_work()

    def waiting(self) -> int:
        """Return the number of requests that wait in the live routers."""
        reports = [router.report for router in self._live_routers()]
        return sum(sum(r.waiting_by_team.values()) for r in reports if r)

    def on_report(self, host: str, report: DemandReport) -> None:
        """Process the demand report of a router.

        :param host: name of the router's host.
        :param report: full state of the router.
        """
        router = self._router_by_host.get(host)
        if router is None:
            router = RouterState(host, self.epoch)
            self._router_by_host[host] = router
        idle_before = router.idle_state()
        restarted = router.is_restart(report)
        if not router.store_report(report):
            return
        if report.epoch == self.epoch:
            counters = self._sharing.counters_at(host)
            counters.restore(report.counter_by_team)
            used_s = counters.charge(
                host,
                report.incarnation,
                report.service_by_team,
                report.weight_by_team,
                baseline=not restarted,
            )
            self._windows.record_report(host, report, used_s)
        if (
            idle_before is not None
            and idle_before == router.idle_state()
            and not self._wake.is_set()
        ):
            self._renew(router)
        else:
            self._wake.set()

    def on_registry_update(self, changes: RegistryUpdate) -> None:
        """Process changes of the announced servers.

        :param changes: what the announcements changed.
        """
        for server in changes.newer:
            self._bound_by_load(server)
        if changes.changed:
            self._wake.set()

    def _renew(self, router: RouterState) -> None:
        """Renew the grant of an idle router, if that is due.

        A report without changes needs no plan for all routers.
        """
        slots = router.granted_slots()
        leased = self._view.pool_lease_left_s(self.pool) > 0
        if leased and slots.keys() <= self._usable.keys() and self._renewal_due(router):
            self._send(router, slots, self._usable)

    def _synchronize_routers(self) -> None:
        """Send empty grants to the routers that are not synchronized.

        Each replaces a grant of another scheduler, and the router answers by a report.
        """
        for router in self._router_by_host.values():
            due = now() - router.last_sent_s >= SYNCHRONIZE_INTERVAL_S
            if due and not router.is_synchronized:
                self._send(router, {}, {})

    async def _wait_for_work(self) -> None:
        lifetime_s = self._settings.timing.grant_lifetime_s
        wait_s = min(self._servers.next_timeout_s(), lifetime_s / 4)
        try:
            async with asyncio.timeout(wait_s):
                await self._wake.wait()
            await asyncio.sleep(max(0.0, self._planned_s + PLAN_BATCH_S - now()))
        except TimeoutError:
            pass
        self._wake.clear()

    def _plan(self) -> None:
        """Compute the slots of every router, and send grants that change or are due."""
        row = next((p for p in self._view.tables.pools if p.name == self.pool), None)
        if row is None:
            self._usable = {}
            return
        serving = self._servers.serving()
        allowed = self._ownership.refresh(self._view.tables.pools, serving.values())
        self.findings = self._ownership.findings(row, serving.values())
        usable = {name: serving[name] for name in serving if name in allowed}
        self._usable = usable
        slots_by_server = {
            name: _usable_slots(row, server) for name, server in usable.items()
        }
        live = self._live_routers()
        total = sum(slots_by_server.values())
        free = self._free_slots(slots_by_server)
        target = self._sharing.targets(live, total, free.total(), row.typical_cost)
        self._planned_s = now()
        placed = place_slots(
            target,
            {r.host: r.granted_slots() for r in live},
            {r.host: r.in_flight() for r in live},
            free,
            slots_by_server,
        )
        for router in live:
            slots = placed[router.host]
            if slots != router.granted_slots() or self._renewal_due(router):
                self._send(router, slots, usable)

    def _live_routers(self) -> list[RouterState]:
        """Mark unresponsive routers as lost, and return those that may get slots."""
        for router in self._router_by_host.values():
            silent_s = now() - router.last_seen_s
            if router.report is not None and silent_s > self._loss_timeout_s():
                router.mark_lost()
            router.expire_orphaned()
        return [r for r in self._router_by_host.values() if r.is_synchronized]

    def _loss_timeout_s(self) -> float:
        """Return the seconds after a report by which its grants must have expired."""
        timing = self._settings.timing
        return timing.grant_lifetime_s * (1 + timing.drift_margin)

    def _free_slots(self, slots_by_server: dict[str, int]) -> Counter[str]:
        """Return the slots by server that no router can be using."""
        held: Counter[str] = Counter()
        for router in self._router_by_host.values():
            held.update(router.held_slots())
        if not self._all_synchronized():
            for name, slots in slots_by_server.items():
                self._bound_unreported(name, slots - self._previous_slots_on(name))
                held[name] += self._bound_unreported(
                    name, slots - self._reported_on(name)
                )
        free = {
            name: max(0, slots - held[name]) for name, slots in slots_by_server.items()
        }
        return Counter(free)

    def _bound_by_load(self, server: ServerAnnouncement) -> None:
        """Bound the requests of lost routers on a server by the load that it announces.

        Lost routers start no requests, so the lowest bound seen remains valid.
        """
        likely = sum(
            r.likely_in_flight(server.name) for r in self._router_by_host.values()
        )
        unreported = max(0, server.busy - likely)
        last_seen_s = self._servers.last_seen_s(server.name)
        if last_seen_s >= self._started_s + LOAD_LAG_S:
            self._bound_unreported(server.name, unreported)
        for router in self._router_by_host.values():
            if last_seen_s >= router.lost_s + LOAD_LAG_S:
                router.bound_orphaned(server.name, unreported)

    def _reported_on(self, server: str) -> int:
        """Return the number of requests on a server that routers reported."""
        routers = self._router_by_host.values()
        return sum(router.in_flight().get(server, 0) for router in routers)

    def _previous_slots_on(self, server: str) -> int:
        """Return a server's slots that reporting routers had before this scheduler.

        The previous scheduler granted no slot twice, so no other router had these.
        """
        routers = self._router_by_host.values()
        return sum(router.previous_slots_by_server.get(server, 0) for router in routers)

    def _bound_unreported(self, server: str, upper_bound: int) -> int:
        """Return the upper bound of requests that unreported routers run on a server.

        :param server: name of the server.
        :param upper_bound: new upper bound; it applies only if it is lower.
        """
        before = self._unreported_by_server.get(server, upper_bound)
        self._unreported_by_server[server] = max(0, min(before, upper_bound))
        return self._unreported_by_server[server]

    def _all_synchronized(self) -> bool:
        """Return whether every router has reported to this scheduler what it runs."""
        return all(router.was_synchronized for router in self._router_by_host.values())

    def _renewal_due(self, router: RouterState) -> bool:
        """Return whether a grant's counters are outdated or it expires soon."""
        age_s = now() - router.last_sent_s
        if age_s >= self._windows.window_s(self._sharing.backlogged):
            return True
        extension_s = (
            router.last_seen_s + self._lifetime_s(router) - router.grant_expires_s
        )
        left_s = router.grant_expires_s - now()
        return left_s < EARLY_RENEWAL_S and extension_s > MIN_EXTENSION_S

    def _lifetime_s(self, router: RouterState) -> float:
        """Return the seconds for which a grant is valid after the last report.

        No grant outlives the pool lease, so that none is valid under the next
        scheduler.
        """
        timing = self._settings.timing
        lease_left_s = self._view.pool_lease_left_s(self.pool)
        until_lease_end_s = now() + lease_left_s - router.last_seen_s
        return min(timing.grant_lifetime_s, until_lease_end_s)

    def _send(
        self,
        router: RouterState,
        slots: dict[str, int],
        usable: dict[str, ServerAnnouncement],
    ) -> None:
        servers = tuple(
            ServerSlots(
                name,
                usable[name].incarnation,
                usable[name].address,
                count,
                usable[name].resumes_streams,
            )
            for name, count in slots.items()
        )
        grant = SlotGrant(
            self.pool,
            self.epoch,
            router.next_grant_number(),
            self._lifetime_s(router) if router.report else 0.0,
            self._sharing.backlogged,
            servers,
            self._counters_for(router),
            self._windows.window_s(self._sharing.backlogged),
            router.report.incarnation if router.report else 0,
            router.report.number if router.report else 0,
        )
        router.record_sent(grant)
        self.grants_sent += 1
        self._peers.send(router.host, grant)

    def _counters_for(self, router: RouterState) -> dict[str, float]:
        if router.report is None:
            return {}
        counters = self._sharing.counters_at(router.host)
        return {
            team: round(counters.counter(team) - counters.floor, 4)
            for team, count in router.report.waiting_by_team.items()
            if count
        }


def _usable_slots(pool: Pool, server: ServerAnnouncement) -> int:
    if pool.max_slots_per_server:
        return min(server.slots, pool.max_slots_per_server)
    return server.slots
