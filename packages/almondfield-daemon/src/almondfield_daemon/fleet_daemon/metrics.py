"""Metrics of a fleet daemon, and the page that serves them."""

from collections import Counter as Counts
from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from almondfield_daemon.connection_budget import ConnectionBudget
from almondfield_daemon.fleet import FleetControl
from almondfield_daemon.forwarding import RequestReport
from almondfield_daemon.hedging import Hedging
from almondfield_daemon.server_notices import NoticeKind

__all__ = [
    "ConnectionMetrics",
    "ControlMetrics",
    "LoopMetrics",
    "RouterMetrics",
    "build_metrics_app",
]

# Dense around the usual targets of 0.1 to 1 s; up to the usual timeouts.
LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 8.0, 16.0]
# Dense around the time that callers wait for a request to be read.
DELAY_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0]
MILLISECONDS = 1000
MAX_SLOWDOWN_LABELS = 500  # servers that come and go leave their labels behind


class RouterMetrics:
    """Counters and latency histograms of the requests of one router.

    :param notice_count_by_kind: notices of backend servers since the start.
    :param quarantines: returns the number of quarantines of prompt parts.
    :param evacuated: returns the evacuated data centres.
    :param slowdown_by_server: returns how long work takes at each server now, relative
        to the usual time.
    :param hedging: second copies of slow requests; None without them.
    """

    def __init__(
        self,
        notice_count_by_kind: Mapping[NoticeKind, int],
        quarantines: Callable[[], int] = lambda: 0,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        slowdown_by_server: Callable[[], Mapping[str, float]] = dict,
        hedging: Hedging | None = None,
    ) -> None:
        self.registry = Registry()
        self._hedging = hedging
        self._hedges = Counter(
            "almondfield_hedges_total",
            "Second copies of slow requests that have ended, by result",
            registry=self.registry,
        )
        self._hedges_sent = Counter(
            "almondfield_hedges_sent_total",
            "Second copies of slow requests that were sent",
            registry=self.registry,
        )
        self._hedge_refusals = Counter(
            "almondfield_hedge_refusals_total",
            "Slow requests without a second copy, by reason",
            registry=self.registry,
        )
        self._evacuated = evacuated
        self._evacuations = _evacuation_gauge(self.registry)
        self._slowdowns = _SlowdownGauge(self.registry, slowdown_by_server)
        self._quarantines = quarantines
        self._quarantined = _quarantine_gauge(self.registry)
        self._notice_count_by_kind = notice_count_by_kind
        self._notices = Counter(
            "almondfield_server_notices_total",
            "Answers of backend servers that say what further work they take, by kind",
            registry=self.registry,
        )
        self._refusals: Counts[tuple[str, int]] = Counts()
        self._requests = Counter(
            "almondfield_requests_total",
            "Requests by route and status; 0 where the caller left before an answer",
            registry=self.registry,
        )
        self._repeats = Counter(
            "almondfield_repeats_total",
            "Attempts beyond the first of a request, by pool",
            registry=self.registry,
        )
        self._first_part_s = Histogram(
            "almondfield_first_part_seconds",
            "Time to the first part of an answer, by route",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._answer_s = Histogram(
            "almondfield_answer_seconds",
            "Time to the end of an answer, by route",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def observe(self, report: RequestReport) -> None:
        """Count a finished request.

        :param report: outcome of the request.
        """
        route = {"route": report.route}
        self._requests.inc(route | {"status": str(report.status)})
        if report.attempts > 1:
            self._repeats.add({"pool": report.pool}, report.attempts - 1)
        if report.first_ms:
            self._first_part_s.observe(route, report.first_ms / MILLISECONDS)
            self._answer_s.observe(route, report.total_ms / MILLISECONDS)

    def observe_refusal(self, route: str, status: int) -> None:
        """Count a request that was refused by its head.

        :param route: name of its route.
        :param status: status sent to the caller.
        """
        self._refusals[(route, status)] += 1

    def refresh(self) -> None:
        """Update the gauge of quarantines and the counters of notices and refusals."""
        self._quarantined.set({}, self._quarantines())
        self._evacuations.set({}, len(self._evacuated()))
        self._slowdowns.refresh()
        for kind, count in self._notice_count_by_kind.items():
            self._notices.set({"notice": kind.value}, count)
        if self._hedging is not None:
            self._hedges_sent.set({}, self._hedging.sent)
            for result, count in self._hedging.count_by_result.items():
                self._hedges.set({"result": result.value}, count)
            for reason, count in self._hedging.count_by_refusal.items():
                self._hedge_refusals.set({"reason": reason.value}, count)
        # An addition to a counter takes longer than the refusal of a request.
        refusals, self._refusals = self._refusals, Counts()
        for (route, status), count in refusals.items():
            self._requests.add({"route": route, "status": str(status)}, count)


class ControlMetrics:
    """Gauges of the routers and backend servers that one control host tracks.

    :param fleet: routers and backend servers.
    :param quarantines: returns the number of quarantines of prompt parts.
    :param evacuated: returns the evacuated data centres.
    :param slowdown_by_server: returns how long work takes at each engine now, relative
        to the usual time; nothing at a host that doesn't lead.
    """

    def __init__(
        self,
        fleet: FleetControl,
        quarantines: Callable[[], int] = lambda: 0,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        slowdown_by_server: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self.registry = Registry()
        self._evacuated = evacuated
        self._evacuations = _evacuation_gauge(self.registry)
        self._slowdowns = _SlowdownGauge(self.registry, slowdown_by_server)
        self._quarantines = quarantines
        self._quarantined = _quarantine_gauge(self.registry)
        self._fleet = fleet
        self._routers = Gauge(
            "almondfield_routers", "Routers heard lately", registry=self.registry
        )
        self._left_out = Gauge(
            "almondfield_routers_left_out",
            "Overloaded routers that this host does not name to callers now",
            registry=self.registry,
        )
        self._left_out_total = Counter(
            "almondfield_router_overloads_total",
            "Times that a router was left out as it was overloaded",
            registry=self.registry,
        )
        self._servers = Gauge(
            "almondfield_servers", "Backend servers by phase", registry=self.registry
        )
        self._cold_servers = Gauge(
            "almondfield_cold_servers",
            "Backend servers that tolerate only a low rate of requests now",
            registry=self.registry,
        )

    def refresh(self) -> None:
        """Update the gauges."""
        self._quarantined.set({}, self._quarantines())
        self._evacuations.set({}, len(self._evacuated()))
        routers = self._fleet.routers
        self._routers.set({}, len(routers.hosts()))
        self._left_out.set({}, routers.left_out_count())
        self._left_out_total.set({}, routers.left_out_total())
        self._slowdowns.refresh()
        self._cold_servers.set({}, len(self._fleet.cold.cold_names()))
        count_by_phase: dict[str, int] = {}
        for server in self._fleet.servers():
            phase = server.phase.value
            count_by_phase[phase] = count_by_phase.get(phase, 0) + 1
        for phase, count in count_by_phase.items():
            self._servers.set({"phase": phase}, count)


class _SlowdownGauge:
    """Gauge of the slowdown of each server that was ever slower or faster than usual.

    :param registry: registry of the metrics page.
    :param slowdown_by_server: returns the slowdown of each known server.
    """

    def __init__(
        self,
        registry: Registry,
        slowdown_by_server: Callable[[], Mapping[str, float]],
    ) -> None:
        self._slowdown_by_server = slowdown_by_server
        self._names: set[str] = set()
        self._gauge = Gauge(
            "almondfield_server_slowdown",
            "Time that work takes at a server now, as a multiple of the usual time",
            registry=registry,
        )

    def refresh(self) -> None:
        """Update the gauge."""
        slowdowns = self._slowdown_by_server()
        for name, slowdown in slowdowns.items():
            if slowdown != 1 and len(self._names) < MAX_SLOWDOWN_LABELS:
                self._names.add(name)
        for name in self._names:
            self._gauge.set({"server": name}, slowdowns.get(name, 1.0))


class ConnectionMetrics:
    """Counters of the limits that callers have met, and what connections hold.

    :param registry: registry of the metrics page.
    :param budget: counts both.
    """

    def __init__(self, registry: Registry, budget: ConnectionBudget) -> None:
        self._budget = budget
        self._limits = Counter(
            "almondfield_connection_limits_total",
            "Connections refused or closed at a limit, by limit",
            registry=registry,
        )
        self._held_bytes = Gauge(
            "almondfield_connection_held_bytes",
            "Memory of heads, waiting requests and unread answers",
            registry=registry,
        )

    def refresh(self) -> None:
        """Update the counters and the gauge."""
        self._held_bytes.set({}, self._budget.held_bytes)
        for limit, count in self._budget.count_by_limit.items():
            self._limits.set({"limit": limit.value}, count)


class LoopMetrics:
    """Histogram of the delays of the event loop.

    :param registry: registry of the metrics page.
    """

    def __init__(self, registry: Registry) -> None:
        self._delay_s = Histogram(
            "almondfield_loop_delay_seconds",
            "Longest delay of the event loop in each interval",
            buckets=DELAY_BUCKETS_S,
            registry=registry,
        )

    def observe(self, delay_s: float) -> None:
        """Count one interval.

        :param delay_s: longest delay in it, in seconds.
        """
        self._delay_s.observe({}, delay_s)


def _evacuation_gauge(registry: Registry) -> Gauge:
    return Gauge(
        "almondfield_evacuated_data_centres",
        "Evacuated data centres as this host knows them",
        registry=registry,
    )


def _quarantine_gauge(registry: Registry) -> Gauge:
    return Gauge(
        "almondfield_quarantined_parts",
        "Quarantines of requests and prompt parts under which backend servers ended",
        registry=registry,
    )


def build_metrics_app(
    metrics: RouterMetrics | ControlMetrics, connections: ConnectionMetrics
) -> Starlette:
    """Return the ASGI app of the metrics page.

    :param metrics: the metrics of the role.
    :param connections: metrics of the same registry.
    """

    async def render_page(request: Request) -> Response:
        metrics.refresh()
        connections.refresh()
        content, headers = render(metrics.registry, [request.headers.get("accept", "")])
        return Response(content, headers=dict(headers))

    return Starlette(routes=[Route("/metrics", render_page)])
