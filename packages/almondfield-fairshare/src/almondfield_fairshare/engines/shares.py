"""Max-min shares of the engines' work between teams over a sliding window."""

from collections import deque

from almondfield_core.clock import now

__all__ = ["TeamShares"]

FULL_S = 1.0  # engines that refused so lately are full
REFUSED_S = 0.5  # a flooding team asks several times meanwhile
AHEAD = 1.5  # times what another team has had; less evens out by itself


class _Sum:
    """Work of the last seconds.

    :param window_s: length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._items: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, work: float) -> None:
        """Count work done now."""
        self._items.append((now(), work))
        self._total += work

    def total(self) -> float:
        """Return the work within the window."""
        before_s = now() - self._window_s
        while self._items and self._items[0][0] < before_s:
            self._total -= self._items.popleft()[1]
        return max(0.0, self._total)


class TeamShares:
    """What teams asked for and got, and the share that each may have.

    A team that asks for less than an even share gets all; what it leaves is shared
    evenly by the others.

    :param window_s: length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._asked_by_team: dict[str, _Sum] = {}
        self._got_by_team: dict[str, _Sum] = {}
        self._got = _Sum(window_s)
        self._full_until_s = float("-inf")
        self._refused_by_team: dict[str, tuple[float, float]] = {}

    def ask(self, team: str, work: float) -> None:
        """Count work that a team asks for.

        :param team: name of the team.
        :param work: tokens of work.
        """
        self._asked_by_team.setdefault(team, _Sum(self._window_s)).add(work)

    def grant(self, team: str, work: float) -> None:
        """Count work that a team gets.

        :param team: name of the team.
        :param work: tokens of work.
        """
        self._got_by_team.setdefault(team, _Sum(self._window_s)).add(work)
        self._got.add(work)

    def note_refused(self, team: str, used: float) -> None:
        """Note that a request of a team was refused.

        :param team: name of the team.
        :param used: which part of its share it has had.
        """
        self._refused_by_team[team] = (now() + REFUSED_S, used)

    def is_ahead(self, used: float) -> bool:
        """Return whether a team that has had much less was refused lately.

        A team within its share that was refused found no room, which idle engines that
        others use don't change.

        :param used: which part of its share the asking team has had.
        """
        at_s = now()
        return any(
            until_s > at_s and used > AHEAD * max(1.0, other)
            for until_s, other in self._refused_by_team.values()
        )

    def note_full(self) -> None:
        """Note that the engines take no more: what teams get now is all there is."""
        self._full_until_s = now() + FULL_S

    def forget_idle(self) -> None:
        """Forget teams without work in the window, and refusals that are over."""
        for sum_by_team in (self._asked_by_team, self._got_by_team):
            idle = [team for team, item in sum_by_team.items() if not item.total()]
            for team in idle:
                del sum_by_team[team]
        at_s = now()
        refused = self._refused_by_team.items()
        self._refused_by_team = {t: item for t, item in refused if item[0] > at_s}

    def used(self, team: str, work_per_s: float, busy_share: float) -> float:
        """Return which part of its share a team has had; above 1 beyond its share.

        :param team: name of the team.
        :param work_per_s: work of all engines a second; 0 where not known.
        :param busy_share: part of the time for which the engines were busy lately.
        """
        if work_per_s <= 0:
            return 0.0
        capacity = work_per_s * self._window_s
        if now() < self._full_until_s and busy_share > 0:
            # What they would do if they were busy all the time.
            capacity = min(capacity, self._got.total() / busy_share)
        level = self._level(capacity)
        got = self._got_by_team.get(team)
        return (got.total() if got else 0.0) / level

    def _level(self, capacity: float) -> float:
        """Return the most that one team may have in a window."""
        asked = sorted(item.total() for item in self._asked_by_team.values())
        asked = [total for total in asked if total > 0]
        left = capacity
        for place, total in enumerate(asked):
            even = left / (len(asked) - place)
            if total >= even:
                return max(even, 1.0)
            left -= total
        # Nobody asks for more than there is; one team may have all that is left.
        return max(left + (asked[-1] if asked else 0.0), 1.0)
