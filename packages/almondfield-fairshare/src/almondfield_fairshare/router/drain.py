"""Measured rate at which teams' queues drain."""

from almondfield_core.clock import now

__all__ = ["DrainRate"]

SMOOTHING = 0.1
"""Weight of the newest interval in the running mean."""

SHORTEST_S = 0.1
"""Least time that a caller is told to wait, in seconds."""

LONGEST_S = 30.0
"""Most time that a caller is told to wait, in seconds."""

FIRST_INTERVAL_S = 1.0
"""Assumed time between two starts before any is measured, in seconds."""


class DrainRate:
    """Mean time between two starts of each team's requests."""

    def __init__(self) -> None:
        self._last_by_team: dict[str, float] = {}
        self._interval_by_team: dict[str, float] = {}

    def note(self, team: str) -> None:
        """Note that a request of a team starts now."""
        last_s = self._last_by_team.get(team)
        self._last_by_team[team] = now()
        if last_s is None:
            return
        interval_s = now() - last_s
        before_s = self._interval_by_team.get(team, interval_s)
        mean_s = before_s + SMOOTHING * (interval_s - before_s)
        self._interval_by_team[team] = mean_s

    def time_for_s(self, team: str, requests: int) -> float:
        """Return the seconds that a team's waiting requests take to start.

        :param team: name of the team.
        :param requests: requests of the team that wait.
        """
        interval_s = self._interval_by_team.get(team, FIRST_INTERVAL_S)
        return min(max(requests * interval_s, SHORTEST_S), LONGEST_S)
