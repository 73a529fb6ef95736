"""How long callers have waited, as told by deadlines shorter than the usual one."""

from collections import Counter, deque

__all__ = ["UsualDeadlines"]

REMEMBERED = 100  # requests of a route that decide what is usual
LEAST_SHARE = 0.3  # of them; deadlines that are all different tell nothing
RESOLUTION_S = 0.005  # callers give whole milliseconds


class UsualDeadlines:
    """The deadline that first tries of each route have.

    A caller that comes back after a refusal gives the time that it has left, which is
    less than what it gave at first.
    """

    def __init__(self) -> None:
        self._recent_by_route: dict[str, deque[float]] = {}

    def waited_s(self, route: str, deadline_s: float | None) -> float:
        """Return how long a caller has waited; 0 where its deadline doesn't tell.

        :param route: name of the route.
        :param deadline_s: its deadline in seconds; None for none.
        """
        if deadline_s is None:
            return 0.0
        recent = self._recent_by_route.get(route)
        if recent is None:
            recent = self._recent_by_route[route] = deque(maxlen=REMEMBERED)
        recent.append(deadline_s)
        usual_s, count = Counter(recent).most_common(1)[0]
        if count < LEAST_SHARE * len(recent):
            return 0.0
        waited_s = usual_s - deadline_s
        return waited_s if waited_s > RESOLUTION_S else 0.0
