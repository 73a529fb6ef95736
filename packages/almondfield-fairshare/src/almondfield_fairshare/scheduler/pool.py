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

BATCH_S = 0.003
"""Least time between two plans, in which reports are gathered, in seconds."""

LEAST_LEFT_S = 0.4
"""Time before the end of a grant from which it is renewed early, in seconds."""

LEAST_GAIN_S = 0.1
"""Shortest extension that is worth an early renewal, in seconds."""

GREETING_S = 0.25
"""Time between two greetings of a router that does not report, in seconds."""

LOAD_LAG_S = 0.5
"""Time by which a server's own load may lag, in seconds."""


class PoolScheduler:
    """Grants the slots of one pool while this host holds its lease.

    :param pool: name of the pool.
    :param epoch: epoch of the pool lease.
    :param peers: messages to the routers.
    :param view: tables and leases.
    :param settings: settings of the daemon.
    :param servers: announced servers, which outlive the lease.
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
        self._begun_s = now()
        self._unknown_by_server: dict[str, int] = {}
        self._usable: dict[str, ServerAnnouncement] = {}

    async def run(self) -> None:
        """Grant slots until cancelled; pauses while the lease has run out."""
        while True:
            if self._view.pool_lease_left_s(self.pool) > 0:
                self._greet_routers()
                self._plan()
            await self._wait_work()

    def waiting(self) -> int:
        """Return the requests that wait in the live routers."""
        reports = [router.report for router in self._live_routers()]
        return sum(sum(r.waiting_by_team.values()) for r in reports if r)

    def take_report(self, host: str, report: DemandReport) -> None:
        """Note the state of a router.

        :param host: name of the router's host.
        :param report: its report.
        """
        router = self._router_by_host.get(host)
        if router is None:
            router = RouterState(host, self.epoch)
            self._router_by_host[host] = router
        rested = router.rest()
        restarted = router.is_restart(report)
        if not router.take(report):
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
            self._windows.take(host, report, used_s)
        if rested is not None and rested == router.rest() and not self._wake.is_set():
            self._renew(router)
        else:
            self._wake.set()

    def on_registry_update(self, changes: RegistryUpdate) -> None:
        """Process changes of the announced servers.

        :param changes: what the announcements changed.
        """
        for server in changes.newer:
            self._settle_unknown(server)
        if changes.changed:
            self._wake.set()

    def _renew(self, router: RouterState) -> None:
        """Send a router at rest its slots again, if that is due.

        A report that changes nothing is no reason to plan for all routers.
        """
        slots = router.granted()
        leased = self._view.pool_lease_left_s(self.pool) > 0
        if leased and slots.keys() <= self._usable.keys() and self._renewal_due(router):
            self._send(router, slots, self._usable)

    def _greet_routers(self) -> None:
        """Ask the routers that follow no grant of ours to drop others and report."""
        for router in self._router_by_host.values():
            due = now() - router.last_sent_s >= GREETING_S
            if due and not router.accounted:
                self._send(router, {}, {})

    async def _wait_work(self) -> None:
        lifetime_s = self._settings.timing.grant_lifetime_s
        wait_s = min(self._servers.next_timeout_s(), lifetime_s / 4)
        try:
            async with asyncio.timeout(wait_s):
                await self._wake.wait()
            await asyncio.sleep(max(0.0, self._planned_s + BATCH_S - now()))
        except TimeoutError:
            pass
        self._wake.clear()

    def _plan(self) -> None:
        """Compute the slots of every router and send what differs or is due."""
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
            name: _slots_of(row, server) for name, server in usable.items()
        }
        live = self._live_routers()
        total = sum(slots_by_server.values())
        free = self._free_slots(slots_by_server)
        target = self._sharing.targets(live, total, free.total(), row.typical_cost)
        self._planned_s = now()
        placed = place_slots(
            target,
            {r.host: r.granted() for r in live},
            {r.host: r.in_flight() for r in live},
            free,
            slots_by_server,
        )
        for router in live:
            slots = placed[router.host]
            if slots != router.granted() or self._renewal_due(router):
                self._send(router, slots, usable)

    def _live_routers(self) -> list[RouterState]:
        """Return the routers that may get slots, and give up the silent ones."""
        for router in self._router_by_host.values():
            silent_s = now() - router.heard_s
            if router.report is not None and silent_s > self._lost_after_s():
                router.note_lost()
            router.forget_left_over()
        return [r for r in self._router_by_host.values() if r.accounted]

    def _lost_after_s(self) -> float:
        """Return the silence after which no grant of a router can hold."""
        timing = self._settings.timing
        return timing.grant_lifetime_s * (1 + timing.drift_margin)

    def _free_slots(self, slots_by_server: dict[str, int]) -> Counter[str]:
        """Return the slots by server that no router may be using."""
        held: Counter[str] = Counter()
        for router in self._router_by_host.values():
            held.update(router.hold())
        if not self._all_accounted():
            for name, slots in slots_by_server.items():
                self._bound_unknown(name, slots - self._earlier_on(name))
                held[name] += self._bound_unknown(name, slots - self._known_on(name))
        free = {
            name: max(0, slots - held[name]) for name, slots in slots_by_server.items()
        }
        return Counter(free)

    def _settle_unknown(self, server: ServerAnnouncement) -> None:
        """Bound what lost routers still run on a server by the load it tells.

        They start nothing any more, so the least that was seen holds.
        """
        likely = sum(r.likely_on(server.name) for r in self._router_by_host.values())
        hidden = max(0, server.busy - likely)
        heard_s = self._servers.last_seen_s(server.name)
        if heard_s >= self._begun_s + LOAD_LAG_S:
            self._bound_unknown(server.name, hidden)
        for router in self._router_by_host.values():
            if heard_s >= router.lost_s + LOAD_LAG_S:
                router.settle_left_over(server.name, hidden)

    def _known_on(self, server: str) -> int:
        """Return the requests on a server that routers reported."""
        routers = self._router_by_host.values()
        return sum(router.in_flight().get(server, 0) for router in routers)

    def _earlier_on(self, server: str) -> int:
        """Return the slots on a server that reporting routers had before.

        The earlier scheduler granted none twice, so no other router had these.
        """
        routers = self._router_by_host.values()
        return sum(router.earlier_by_server.get(server, 0) for router in routers)

    def _bound_unknown(self, server: str, most: int) -> int:
        """Return what routers that have not reported run on a server, at most."""
        before = self._unknown_by_server.get(server, most)
        self._unknown_by_server[server] = max(0, min(before, most))
        return self._unknown_by_server[server]

    def _all_accounted(self) -> bool:
        """Return whether every router has once told this scheduler what it runs."""
        return all(router.accounted_once for router in self._router_by_host.values())

    def _renewal_due(self, router: RouterState) -> bool:
        """Return whether a grant's counters are old or its end is near."""
        age_s = now() - router.last_sent_s
        if age_s >= self._windows.window_s(self._sharing.backlogged):
            return True
        gained_s = router.heard_s + self._lifetime_s(router) - router.granted_until_s
        left_s = router.granted_until_s - now()
        return left_s < LEAST_LEFT_S and gained_s > LEAST_GAIN_S

    def _lifetime_s(self, router: RouterState) -> float:
        """Return how long a grant may last from the sending of the last report.

        No grant outlives the pool lease, so that the next scheduler finds none.
        """
        timing = self._settings.timing
        lease_left_s = self._view.pool_lease_left_s(self.pool)
        until_lease_end_s = now() + lease_left_s - router.heard_s
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
        router.note_sent(grant)
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


def _slots_of(pool: Pool, server: ServerAnnouncement) -> int:
    if pool.max_slots_per_server:
        return min(server.slots, pool.max_slots_per_server)
    return server.slots
