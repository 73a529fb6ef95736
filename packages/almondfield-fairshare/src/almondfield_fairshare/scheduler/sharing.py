"""Sharing of a pool's slots between teams and routers."""

from collections import Counter
from math import isqrt

from almondfield_core.clock import now
from almondfield_core.settings import SharingPolicy
from almondfield_fairshare.allocation import (
    RouterNeed,
    TeamDemand,
    adjust_targets,
    allocate_to_teams,
    split_over_routers,
    spread_idle,
)
from almondfield_fairshare.counters import ServiceCounters
from almondfield_fairshare.scheduler.router_state import RouterState
from almondfield_fairshare.windows import ReportWindows

__all__ = ["SlotSharing"]

IDLE_SPREAD_INTERVAL_S = 0.1
"""Shortest time from a grant to one that only adds idle slots, in seconds."""

IDLE_RESERVE_DIVISOR = 4
"""One in this many idle slots stays in reserve for the next router with demand."""

MAX_CREDIT_SLOT_S = 1.0
"""Limit of the credit for a router's missed share, in slot-seconds."""


class SlotSharing:
    """Counters of the teams, and the slots that each router should have.

    :param policy: sharing policy of the slots.
    :param windows: mean cost of the pool and recent demand of its routers.
    :ivar backlogged: whether more requests wait or run than there are slots.
    """

    def __init__(self, policy: SharingPolicy, windows: ReportWindows) -> None:
        self.backlogged = False
        self._policy = policy
        self._windows = windows
        self._counters = ServiceCounters()
        self._counters_by_router: dict[str, ServiceCounters] = {}
        self._credit_by_team: dict[str, dict[str, float]] = {}
        self._planned_s = now()

    def counters_at(self, host: str) -> ServiceCounters:
        """Return the counters by which the teams of a router are scheduled.

        :param host: name of the router's host.
        """
        if self._policy == SharingPolicy.PER_ROUTER:
            return self._counters_by_router.setdefault(host, ServiceCounters())
        return self._counters

    def targets(
        self, live: list[RouterState], total: int, free: int, typical_s: float
    ) -> dict[str, int]:
        """Return the slots that each router should have.

        :param live: routers that may get slots.
        :param total: slots of the pool.
        :param free: slots that no router can be using.
        :param typical_s: first estimate of a request's cost, in slot-seconds.
        """
        horizon_s = self._windows.mean_cost_s(typical_s)
        if self._policy == SharingPolicy.PER_ROUTER:
            return self._even_targets(live, total, horizon_s)
        elapsed_s = min(now() - self._planned_s, 1.0)
        self._planned_s = now()
        requests = _requests_by_team(live)
        waiting = {team for router in live for team in _waiting_teams(router)}
        self._counters.set_backlogged(waiting, total * horizon_s)
        fair = {router.host: 0 for router in live}
        for team, slots in self._allocate(total, requests, horizon_s).items():
            split = self._split(team, slots, requests[team], elapsed_s)
            for host, count in split.items():
                fair[host] += count
        wanted = sum(sum(by_router.values()) for by_router in requests.values())
        self.backlogged = 0 < total < wanted
        return self._add_idle_slots(live, fair, total, free)

    def _even_targets(self, live: list[RouterState], total: int, horizon_s: float):
        """Return an even split; each router shares its slots by its own counters."""
        for router in live:
            counters = self.counters_at(router.host)
            counters.set_backlogged(_waiting_teams(router), total * horizon_s)
        return spread_idle(total, dict.fromkeys((r.host for r in live), 0.0))

    def _allocate(
        self, total: int, requests: dict[str, dict[str, int]], horizon_s: float
    ):
        """Return the slots of each team."""
        wanted = {team: sum(by_router.values()) for team, by_router in requests.items()}
        if self._policy == SharingPolicy.FIRST_COME:
            return split_over_routers(min(total, sum(wanted.values())), wanted, {})
        counters = self._counters
        demand_by_team = {
            team: TeamDemand(count, counters.counter(team), counters.weight(team))
            for team, count in wanted.items()
        }
        return allocate_to_teams(total, demand_by_team, horizon_s)

    def _split(
        self, team: str, slots: int, by_router: dict[str, int], elapsed_s: float
    ) -> dict[str, int]:
        """Return a team's slots at each router, and update the routers' credits."""
        credit = self._credit_by_team.setdefault(team, {})
        total = sum(by_router.values())
        if slots >= total:
            credit.clear()
            return dict(by_router)
        split = split_over_routers(slots, by_router, credit)
        for host in list(credit):
            if host not in by_router:
                del credit[host]
        for host, count in by_router.items():
            missed = slots * count / total - split[host]
            updated = credit.get(host, 0.0) + missed * elapsed_s
            credit[host] = min(MAX_CREDIT_SLOT_S, max(-MAX_CREDIT_SLOT_S, updated))
        return split

    def _add_idle_slots(self, live, fair, total, free):
        """Return the slots that each router should have, including idle ones."""
        idle = total - sum(fair.values())
        max_spare = idle // max(1, len(live))
        need = {}
        for router in live:
            demand = _demand(router)
            granted = sum(router.granted_slots().values())
            spare = min(max_spare, isqrt(demand) + 1)
            need[router.host] = RouterNeed(granted, fair[router.host], demand, spare)
        target = adjust_targets(total, free, need)
        wanted = sum(max(0, target[r] - n.granted) for r, n in need.items())
        left = max(0, min(free - wanted, total - sum(target.values())))
        spread_now = left - left // IDLE_RESERVE_DIVISOR
        spread = spread_idle(
            spread_now, self._windows.recent_demand(self._due_for_idle_slots(live))
        )
        return {host: slots + spread.get(host, 0) for host, slots in target.items()}

    def _due_for_idle_slots(self, live: list[RouterState]) -> list[str]:
        """Return the routers without a recent grant; idle slots are not urgent."""
        latest_s = now() - IDLE_SPREAD_INTERVAL_S
        return [router.host for router in live if router.last_sent_s <= latest_s]


def _waiting_teams(router: RouterState) -> list[str]:
    return [team for team, count in router.report.waiting_by_team.items() if count]


def _demand(router: RouterState) -> int:
    """Return the number of requests that wait or run at a router."""
    waiting = sum(router.report.waiting_by_team.values())
    return waiting + sum(entry.count for entry in router.report.in_flight)


def _requests_by_team(live: list[RouterState]) -> dict[str, dict[str, int]]:
    """Return the number of requests that wait or run, by team and router."""
    requests: dict[str, dict[str, int]] = {}
    for router in live:
        counts = Counter(router.report.waiting_by_team)
        for entry in router.report.in_flight:
            counts[entry.team] += entry.count
        for team, count in counts.items():
            if count:
                requests.setdefault(team, {})[router.host] = count
    return requests
