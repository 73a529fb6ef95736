"""Division among teams of the prompts that a late router passes on."""

from almondfield_core.clock import now
from almondfield_fairshare.engines.even_share import even_share
from almondfield_fairshare.engines.sliding_sum import SlidingSum

__all__ = ["IntakeShares"]

WINDOW_S = 1.0
# Of what was passed on lately; with all of it, a router that is late would stay so.
SHARED_PART = 0.8


class _Team:
    """Prompts of one team within the window."""

    def __init__(self) -> None:
        self.read = SlidingSum(WINDOW_S)
        self.passed_on = SlidingSum(WINDOW_S)


class IntakeShares:
    """Prompts that a router has read and passed on lately, by team.

    A late router passes on less than it reads. A team that has had less than an even
    share of that gets its prompts passed on, whatever else the router's teams send.
    """

    def __init__(self) -> None:
        self._team_by_name: dict[str, _Team] = {}

    def record_read(self, team: str) -> None:
        """Record a prompt that the router has read.

        :param team: name of the team.
        """
        counts = self._team_by_name.get(team)
        if counts is None:
            counts = self._team_by_name[team] = _Team()
        counts.read.add(now(), 1.0)
        # Sums drop what has left the window only when they are asked for.
        counts.read.total()
        counts.passed_on.total()

    def record_passed_on(self, team: str) -> None:
        """Record that the prompt read last isn't refused for the router's delay.

        :param team: name of the team.
        """
        self._team_by_name[team].passed_on.add(now(), 1.0)

    def is_below_share(self, team: str) -> bool:
        """Return whether a team whose prompt was read has had less than its share.

        :param team: name of the team.
        """
        self._remove_idle()
        teams = self._team_by_name.values()
        total = SHARED_PART * sum(item.passed_on.total() for item in teams)
        share = even_share([item.read.total() for item in teams], total)
        return self._team_by_name[team].passed_on.total() < share

    def _remove_idle(self) -> None:
        idle = [name for name, t in self._team_by_name.items() if not t.read.total()]
        for name in idle:
            del self._team_by_name[name]
