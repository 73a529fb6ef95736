"""Parts of the teams' prompts that a router asks a busy scheduler for."""

from collections import Counter, defaultdict
from collections.abc import Mapping

from almondfield_core.clock import now

__all__ = ["AskedShares"]

LIFETIME_S = 1.0  # without a newer reply; a busy scheduler updates them more often


class AskedShares:
    """Chooses the prompts that the scheduler is asked for, by the teams' shares.

    The limits are those of the scheduler's host, so that they hold for all pools.
    """

    def __init__(self) -> None:
        self._share_by_team: Mapping[str, float] = {}
        self._received_s = float("-inf")
        # How much of a request is due for each team; the next one is sent at 1.
        self._due_by_team: defaultdict[str, float] = defaultdict(float)
        self._prompts_by_team: Counter[str] = Counter()

    def record(self, share_by_team: Mapping[str, float]) -> None:
        """Record what a reply of the scheduler says.

        :param share_by_team: part of the prompts to ask for, of each team of which that
            isn't all.
        """
        self._share_by_team = share_by_team
        self._received_s = now()

    def ask(self, team: str, is_repeat: bool) -> int:
        """Return the prompts to tell the scheduler of if it is asked; 0 if it is not.

        :param team: name of the team.
        :param is_repeat: whether another attempt at the same request was made before;
            it is always asked for.
        """
        share = 1.0
        if now() - self._received_s < LIFETIME_S:
            share = self._share_by_team.get(team, 1.0)
        self._prompts_by_team[team] += 1
        self._due_by_team[team] += share
        if self._due_by_team[team] < 1 and not is_repeat:
            return 0
        left = self._due_by_team.pop(team) - 1
        if left > 0:
            self._due_by_team[team] = left
        return self._prompts_by_team.pop(team)
