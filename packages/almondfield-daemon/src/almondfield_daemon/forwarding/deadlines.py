"""Estimates how long callers have waited, from deadlines below the typical one."""

from collections import Counter, deque

__all__ = ["TypicalDeadlines"]

HISTORY_LENGTH = 100  # latest requests of a route that determine the typical deadline
MIN_TYPICAL_SHARE = 0.3  # of them; if all deadlines differ, none is typical
RESOLUTION_S = 0.005  # callers send whole milliseconds


class TypicalDeadlines:
    """The typical deadline of first attempts, by route.

    A caller that retries after a refusal sends its remaining time, which is less than
    the deadline of its first attempt.
    """

    def __init__(self) -> None:
        self._recent_by_route: dict[str, deque[float]] = {}

    def waited_s(self, route: str, deadline_s: float | None) -> float:
        """Return how long a caller has waited, in seconds; 0 where that is unknown.

        :param route: name of the route.
        :param deadline_s: its deadline in seconds; None for none.
        """
        if deadline_s is None:
            return 0.0
        recent = self._recent_by_route.get(route)
        if recent is None:
            recent = self._recent_by_route[route] = deque(maxlen=HISTORY_LENGTH)
        recent.append(deadline_s)
        typical_s, count = Counter(recent).most_common(1)[0]
        if count < MIN_TYPICAL_SHARE * len(recent):
            return 0.0
        waited_s = typical_s - deadline_s
        return waited_s if waited_s > RESOLUTION_S else 0.0
