"""Scheduler of one pool."""

import asyncio
from collections import Counter
from math import isqrt

from almondfield_core.clock import now
from almondfield_core.findings import Finding
from almondfield_core.messages import (
    DemandReport,
    ServerAnnouncement,
    ServerSlots,
    SlotGrant,
)
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings, SharingPolicy
from almondfield_core.tables import Pool

from almondfield_fairshare.allotment import (
    RouterNeed,
    TeamDemand,
    adjust_targets,
    allot_to_teams,
    split_over_routers,
    spread_idle,
)
from almondfield_fairshare.counters import ServiceCounters
from almondfield_fairshare.placement import place_slots
from almondfield_fairshare.registry import News, PoolServers, ServerOwnership
from almondfield_fairshare.scheduler.holds import RouterState
from almondfield_fairshare.windows import ReportWindows

__all__ = ["PoolScheduler"]

BATCH_S = 0.003
"""Least time between two plans, in which reports are gathered, in seconds."""

IDLE_SPREAD_S = 0.1
"""Least time between a grant and the next that only adds idle slots, in seconds."""

RESERVE_PART = 4
"""The scheduler keeps one of so many idle slots for the next router in need."""

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
        self.counters = ServiceCounters()
        self._counters_by_router: dict[str, ServiceCounters] = {}
        self._peers = peers
        self._view = view
        self._settings = settings
        self._servers = servers
        self._windows = ReportWindows()
        self._router_by_host = {
            host.name: RouterState(host.name, epoch) for host in settings.hosts
        }
        self._credit_by_team: dict[str, dict[str, float]] = {}
        timing = settings.timing
        self._ownership = ServerOwnership(
            pool, epoch == 1, timing.freshness_lease_s + timing.grant_lifetime_s
        )
        self._wake = asyncio.Event()
        self._backlogged = False
        self._planned_s = now()
        self._begun_s = now()
        self._unknown_by_server: dict[str, int] = {}

    async def run(self) -> None:
        """Grant slots until cancelled; pauses while the lease has run out."""
        while True:
            if self._view.pool_lease_left_s(self.pool) > 0:
                self._greet_routers()
                self._plan()
            await self._wait_work()

    def take_report(self, host: str, report: DemandReport) -> None:
        """Note the state of a router.

        :param host: name of the router's host.
        :param report: its report.
        """
        router = self._router_by_host.get(host)
        if router is None:
            router = RouterState(host, self.epoch)
            self._router_by_host[host] = router
        restarted = self._is_restart(router, report)
        if not router.take(report):
            return
        if report.epoch == self.epoch:
            counters = self._counters_at(host)
            counters.restore(report.counter_by_team)
            used_s = counters.charge(
                host,
                report.incarnation,
                report.service_by_team,
                report.weight_by_team,
                baseline=not restarted,
            )
            self._windows.take(host, report, used_s)
        self._wake.set()

    def take_news(self, news: News) -> None:
        """Note what servers announced.

        :param news: what the announcements told.
        """
        for server in news.newer:
            self._settle_unknown(server)
        if news.changed:
            self._wake.set()

    def _is_restart(self, router: RouterState, report: DemandReport) -> bool:
        known = router.report
        return known is not None and report.incarnation > known.incarnation

    def _greet_routers(self) -> None:
        """Ask the routers that follow no grant of ours to drop others and report."""
        for router in self._router_by_host.values():
            due = now() - router.last_sent_s >= GREETING_S
            if due and not router.accounted:
                self._send(router, {}, {})

    async def _wait_work(self) -> None:
        lifetime_s = self._settings.timing.grant_lifetime_s
        wait_s = min(self._servers.next_silence_s(), lifetime_s / 4)
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
            return
        serving = self._servers.serving()
        allowed = self._ownership.settle(self._view.tables.pools, serving.values())
        self.findings = self._ownership.findings(row, serving.values())
        usable = {name: serving[name] for name in serving if name in allowed}
        slots_by_server = {
            name: _slots_of(row, server) for name, server in usable.items()
        }
        live = self._live_routers()
        total = sum(slots_by_server.values())
        free = self._free_slots(slots_by_server)
        target = self._targets(live, total, free.total(), row)
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

    def _targets(self, live: list[RouterState], total: int, free: int, row: Pool):
        """Return the slots that each router should have."""
        requests = _requests_by_team(live)
        waiting = {
            team
            for router in live
            for team, count in router.report.waiting_by_team.items()
            if count
        }
        horizon_s = self._windows.mean_cost_s(row.typical_cost)
        if self._settings.sharing_policy == SharingPolicy.PER_ROUTER:
            return self._even_targets(live, total, horizon_s)
        self.counters.set_backlogged(waiting, total * horizon_s)
        demand_by_team = {
            team: TeamDemand(
                sum(by_router.values()),
                self.counters.counter(team),
                self.counters.weight(team),
            )
            for team, by_router in requests.items()
        }
        need = {router.host: 0 for router in live}
        allotted = self._allot(total, demand_by_team, horizon_s)
        for team, slots in allotted.items():
            split = self._split(team, slots, requests[team])
            for host, count in split.items():
                need[host] += count
        wanted = sum(demand.requests for demand in demand_by_team.values())
        self._backlogged = wanted > total
        self._planned_s = now()
        return self._with_idle(live, need, total, free)

    def _counters_at(self, host: str) -> ServiceCounters:
        """Return the counters that a router's teams are compared by."""
        if self._settings.sharing_policy == SharingPolicy.PER_ROUTER:
            return self._counters_by_router.setdefault(host, ServiceCounters())
        return self.counters

    def _even_targets(self, live: list[RouterState], total: int, horizon_s: float):
        """Return an even split, by which each router shares on its own."""
        for router in live:
            waiting = [t for t, n in router.report.waiting_by_team.items() if n]
            counters = self._counters_at(router.host)
            counters.set_backlogged(waiting, total * horizon_s)
        return spread_idle(total, dict.fromkeys((r.host for r in live), 0.0))

    def _allot(self, total, demand_by_team, horizon_s):
        if self._settings.sharing_policy == SharingPolicy.FIRST_COME:
            requests = {team: one.requests for team, one in demand_by_team.items()}
            slots = min(total, sum(requests.values()))
            return split_over_routers(slots, requests, {})
        return allot_to_teams(total, demand_by_team, horizon_s)

    def _split(self, team: str, slots: int, by_router: dict[str, int]):
        """Return a team's slots at each router, and note who missed its share."""
        credit = self._credit_by_team.setdefault(team, {})
        total = sum(by_router.values())
        if slots >= total:
            credit.clear()
            return dict(by_router)
        split = split_over_routers(slots, by_router, credit)
        elapsed_s = min(now() - self._planned_s, 1.0)
        for host in list(credit):
            if host not in by_router:
                del credit[host]
        for host, count in by_router.items():
            missed = slots * count / total - split[host]
            grown = credit.get(host, 0.0) + missed * elapsed_s
            credit[host] = min(1.0, max(-1.0, grown))
        return split

    def _with_idle(self, live, fair, total, free):
        """Return the slots that each router should have, idle ones included."""
        idle = total - sum(fair.values())
        most_spare = idle // max(1, len(live))
        need = {}
        for router in live:
            demand = _demand(router)
            granted = sum(router.granted().values())
            spare = min(most_spare, isqrt(demand) + 1)
            need[router.host] = RouterNeed(granted, fair[router.host], demand, spare)
        target = adjust_targets(total, free, need)
        wanted = sum(max(0, target[r] - one.granted) for r, one in need.items())
        left = max(0, min(free - wanted, total - sum(target.values())))
        given = left - left // RESERVE_PART
        spread = spread_idle(given, self._windows.recent_need(self._due_idle(live)))
        return {host: slots + spread.get(host, 0) for host, slots in target.items()}

    def _due_idle(self, live: list[RouterState]) -> list[str]:
        """Return the routers that have had no grant lately; idle slots can wait."""
        latest_s = now() - IDLE_SPREAD_S
        return [router.host for router in live if router.last_sent_s <= latest_s]

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
        heard_s = self._servers.heard_at_s(server.name)
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
        """Return whether every router has told what it has in flight."""
        return all(router.accounted for router in self._router_by_host.values())

    def _renewal_due(self, router: RouterState) -> bool:
        """Return whether a grant's counters are old or its end is near."""
        age_s = now() - router.last_sent_s
        if age_s >= self._windows.window_s(self._backlogged):
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
            self._backlogged,
            servers,
            self._counters_for(router),
            self._windows.window_s(self._backlogged),
            router.report.incarnation if router.report else 0,
            router.report.number if router.report else 0,
        )
        router.note_sent(grant)
        self.grants_sent += 1
        self._peers.send(router.host, grant)

    def _counters_for(self, router: RouterState) -> dict[str, float]:
        if router.report is None:
            return {}
        counters = self._counters_at(router.host)
        return {
            team: round(counters.counter(team) - counters.floor, 4)
            for team, count in router.report.waiting_by_team.items()
            if count
        }


def _slots_of(pool: Pool, server: ServerAnnouncement) -> int:
    if pool.max_slots_per_server:
        return min(server.slots, pool.max_slots_per_server)
    return server.slots


def _demand(router: RouterState) -> int:
    """Return the requests that wait or run at a router."""
    waiting = sum(router.report.waiting_by_team.values())
    return waiting + sum(entry.count for entry in router.report.in_flight)


def _requests_by_team(live: list[RouterState]) -> dict[str, dict[str, int]]:
    """Return the requests that wait or run, by team and router."""
    requests: dict[str, dict[str, int]] = {}
    for router in live:
        counts = Counter(router.report.waiting_by_team)
        for entry in router.report.in_flight:
            counts[entry.team] += entry.count
        for team, count in counts.items():
            if count:
                requests.setdefault(team, {})[router.host] = count
    return requests
