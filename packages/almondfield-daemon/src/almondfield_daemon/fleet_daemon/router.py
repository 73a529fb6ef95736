"""A router of a fleet: forwards callers' requests to backend servers."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import eliot

from almondfield_control.publishing import TableSubscription
from almondfield_core.clock import now
from almondfield_core.settings import FleetSettings
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.fleet import FleetView, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.fleet_daemon.core import FleetHost
from almondfield_daemon.fleet_daemon.metrics import RouterMetrics
from almondfield_daemon.forwarding import (
    AttemptSender,
    ForwardEndpoint,
    Forwarder,
    HeaderCodec,
    RequestCounts,
    RequestReport,
    RetryWindow,
    ServerHomes,
    ServerSelector,
    log_request_counts,
)
from almondfield_daemon.forwarding.stop_limits import StopPlan
from almondfield_daemon.hedging import Hedging
from almondfield_daemon.quarantine import QuarantineClient
from almondfield_daemon.router_addresses import RouterLoad
from almondfield_daemon.scheduling import EngineClient
from almondfield_daemon.server_limits import ColdBound, ServerLimits
from almondfield_daemon.server_notices import ServerNotices
from almondfield_daemon.streams import OriginClient
from almondfield_fairshare.prefix_placement import Placement

__all__ = ["RouterHost"]

LEASE_FRACTION = 0.8  # of the revocation time; the rest covers clock drift
STATE_CHECK_INTERVAL_S = 0.1  # a fraction of the hello interval
ACCEPT_STREAMS_FRACTION = 0.3  # of the grace period; most streams end in the rest
MAX_ACCEPT_STREAMS_S = 3.0  # callers know by then that this router has left
ACCEPT_ALL_FRACTION = 0.6  # of the grace period; callers may cache the address
# Of the grace period; the rest is for last answers and for the process to exit.
DRAIN_FRACTION = 0.9
CALLER_DESCRIPTOR_FRACTION = 0.5  # the rest is for servers, hosts and new connections
BODY_MEMORY_FRACTION = 0.2  # the process uses a sixth, other buffers the rest
ANSWER_MEMORY_FRACTION = 1 / 16  # for answers that are held until they are complete
# Some iterations of a busy event loop accept as many. A caller whose connection would
# wait longer connects to another router.
CALLER_BACKLOG = 128
MAX_ATTEMPTS_PER_MS = 1000  # far above what one router makes
MS_PER_S = 1000


class RouterHost(FleetHost):
    """One router.

    :param settings: settings of the daemon.
    :param settings_path: settings file.
    :param started_unix_s: calendar time of the start, in seconds since 1970.
    :param codec: reads and writes the headers of callers and backend servers.
    """

    def __init__(
        self,
        settings: FleetSettings,
        settings_path: Path,
        started_unix_s: float,
        codec: HeaderCodec,
    ) -> None:
        super().__init__(settings, settings_path, started_unix_s)
        hello = RouterHello(
            settings.data_centre,
            settings.region,
            settings.caller_address,
            RouterState.STARTING,
        )
        self.view = FleetView(
            self.peers,
            hello,
            settings.seeds,
            self._on_server_change,
            self._on_control_return,
            lambda limits: self._limits.learn(limits),
            lambda cold, asked_s: self._limits.learn_cold(cold, asked_s),
            self._read_load,
        )
        leader = self.leader_client(self.view.control_hosts)
        self._limits = ServerLimits(
            self.peers,
            lambda: leader.last_leader,
            self.view.router_count,
            self.view.cold,
            ColdBound(settings.cold_overrun, settings.cold_slack),
        )
        self._origins = OriginClient(
            self.peers,
            self.view.control_hosts,
            self.view.responsive_control_hosts,
            lambda: leader.last_leader,
        )
        self.subscription = TableSubscription(
            self.peers,
            leader,
            LEASE_FRACTION * settings.revocation_s,
            self.view.set_control_hosts,
        )
        self.view.cold.pool_of = lambda name: self.subscription.index.pool_by_name.get(
            name
        )
        self.subscription.evacuations.end_callbacks.append(self.view.cold.count_as_cold)
        self._backends = HttpBackends(settings.daemon_settings())
        self._placement = placement = Placement(
            random.Random(f"{settings.address}/{self.incarnation}")
        )
        engines = EngineClient(
            self.peers,
            lambda: leader.last_leader,
            self.incarnation * MAX_ATTEMPTS_PER_MS,
            self._limits.report_all,
        )
        self._quarantine = QuarantineClient(
            self.peers,
            self.view.control_hosts,
            self.view.responsive_control_hosts,
            self._backends.accepts_connection,
        )
        self._counts = RequestCounts()
        notices = ServerNotices()
        self._servers = ServerSelector(
            self.view,
            placement,
            settings.data_centre,
            engines,
            self.host_delay,
            notices,
            self._limits,
            self._counts,
            self._quarantine,
            self.evacuated_data_centres,
            ServerHomes(
                {
                    settings.data_centre: settings.region,
                    **settings.region_by_data_centre,
                }
            ),
        )
        attempts = AttemptSender(
            self._backends,
            codec,
            self.host_delay,
            settings.answers.max_discarded_bytes,
        )
        hedging = Hedging(
            settings.hedge_share, settings.retry_window_s, self.host_delay
        )
        self._metrics = RouterMetrics(
            notices.count_by_kind,
            self._quarantine.table.quarantined_count,
            self.evacuated_data_centres,
            placement.slowdown_by_server,
            hedging,
        )
        forwarder = Forwarder(
            attempts,
            self._servers,
            self._origins,
            self._make_retry_window,
            settings.answers,
            self._observe,
            self._observe_refusal,
            hedging,
            int(ANSWER_MEMORY_FRACTION * settings.memory_bytes),
        )
        max_buffered_bytes = int(BODY_MEMORY_FRACTION * settings.memory_bytes)
        self._endpoint = ForwardEndpoint(
            forwarder, self.subscription, codec, max_buffered_bytes, self._counts
        )
        self._listener = self.serve(
            self._endpoint,
            settings.caller_address,
            self._endpoint.intake,
            CALLER_BACKLOG,
            holds_bodies=False,
        )
        max_connections = int(CALLER_DESCRIPTOR_FRACTION * settings.max_descriptors)
        self._endpoint.limit_connections(
            self._listener.connection_count, max_connections
        )
        self._stop_limits = forwarder.stop_limits
        self.serve_metrics(self._metrics)

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres, as of the newest known change."""
        return self.subscription.evacuated_data_centres()

    @property
    def is_ready(self) -> bool:
        """Return whether this router is ready for callers."""
        return self.view.state is RouterState.READY

    def background_coroutines(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that run until shutdown, besides the peer messaging."""
        self._quarantine.register_handlers()
        self._limits.register_handlers()
        return (
            self.view.run(),
            self.subscription.run(),
            self._backends.run(),
            self._update_state(),
            log_request_counts(
                self._counts,
                self._listener.connection_count,
                self._listener.accepted_count,
                lambda: self._endpoint.running,
                self._placement.slowdown_by_server,
            ),
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a reload of the settings."""
        self.view.set_seeds(seeds)

    def begin_stop(self, requested_s: float) -> None:
        """Limit which requests are taken in, and how long they may take."""
        grace_s = self.settings.grace_s
        accept_streams_s = min(ACCEPT_STREAMS_FRACTION * grace_s, MAX_ACCEPT_STREAMS_S)
        plan = StopPlan(
            accept_streams_until_s=requested_s + accept_streams_s,
            accept_all_until_s=requested_s + ACCEPT_ALL_FRACTION * grace_s,
            end_s=requested_s + DRAIN_FRACTION * grace_s,
        )
        self._endpoint.drain(plan)
        self.view.set_state(RouterState.DRAINING)

    async def drain(self, requested_s: float) -> None:
        """Return once all requests have ended or the grace period is nearly over."""
        plan = self._stop_limits.plan
        await asyncio.sleep(max(0.0, plan.accept_all_until_s - now()))
        while self._endpoint.running and now() < plan.end_s:
            wait_s = min(STATE_CHECK_INTERVAL_S, plan.end_s - now())
            await asyncio.sleep(max(0.0, wait_s))
        eliot.log_message(
            "router:drained",
            running=self._endpoint.running,
            connections=self._listener.connection_count(),
            after_ms=round((now() - requested_s) * MS_PER_S, 1),
        )

    async def _update_state(self) -> None:
        """Report this router as ready while the lease of its routing table is valid."""
        while True:
            if self.view.state is not RouterState.DRAINING:
                is_ready = self.subscription.fresh_left_s() > 0
                is_ready = is_ready and self.subscription.version > 0
                state = RouterState.READY if is_ready else RouterState.STARTING
                self.view.set_state(state)
            await asyncio.sleep(STATE_CHECK_INTERVAL_S)

    def _read_load(self) -> RouterLoad:
        return RouterLoad(
            cores=self.settings.cores,
            connections=self._listener.connection_count(),
            running=self._endpoint.running,
            loop_delay_s=self.host_delay.loop_delay_s,
        )

    def _observe(self, report: RequestReport) -> None:
        self._metrics.observe(report)
        self._counts.record_answer(report.team, report.status)

    def _observe_refusal(self, route: str, team: str, status: int) -> None:
        self._metrics.observe_refusal(route, status)
        self._counts.record_answer(team, status)

    def _make_retry_window(self) -> RetryWindow:
        settings = self.settings
        return RetryWindow(
            settings.retry_window_s,
            settings.retry_share,
            settings.retry_slack,
            self.view.router_count,
        )

    def _on_server_change(self) -> None:
        self._servers.drop_removed_servers(self.subscription.index.pool_by_name)
        self._origins.update_servers(self.view.all_servers())

    def _on_control_return(self, host: str) -> None:
        self._origins.report_all(host)
        self._quarantine.sync(host)
