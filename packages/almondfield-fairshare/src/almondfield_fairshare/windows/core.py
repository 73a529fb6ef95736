"""Report windows by the measured service time of a pool."""

from almondfield_core.messages import DemandReport

__all__ = ["ReportWindows"]

MIN_WINDOW_S = 0.25
"""Shortest time between two regular reports, in seconds."""

MAX_WINDOW_S = 0.3
"""Longest time between two regular reports, in seconds."""

COST_SHARE = 0.01
"""Report window as a share of the mean cost of the pool's requests."""

SMOOTHING = 0.2
"""Weight of the newest value in the moving average of the demand."""

MAX_FINISHED = 500
"""Finished requests after which the weight of all past ones is halved."""


class ReportWindows:
    """Mean request cost of a pool and recent demand of its routers, from reports."""

    def __init__(self) -> None:
        self._last_by_host: dict[str, DemandReport] = {}
        self._demand_by_host: dict[str, float] = {}
        self._finished = 0.0
        self._service_s = 0.0

    def record_report(self, host: str, report: DemandReport, service_s: float) -> None:
        """Record a report.

        :param host: name of the router's host.
        :param report: newest report of that router.
        :param service_s: slot-seconds used since the previous report.
        """
        last = self._last_by_host.get(host)
        self._last_by_host[host] = report
        requests = sum(entry.count for entry in report.in_flight)
        requests += sum(report.waiting_by_team.values())
        previous = self._demand_by_host.get(host, 0.0)
        self._demand_by_host[host] = previous + SMOOTHING * (requests - previous)
        if last is None or last.incarnation != report.incarnation:
            return
        self._finished += report.finished - last.finished
        self._service_s += service_s
        if self._finished > MAX_FINISHED:
            self._finished /= 2
            self._service_s /= 2

    def mean_cost_s(self, typical_s: float) -> float:
        """Return the mean cost of a request in slot-seconds.

        :param typical_s: initial estimate, in slot-seconds.
        """
        return (self._service_s + typical_s) / (self._finished + 1)

    def recent_demand(self, hosts) -> dict[str, float]:
        """Return the smoothed number of requests at each router, by host.

        :param hosts: names of the routers' hosts.
        """
        return {host: self._demand_by_host.get(host, 0.0) for host in hosts}

    def window_s(self, backlogged: bool) -> float:
        """Return the time between two regular reports, in seconds.

        :param backlogged: whether more work waits than the slots can run.
        """
        if not backlogged:
            return MAX_WINDOW_S
        window_s = COST_SHARE * self.mean_cost_s(1.0)
        return min(max(window_s, MIN_WINDOW_S), MAX_WINDOW_S)
