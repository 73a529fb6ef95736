"""Limit on the prompts that routers begin without a decision of a busy scheduler."""

from collections.abc import Mapping

from almondfield_fairshare.engines.even_share import even_share
from almondfield_fairshare.engines.shares import USABLE_SHARE

__all__ = ["UnscheduledLimit"]

MIN_SHARE = 0.05  # of the prompts that aren't asked for
INCREASE = 1.15  # in an interval, while engines have time to spare
DECREASE = 0.85  # in an interval, while they don't


class UnscheduledLimit:
    """Largest rate at which each team's prompts are begun without a decision.

    The engines may have time for more prompts than a busy scheduler can decide on.
    Routers use that time by themselves; what each team may have of it doesn't depend on
    the number of routers that its callers use.
    """

    def __init__(self) -> None:
        self._total_per_s = 0.0
        self._limit_per_s = 0.0  # of each team

    def update(
        self, undecided_per_s_by_team: Mapping[str, float], used_share: float
    ) -> None:
        """Update the limit at regular intervals.

        :param undecided_per_s_by_team: prompts a second that routers don't ask for.
        :param used_share: part of the engines' scarcer resource that is in use.
        """
        undecided_per_s = sum(undecided_per_s_by_team.values())
        if used_share > USABLE_SHARE:
            self._total_per_s *= DECREASE
        else:
            spare_share = 1 - used_share / USABLE_SHARE
            least_per_s = max(MIN_SHARE, spare_share) * undecided_per_s
            self._total_per_s = max(least_per_s, INCREASE * self._total_per_s)
        self._total_per_s = min(self._total_per_s, undecided_per_s)
        rates = undecided_per_s_by_team.values()
        self._limit_per_s = even_share(rates, self._total_per_s)

    def share(self, undecided_per_s: float) -> float:
        """Return the part of a team's undecided prompts that routers may begin.

        :param undecided_per_s: the team's prompts a second that aren't asked for; 0 if
            it has had its share.
        """
        return min(1.0, self._limit_per_s / undecided_per_s) if undecided_per_s else 0.0
