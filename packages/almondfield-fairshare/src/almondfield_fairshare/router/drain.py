"""Measured rate at which the queues of teams drain."""

from almondfield_core.clock import now

__all__ = ["DrainRate"]

SMOOTHING = 0.1
"""Weight of the newest interval in the moving average."""

MIN_DRAIN_S = 0.1
"""Lower limit of the estimated drain time, in seconds."""

MAX_DRAIN_S = 30.0
"""Upper limit of the estimated drain time, in seconds."""

FIRST_INTERVAL_S = 1.0
"""Assumed time between two starts before any is measured, in seconds."""


class DrainRate:
    """Moving average of the time between two starts of a team's requests."""

    def __init__(self) -> None:
        self._last_start_by_team: dict[str, float] = {}
        self._interval_by_team: dict[str, float] = {}

    def record_start(self, team: str) -> None:
        """Record that a request of a team starts now."""
        last_s = self._last_start_by_team.get(team)
        self._last_start_by_team[team] = now()
        if last_s is None:
            return
        interval_s = now() - last_s
        before_s = self._interval_by_team.get(team, interval_s)
        mean_s = before_s + SMOOTHING * (interval_s - before_s)
        self._interval_by_team[team] = mean_s

    def drain_time_s(self, team: str, requests: int) -> float:
        """Return the estimated seconds until a team's waiting requests have started.

        Callers get it as the time after which to retry.

        :param team: name of the team.
        :param requests: requests of the team that wait.
        """
        interval_s = self._interval_by_team.get(team, FIRST_INTERVAL_S)
        return min(max(requests * interval_s, MIN_DRAIN_S), MAX_DRAIN_S)
