"""Max-min fair shares of the engines' work among teams over a sliding window."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest

from almondfield_core.clock import now
from almondfield_fairshare.engines.even_share import even_share
from almondfield_fairshare.engines.load import TeamLoad
from almondfield_fairshare.engines.sliding_sum import SlidingSum

__all__ = ["Grant", "TeamLoad", "TeamShares"]

SATURATION_S = 1.0  # engines count as saturated this long after a refusal
REFUSAL_S = 0.5  # long enough for several requests of an overloading team
USABLE_SHARE = 0.85  # of the engines; above it, waits grow beyond the latency targets
MIN_MEASURED_SHARE = 0.5  # less work doesn't show what the engines can do
YIELD_RATIO = 1.5  # of the usages of two teams; smaller differences even out


@dataclass(frozen=True)
class Grant:
    """Work granted to a team.

    :ivar team: name of the team.
    :ivar work: tokens of work.
    :ivar granted_s: when it was granted, in seconds of the loop's clock.
    """

    team: str
    work: float
    granted_s: float


class TeamShares:
    """Demand, granted work and fair share of each team.

    A team whose demand is below an even share gets all of it; the rest is divided
    evenly among the other teams.

    :param window_s: length of the sliding window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._demand_by_team: dict[str, SlidingSum] = {}
        self._granted_by_team: dict[str, SlidingSum] = {}
        self._granted = SlidingSum(window_s)
        self._saturated_until_s = float("-inf")
        self._refusal_by_team: dict[str, tuple[float, float]] = {}

    def record_demand(self, team: str, work: float) -> None:
        """Record work that a team requests.

        :param team: name of the team.
        :param work: tokens of work.
        """
        demand = self._demand_by_team.setdefault(team, SlidingSum(self._window_s))
        demand.add(now(), work)

    def record_grant(self, team: str, work: float) -> Grant:
        """Record work that a team is granted, and return the grant.

        :param team: name of the team.
        :param work: tokens of work.
        """
        at_s = now()
        granted = self._granted_by_team.setdefault(team, SlidingSum(self._window_s))
        granted.add(at_s, work)
        self._granted.add(at_s, work)
        return Grant(team, work, at_s)

    def cancel_grant(self, grant: Grant) -> None:
        """Take back a grant whose work no engine began.

        :param grant: the grant.
        """
        granted = self._granted_by_team.get(grant.team)
        if granted is not None:
            granted.remove(grant.granted_s, grant.work)
        self._granted.remove(grant.granted_s, grant.work)

    def record_refusal(self, team: str, usage: float) -> None:
        """Record that a request of a team was refused.

        :param team: name of the team.
        :param usage: fraction of its fair share that the team has used.
        """
        self._refusal_by_team[team] = (now() + REFUSAL_S, usage)

    def must_yield(self, usage: float) -> bool:
        """Return whether a team with much lower usage was refused recently.

        A refused team within its share counts as having used all of it: it was refused
        because the engines that it can use were full, and idle engines that serve other
        requests do not change that.

        :param usage: fraction of its fair share that the requesting team has used.
        """
        at_s = now()
        return any(
            until_s > at_s and usage > YIELD_RATIO * max(1.0, other_usage)
            for until_s, other_usage in self._refusal_by_team.values()
        )

    def loads(
        self, count: int, counts_by_team: Mapping[str, Mapping[str, int]]
    ) -> tuple[TeamLoad, ...]:
        """Return the loads of the teams with the most demand.

        :param count: number of teams.
        :param counts_by_team: recent decisions, by team.
        """
        demands = {team: item.total() for team, item in self._demand_by_team.items()}
        none = SlidingSum(self._window_s)
        return tuple(
            TeamLoad(
                team,
                round(demands[team]),
                round(self._granted_by_team.get(team, none).total()),
                **counts_by_team.get(team, {}),
            )
            for team in nlargest(count, demands, key=demands.__getitem__)
        )

    def record_saturation(self) -> None:
        """Record that the engines are full: the granted work equals the capacity."""
        self._saturated_until_s = now() + SATURATION_S

    def remove_expired(self, at_s: float) -> None:
        """Drop demand that has left the window; shares count it until then.

        :param at_s: the current time, in seconds of the loop's clock.
        """
        for demand in self._demand_by_team.values():
            demand.total(at_s)

    def remove_idle(self) -> None:
        """Drop teams without work in the window, and expired refusals."""
        for sum_by_team in (self._demand_by_team, self._granted_by_team):
            idle = [team for team, item in sum_by_team.items() if not item.total()]
            for team in idle:
                del sum_by_team[team]
        at_s = now()
        refusals = self._refusal_by_team.items()
        self._refusal_by_team = {t: item for t, item in refusals if item[0] > at_s}

    def usage(self, team: str, work_per_s: float, used_share: float) -> float:
        """Return the fraction of its fair share that a team has used; it may exceed 1.

        :param team: name of the team.
        :param work_per_s: work that all engines do per second; 0 if not known.
        :param used_share: recent part of the engines' scarcer resource that was in use:
            of the time to prefill prompts, or of their slots.
        """
        if work_per_s <= 0:
            return 0.0
        fair_share = self._fair_share(self._capacity(work_per_s, used_share))
        granted = self._granted_by_team.get(team)
        return (granted.total() if granted else 0.0) / fair_share

    def _capacity(self, work_per_s: float, used_share: float) -> float:
        """Return the work that the engines can do in a window.

        The nominal rate is an estimate for a usual mix of prompts. Engines that do more
        are shared by what they can do; those that refuse prompts may do less.
        """
        nominal = work_per_s * self._window_s
        granted = self._granted.total()
        # Extrapolate the granted work to engines that are used more.
        if used_share >= MIN_MEASURED_SHARE:
            usable = USABLE_SHARE * granted / used_share
            if usable >= nominal:
                return usable
        if now() < self._saturated_until_s and used_share > 0:
            return min(nominal, granted / used_share)
        return nominal

    def _fair_share(self, capacity: float) -> float:
        """Return the largest work that one team may have in a window."""
        demands = [item.work for item in self._demand_by_team.values()]
        share = even_share(demands, capacity)
        if share == math.inf:
            # The demand is below the capacity: one team may use all that remains.
            share = capacity - sum(demands) + max(demands, default=0.0)
        return max(share, 1.0)
