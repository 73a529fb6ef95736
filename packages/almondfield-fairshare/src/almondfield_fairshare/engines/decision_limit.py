"""Limit on the prompts that routers ask a busy scheduler to decide on."""

import math
from collections import Counter

from almondfield_core.clock import now
from almondfield_fairshare.engines.even_share import even_share

__all__ = ["DecisionLimit"]

INTERVAL_S = 0.1  # some dozen decisions of a large fleet
MAX_DELAY_S = 0.05  # a small part of the strictest latency target
DRAIN_TIME_S = 0.5  # in which a queue of requests is worked off
MIN_DRAIN_SHARE = 0.3  # of the decisions; routers need some to learn of the limit
MIN_DECIDED_SHARE = 0.25  # of all prompts; a slow link looks like a busy host
CAPACITY_DECAY = 0.95  # in an interval, if fewer decisions are made
INCREASE = 1.05  # of the decisions in an interval, once they are in time
RATE_DECAY = 0.8  # of a team's rate in an interval
MIN_RATE_PER_S = 0.1  # teams with less are forgotten


class DecisionLimit:
    """Largest rate at which each team's prompts are decided on.

    A scheduler that is asked more than it can decide answers all routers too late, and
    most of its decisions are of no use. Routers then ask for a part of a team's prompts
    only. The limit is the same for all teams, however many routers their callers use,
    so that teams with few prompts have all of them decided on.
    """

    def __init__(self) -> None:
        self._limit_per_s = math.inf  # of each team
        self._total_per_s = math.inf
        self._capacity_per_s = 0.0
        self._updated_s = now()
        self._decisions = 0
        self._prompts_by_team: Counter[str] = Counter()
        self._rate_by_team: dict[str, float] = {}

    def record(self, team: str, prompts: int, is_decided: bool = True) -> None:
        """Record a request for a decision on one of a team's prompts.

        :param team: name of the team.
        :param prompts: its prompts since the router last asked for it.
        :param is_decided: whether there is a decision.
        """
        self._decisions += is_decided
        self._prompts_by_team[team] += prompts

    @property
    def is_due(self) -> bool:
        """Return whether the limit is to be updated."""
        return now() - self._updated_s >= INTERVAL_S

    def share_by_team(self) -> dict[str, float]:
        """Return the part of the prompts to ask for, of each team above the limit."""
        limit = self._limit_per_s
        rates = self._rate_by_team.items()
        return {team: limit / rate for team, rate in rates if rate > limit}

    def undecided_per_s_by_team(self) -> dict[str, float]:
        """Return the prompts a second beyond the limit, of each team above it."""
        limit = self._limit_per_s
        rates = self._rate_by_team.items()
        return {team: rate - limit for team, rate in rates if rate > limit}

    def update(self, delay_s: float) -> None:
        """Update the limit.

        :param delay_s: how long requests wait for the scheduler, in seconds.
        """
        elapsed_s = now() - self._updated_s
        decided_per_s = self._decisions / elapsed_s
        self._updated_s = now()
        self._decisions = 0
        self._update_rates(elapsed_s)
        if delay_s > MAX_DELAY_S:
            # Requests wait, so that the decisions are all that this host can make,
            # unless there are fewer requests because of an earlier limit.
            decayed_per_s = CAPACITY_DECAY * self._capacity_per_s
            self._capacity_per_s = max(decided_per_s, decayed_per_s)
            share = max(MIN_DRAIN_SHARE, 1 - delay_s / DRAIN_TIME_S)
            prompts_per_s = sum(self._rate_by_team.values())
            self._total_per_s = max(
                share * min(self._capacity_per_s, prompts_per_s),
                MIN_DECIDED_SHARE * prompts_per_s,
            )
        else:
            self._total_per_s *= INCREASE
        rates = self._rate_by_team.values()
        self._limit_per_s = even_share(rates, self._total_per_s)
        if self._limit_per_s == math.inf:
            self._total_per_s = math.inf
            self._capacity_per_s = 0.0

    def _update_rates(self, elapsed_s: float) -> None:
        for team in self._prompts_by_team.keys() | self._rate_by_team.keys():
            rate = self._prompts_by_team[team] / elapsed_s
            before = self._rate_by_team.get(team, rate)
            self._rate_by_team[team] = RATE_DECAY * before + (1 - RATE_DECAY) * rate
        self._prompts_by_team.clear()
        rates = self._rate_by_team.items()
        self._rate_by_team = {t: r for t, r in rates if r >= MIN_RATE_PER_S}
