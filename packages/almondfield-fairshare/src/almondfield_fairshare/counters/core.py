"""Service counters that tolerate lost or repeated reports and router restarts."""

from collections.abc import Iterable, Mapping

__all__ = ["ServiceCounters"]


class ServiceCounters:
    """Service that each team has used in a pool, in slot-seconds per weight.

    The counters of teams that do not wait are kept: a short pause neither earns
    credit nor resets the counter.
    """

    def __init__(self) -> None:
        self._counter_by_team: dict[str, float] = {}
        self._weight_by_team: dict[str, float] = {}
        self._totals_by_source: dict[tuple[str, int], dict[str, float]] = {}
        self._backlogged: frozenset[str] = frozenset()
        self._floor = 0.0

    @property
    def floor(self) -> float:
        """Return the lowest counter of a backlogged team; it never decreases."""
        return self._floor

    def counter(self, team: str) -> float:
        """Return the counter of a team, in slot-seconds per weight."""
        return self._counter_by_team.get(team, self._floor)

    def weight(self, team: str) -> float:
        """Return the latest reported weight of a team."""
        return self._weight_by_team.get(team, 1.0)

    def has_totals(self, router: str, incarnation: int) -> bool:
        """Return whether totals of a router incarnation have been received."""
        return (router, incarnation) in self._totals_by_source

    def restore(self, counter_by_team: Mapping[str, float]) -> None:
        """Raise counters to the values that routers got from an earlier scheduler.

        :param counter_by_team: counters relative to that of the lowest backlogged team.
        """
        for team, counter in counter_by_team.items():
            self._counter_by_team[team] = max(counter, self.counter(team))

    def charge(
        self,
        router: str,
        incarnation: int,
        service_by_team: Mapping[str, float],
        weight_by_team: Mapping[str, float],
        baseline: bool,
    ) -> float:
        """Return the growth of a router's totals, after charging it to the teams.

        :param router: name of the router.
        :param incarnation: incarnation of the router.
        :param service_by_team: slot-seconds used since the incarnation began.
        :param weight_by_team: weights of the teams whose weight is not 1.
        :param baseline: whether the first totals of an incarnation are only a baseline,
            because an earlier scheduler has charged them.
        :returns: slot-seconds of all teams.
        """
        total_used = 0.0
        for team in service_by_team:
            self._weight_by_team[team] = weight_by_team.get(team, 1.0)
        self._weight_by_team.update(weight_by_team)
        source = (router, incarnation)
        first = source not in self._totals_by_source
        seen = self._totals_by_source.setdefault(source, {})
        for team, total in service_by_team.items():
            before = total if first and baseline else seen.get(team, 0.0)
            seen[team] = max(total, before)
            used = max(0.0, total - before)
            total_used += used
            charged = self.counter(team) + used / self.weight(team)
            self._counter_by_team[team] = charged
        self._discard_older(router, incarnation)
        return total_used

    def set_backlogged(self, teams: Iterable[str], max_debt: float) -> None:
        """Set which teams wait, and bound the counter of a team that begins to wait.

        :param teams: teams with waiting requests.
        :param max_debt: largest lead over the lowest counter that a team may have when
            it begins to wait, in slot-seconds per weight.
        """
        backlogged = frozenset(teams)
        still_backlogged = backlogged & self._backlogged
        if still_backlogged:
            self._raise_floor(min(self.counter(team) for team in still_backlogged))
        elif backlogged:
            self._raise_floor(min(self.counter(team) for team in backlogged))
        for team in backlogged - self._backlogged:
            highest = self._floor + max_debt
            counter = min(max(self.counter(team), self._floor), highest)
            self._counter_by_team[team] = counter
        self._backlogged = backlogged

    def _raise_floor(self, lowest: float) -> None:
        self._floor = max(self._floor, lowest)

    def _discard_older(self, router: str, incarnation: int) -> None:
        older = [
            source
            for source in self._totals_by_source
            if source[0] == router and source[1] < incarnation
        ]
        for source in older:
            del self._totals_by_source[source]
