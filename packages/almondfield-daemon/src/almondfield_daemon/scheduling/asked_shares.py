"""What a router does with the teams' prompts while the scheduler is busy."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_fairshare.engines import PromptShares

__all__ = ["Ask", "AskedShares", "Refuse", "SendUnscheduled"]

LIFETIME_S = 1.0  # without a newer reply; a busy scheduler updates them more often
ALL_ASKED = PromptShares(asked=1.0, unscheduled=0.0)


@dataclass(frozen=True)
class Ask:
    """The scheduler decides on a prompt.

    :ivar prompts: prompts of the team that it is told of, this one included.
    """

    prompts: int


@dataclass(frozen=True)
class SendUnscheduled:
    """The router sends a prompt to an engine of its own choice."""


@dataclass(frozen=True)
class Refuse:
    """The router refuses a prompt, as its team has had its part of the others."""


class AskedShares:
    """Chooses what is done with each prompt, by the teams' shares.

    The limits are those of the scheduler's host, so that they hold for all pools.
    """

    def __init__(self) -> None:
        self._shares_by_team: Mapping[str, PromptShares] = {}
        self._received_s = float("-inf")
        # How much of a prompt is due for each team; the next one is taken at 1.
        self._asked_due_by_team: dict[str, float] = {}
        self._unscheduled_due_by_team: dict[str, float] = {}
        self._prompts_by_team: Counter[str] = Counter()

    def record(self, shares_by_team: Mapping[str, PromptShares]) -> None:
        """Record what a reply of the scheduler says.

        :param shares_by_team: shares of each team of which not all prompts are asked.
        """
        self._shares_by_team = shares_by_team
        self._received_s = now()

    def decide(self, team: str, is_repeat: bool) -> Ask | SendUnscheduled | Refuse:
        """Return what is done with a prompt.

        :param team: name of the team.
        :param is_repeat: whether another attempt at the same request was made before;
            it is always asked for.
        """
        shares = ALL_ASKED
        if now() - self._received_s < LIFETIME_S:
            shares = self._shares_by_team.get(team, ALL_ASKED)
        self._prompts_by_team[team] += 1
        if _is_due(self._asked_due_by_team, team, shares.asked) or is_repeat:
            return Ask(self._prompts_by_team.pop(team))
        if _is_due(self._unscheduled_due_by_team, team, shares.unscheduled):
            return SendUnscheduled()
        return Refuse()


def _is_due(due_by_team: dict[str, float], team: str, share: float) -> bool:
    """Return whether a prompt is one of a team's share, and count it."""
    due = due_by_team.pop(team, 0.0) + share
    if due < 1:
        due_by_team[team] = due
        return False
    if due > 1:
        due_by_team[team] = due - 1
    return True
