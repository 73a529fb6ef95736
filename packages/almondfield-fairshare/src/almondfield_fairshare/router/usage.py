"""Usage of a pool by a router: requests in flight, service and cost estimates."""

from collections import Counter

from almondfield_core.clock import now
from almondfield_core.messages import InFlight, SlotRequest

__all__ = ["PoolUsage"]

SMOOTHING = 0.1
"""Weight of the newest request in the moving average of the cost."""


class PoolUsage:
    """Requests in flight and slot-seconds used, by team.

    :param typical_cost_s: first estimate of a request's cost, in slot-seconds.
    """

    def __init__(self, typical_cost_s: float) -> None:
        self.finished = 0
        self.typical_cost_s = typical_cost_s
        self._start_count = 0
        self._last_start_by_server: dict[str, int] = {}
        self._in_flight: Counter[tuple[str, str]] = Counter()
        self._in_flight_by_server: Counter[str] = Counter()
        self._running_by_team: Counter[str] = Counter()
        self._start_time_sum_by_team: dict[str, float] = {}
        self._estimate_sum_by_team: dict[str, float] = {}
        self._finished_s_by_team: dict[str, float] = {}
        self._estimate_by_route: dict[tuple[str, str], float] = {}

    def on_server(self, server: str) -> int:
        """Return the number of requests in flight on a server."""
        return self._in_flight_by_server[server]

    def last_start(self, server: str) -> int:
        """Return the sequence number of the newest start on a server; 0 for none.

        All servers of the pool share the sequence.
        """
        return self._last_start_by_server.get(server, 0)

    def running(self, team: str) -> int:
        """Return the number of a team's requests in flight."""
        return self._running_by_team.get(team, 0)

    def total(self) -> int:
        """Return the number of requests in flight on all servers."""
        return self._in_flight_by_server.total()

    def in_flight(self) -> tuple[InFlight, ...]:
        """Return the requests in flight by server and team."""
        return tuple(
            InFlight(server, team, count)
            for (server, team), count in sorted(self._in_flight.items())
        )

    def estimate(self, request: SlotRequest) -> float:
        """Return the estimated cost of a request, in slot-seconds."""
        route = (request.team, request.route)
        return self._estimate_by_route.get(route, self.typical_cost_s)

    def start(self, server: str, request: SlotRequest) -> float:
        """Count a request as in flight; return its estimated cost."""
        team = request.team
        estimate_s = self.estimate(request)
        self._start_count += 1
        self._last_start_by_server[server] = self._start_count
        self._in_flight[server, team] += 1
        self._in_flight_by_server[server] += 1
        self._running_by_team[team] += 1
        self._start_time_sum_by_team[team] = (
            self._start_time_sum_by_team.get(team, 0.0) + now()
        )
        charged = self._estimate_sum_by_team.get(team, 0.0) + estimate_s
        self._estimate_sum_by_team[team] = charged
        return estimate_s

    def finish(
        self, server: str, request: SlotRequest, started_s: float, estimate_s: float
    ) -> float:
        """Count a request as finished; return its actual cost in slot-seconds.

        :param server: name of the server that ran it.
        :param request: the request.
        :param started_s: time of its start.
        :param estimate_s: cost estimated at its start.
        """
        team = request.team
        cost_s = now() - started_s
        self._decrement(self._in_flight, (server, team))
        self._decrement(self._in_flight_by_server, server)
        self._decrement(self._running_by_team, team)
        self._start_time_sum_by_team[team] -= started_s
        self._estimate_sum_by_team[team] -= estimate_s
        self._finished_s_by_team[team] = (
            self._finished_s_by_team.get(team, 0.0) + cost_s
        )
        self.finished += 1
        route = (team, request.route)
        before_s = self._estimate_by_route.get(route, cost_s)
        self._estimate_by_route[route] = before_s + SMOOTHING * (cost_s - before_s)
        return cost_s

    def service(self, team: str) -> float:
        """Return the slot-seconds of a team so far, running requests included."""
        finished_s = self._finished_s_by_team.get(team, 0.0)
        return finished_s + self._elapsed(team)

    def service_by_team(self) -> dict[str, float]:
        """Return the slot-seconds of every team so far."""
        teams = sorted(self._finished_s_by_team.keys() | self._running_by_team.keys())
        return {team: round(self.service(team), 4) for team in teams}

    def remaining(self, team: str) -> float:
        """Return the estimated slot-seconds that a team's running requests will use."""
        estimates_s = self._estimate_sum_by_team.get(team, 0.0)
        return max(0.0, estimates_s - self._elapsed(team))

    def _elapsed(self, team: str) -> float:
        running = self._running_by_team.get(team, 0)
        if not running:
            return 0.0
        return running * now() - self._start_time_sum_by_team[team]

    @staticmethod
    def _decrement(counts, key) -> None:
        counts[key] -= 1
        if not counts[key]:
            del counts[key]
