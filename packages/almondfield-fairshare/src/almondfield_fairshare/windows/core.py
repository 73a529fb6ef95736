"""Report windows from the measured service time of a pool."""

from almondfield_core.messages import DemandReport

__all__ = ["ReportWindows"]

LEAST_WINDOW_S = 0.25
"""Shortest time between two regular reports, in seconds."""

MOST_WINDOW_S = 0.3
"""Longest time between two regular reports, in seconds."""

COST_SHARE = 0.01
"""Report window as a share of the pool's mean cost."""

SMOOTHING = 0.2
"""Weight of the newest value in a running mean."""

REMEMBERED = 500
"""Requests after which the mean cost forgets half of what it is made of."""


class ReportWindows:
    """Mean cost of a pool and recent demand of its routers, as reports tell."""

    def __init__(self) -> None:
        self._last_by_host: dict[str, DemandReport] = {}
        self._need_by_host: dict[str, float] = {}
        self._finished = 0.0
        self._service_s = 0.0

    def take(self, host: str, report: DemandReport, service_s: float) -> None:
        """Note a report.

        :param host: name of the router's host.
        :param report: newest report of that router.
        :param service_s: slot-seconds used since the report before.
        """
        last = self._last_by_host.get(host)
        self._last_by_host[host] = report
        requests = sum(entry.count for entry in report.in_flight)
        requests += sum(report.waiting_by_team.values())
        before = self._need_by_host.get(host, 0.0)
        self._need_by_host[host] = before + SMOOTHING * (requests - before)
        if last is None or last.incarnation != report.incarnation:
            return
        self._finished += report.finished - last.finished
        self._service_s += service_s
        if self._finished > REMEMBERED:
            self._finished /= 2
            self._service_s /= 2

    def mean_cost_s(self, typical_s: float) -> float:
        """Return the mean slot-seconds of a request.

        :param typical_s: first estimate, in seconds.
        """
        return (self._service_s + typical_s) / (self._finished + 1)

    def recent_need(self, hosts) -> dict[str, float]:
        """Return the recent number of requests at each router.

        :param hosts: names of the routers' hosts.
        """
        return {host: self._need_by_host.get(host, 0.0) for host in hosts}

    def window_s(self, backlogged: bool) -> float:
        """Return the seconds between two regular reports.

        :param backlogged: whether work waits that the slots cannot take.
        """
        if not backlogged:
            return MOST_WINDOW_S
        window_s = COST_SHARE * self.mean_cost_s(1.0)
        return min(max(window_s, LEAST_WINDOW_S), MOST_WINDOW_S)
