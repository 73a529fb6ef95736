"""Pace at which a router goes on with its teams' prompts without a scheduler."""

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_fairshare.engines.sliding_sum import SlidingSum
from almondfield_fairshare.engines.team_limits import work_tokens

__all__ = ["TeamPace"]

WINDOW_S = 4.0  # several prompts of most teams, and longer than an election
MIN_MEASURED_S = 1.0  # a shorter time doesn't show a rate
MAX_CREDIT_S = 0.5  # of work at the pace; more would begin at once


class _Pace:
    """Work of one team that has begun, and what is due by its recent rate."""

    def __init__(self) -> None:
        self._begun = SlidingSum(WINDOW_S)
        self._since_s = self._updated_s = now()
        self._credit = 0.0

    def begin(self, work: float) -> None:
        """Record that a prompt has begun."""
        self._update()
        self._begun.add(now(), work)
        self._credit -= work

    def is_due(self) -> bool:
        """Return whether a prompt may begin."""
        self._update()
        return self._credit > 0

    def is_idle(self) -> bool:
        """Return whether no work has begun within the window."""
        return not self._begun.total()

    def _update(self) -> None:
        """Add what has become due since the last update."""
        at_s = now()
        measured_s = min(WINDOW_S, max(MIN_MEASURED_S, at_s - self._since_s))
        per_s = self._begun.total(at_s) / measured_s
        most = MAX_CREDIT_S * per_s
        due = self._credit + per_s * (at_s - self._updated_s)
        self._credit = max(-most, min(most, due))
        self._updated_s = at_s


class TeamPace:
    """Lets each team go on at the rate at which its prompts have begun lately.

    What a scheduler admitted is divided among teams and fits the engines, over all
    routers together. Without one, no router knows what the others begin; each goes on
    with what its teams had, so that neither the number of routers of a team nor the
    number of all routers matters.
    """

    def __init__(self) -> None:
        self._pace_by_team: dict[tuple[str, str], _Pace] = {}
        self._cleaned_s = float("-inf")

    def begin(self, pool: str, team: str, prompt: Prompt) -> None:
        """Record that a prompt has begun, with or without a scheduler.

        :param pool: name of the pool.
        :param team: name of the team.
        :param prompt: the prompt.
        """
        self._remove_idle()
        pace = self._pace_by_team.get((pool, team))
        if pace is None:
            pace = self._pace_by_team[(pool, team)] = _Pace()
        pace.begin(work_tokens(prompt))

    def is_due(self, pool: str, team: str) -> bool:
        """Return whether a prompt of a team may begin without a scheduler.

        :param pool: name of the pool.
        :param team: name of the team.
        """
        pace = self._pace_by_team.get((pool, team))
        return pace is not None and pace.is_due()

    def _remove_idle(self) -> None:
        if now() - self._cleaned_s < WINDOW_S:
            return
        self._cleaned_s = now()
        paces = self._pace_by_team.items()
        self._pace_by_team = {key: p for key, p in paces if not p.is_idle()}
