"""Service counters that are robust to loss, repeats and router restarts."""

from collections.abc import Iterable, Mapping

__all__ = ["ServiceCounters"]


class ServiceCounters:
    """Slot-seconds per weight that each team has used of a pool.

    Counters of teams that do not wait are kept, so that a short pause neither earns
    credit nor clears what was used.
    """

    def __init__(self) -> None:
        self._counter_by_team: dict[str, float] = {}
        self._weight_by_team: dict[str, float] = {}
        self._seen_by_source: dict[tuple[str, int], dict[str, float]] = {}
        self._backlogged: frozenset[str] = frozenset()
        self._floor = 0.0

    @property
    def floor(self) -> float:
        """Return the lowest counter of a backlogged team, which never goes down."""
        return self._floor

    def counter(self, team: str) -> float:
        """Return the counter of a team, in slot-seconds per weight."""
        return self._counter_by_team.get(team, self._floor)

    def weight(self, team: str) -> float:
        """Return the newest weight of a team."""
        return self._weight_by_team.get(team, 1.0)

    def knows(self, router: str, incarnation: int) -> bool:
        """Return whether a router's totals were seen before."""
        return (router, incarnation) in self._seen_by_source

    def restore(self, counter_by_team: Mapping[str, float]) -> None:
        """Raise counters to what routers heard from an earlier scheduler.

        :param counter_by_team: counters relative to the lowest backlogged team.
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
        """Return what a router's totals grew by, after charging it to the teams.

        :param router: name of the router.
        :param incarnation: incarnation of the router.
        :param service_by_team: slot-seconds since the incarnation began.
        :param weight_by_team: weights of the teams, where they are not 1.
        :param baseline: whether totals seen for the first time were charged before,
            by an earlier scheduler.
        :returns: slot-seconds of all teams.
        """
        all_used = 0.0
        for team in service_by_team:
            self._weight_by_team[team] = weight_by_team.get(team, 1.0)
        self._weight_by_team.update(weight_by_team)
        source = (router, incarnation)
        first = source not in self._seen_by_source
        seen = self._seen_by_source.setdefault(source, {})
        for team, total in service_by_team.items():
            before = total if first and baseline else seen.get(team, 0.0)
            seen[team] = max(total, before)
            used = max(0.0, total - before)
            all_used += used
            charged = self.counter(team) + used / self.weight(team)
            self._counter_by_team[team] = charged
        self._forget_older(router, incarnation)
        return all_used

    def set_backlogged(self, teams: Iterable[str], most_debt: float) -> None:
        """Note which teams wait; a team that begins to wait starts near the lowest.

        :param teams: teams with waiting requests.
        :param most_debt: slot-seconds per weight that a beginning team may be above
            the lowest, at most.
        """
        backlogged = frozenset(teams)
        staying = backlogged & self._backlogged
        if staying:
            self._raise_floor(min(self.counter(team) for team in staying))
        elif backlogged:
            self._raise_floor(min(self.counter(team) for team in backlogged))
        for team in backlogged - self._backlogged:
            highest = self._floor + most_debt
            counter = min(max(self.counter(team), self._floor), highest)
            self._counter_by_team[team] = counter
        self._backlogged = backlogged

    def _raise_floor(self, lowest: float) -> None:
        self._floor = max(self._floor, lowest)

    def _forget_older(self, router: str, incarnation: int) -> None:
        older = [
            source
            for source in self._seen_by_source
            if source[0] == router and source[1] < incarnation
        ]
        for source in older:
            del self._seen_by_source[source]
