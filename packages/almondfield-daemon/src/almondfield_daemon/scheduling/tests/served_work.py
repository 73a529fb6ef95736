"""Work that teams asked for and got, second by second."""

from collections import Counter, defaultdict

__all__ = ["ServedWork"]

WINDOW_S = 6
LARGEST_REQUESTS = 3  # by which a team may fall short


class ServedWork:
    """Compares each team with the best served one over windows of six seconds.

    :param largest_work: work of the largest request, in tokens.
    """

    def __init__(self, largest_work):
        self._slack = LARGEST_REQUESTS * largest_work
        self._asked_by_team = defaultdict(Counter)
        self._begun_by_team = defaultdict(Counter)

    def record_asked(self, team, second, work):
        """Record the work of a caller's request, once for all its tries."""
        self._asked_by_team[team][second] += work

    def record_begun(self, team, second, work):
        """Record the work of an answer that begins."""
        self._begun_by_team[team][second] += work

    def shortfalls(self, seconds):
        """Return team, first second, work and owed work of each window below it.

        :param seconds: duration of the load; later seconds are not compared.
        """
        found = []
        for team, asked in self._asked_by_team.items():
            begun = self._begun_by_team[team]
            for first in range(int(seconds) - WINDOW_S + 1):
                window = range(first, first + WINDOW_S)
                owed = sum(min(asked[s], self._best(s)) / 2 for s in window)
                work = sum(begun[s] for s in window)
                if work < owed - self._slack:
                    found.append((team, first, work, owed))
        return found

    def begun_per_s(self, first, last):
        """Return the work of all teams that began in some seconds, by second."""
        seconds = range(first, last + 1)
        begun = self._begun_by_team.values()
        return sum(team[s] for team in begun for s in seconds) / len(seconds)

    def _best(self, second):
        return max(begun[second] for begun in self._begun_by_team.values())
