"""A router of a fleet: takes callers' requests and sends them to backend servers."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from almondfield_control.publishing import TableSubscription
from almondfield_core.clock import now
from almondfield_core.settings import FleetSettings
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.fleet import FleetView, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.fleet_daemon.core import FleetHost
from almondfield_daemon.fleet_daemon.metrics import RouterMetrics
from almondfield_daemon.forwarding import (
    Attempts,
    ForwardEndpoint,
    Forwarder,
    HeaderCodec,
    RetryWindow,
    ServerChoice,
)
from almondfield_daemon.scheduling import EngineClient
from almondfield_fairshare.prefix_placement import Placement

__all__ = ["RouterHost"]

LEASE_SHARE = 0.8  # of the revocation time; the rest covers clocks that drift
STATE_CHECK_S = 0.1  # a fraction of a hello
SERVE_STREAMS_SHARE = 0.3  # of the grace; most streams end in what is left of it
SERVE_ALL_SHARE = 0.6  # of the grace, while callers may still hold the address
LAST_CALL_SHARE = 0.93  # of the grace; the rest is for the end of the process
BODY_SHARE_OF_MEMORY = 0.2  # the process itself takes a sixth, buffers the rest
BYTES_PER_MB = 1_000_000


class RouterHost(FleetHost):
    """One router.

    :param settings: settings of the daemon.
    :param settings_path: file that they come from.
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
        self.view = FleetView(self.peers, hello, settings.seeds, self._on_servers)
        leader = self.leader_client(self.view.control_hosts)
        self.subscription = TableSubscription(
            self.peers,
            leader,
            LEASE_SHARE * settings.revocation_s,
            self.view.set_control_hosts,
        )
        self._backends = HttpBackends(settings.daemon_settings())
        placement = Placement(random.Random(f"{settings.address}/{self.incarnation}"))
        engines = EngineClient(self.peers, lambda: leader.leader_host)
        self._servers = ServerChoice(
            self.view, placement, settings.data_centre, engines
        )
        attempts = Attempts(self._backends, codec)
        metrics = RouterMetrics()
        forwarder = Forwarder(
            attempts, self._servers, self._make_window, metrics.observe
        )
        held_bytes = int(BODY_SHARE_OF_MEMORY * settings.memory_mb * BYTES_PER_MB)
        self._endpoint = ForwardEndpoint(
            forwarder, self.subscription, codec, held_bytes
        )
        self.serve(self._endpoint, settings.caller_address)
        self.serve_metrics(metrics)

    @property
    def is_ready(self) -> bool:
        """Return whether callers are to use this router."""
        return self.view.state is RouterState.READY

    def parts(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs beside the messages between hosts."""
        return (
            self.view.run(),
            self.subscription.run(),
            self._backends.run(),
            self._follow_state(),
        )

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on."""
        self.view.set_seeds(seeds)

    async def drain(self) -> None:
        """Return once the requests that run have ended, or the grace is over."""
        began_s = now()
        grace_s = self.settings.grace_s
        self.view.set_state(RouterState.DRAINING)
        self._endpoint.close_connections()
        await asyncio.sleep(SERVE_STREAMS_SHARE * grace_s)
        self._endpoint.refuse_streams()
        await asyncio.sleep((SERVE_ALL_SHARE - SERVE_STREAMS_SHARE) * grace_s)
        self._endpoint.refuse_new()
        while self._endpoint.running and now() - began_s < LAST_CALL_SHARE * grace_s:
            await asyncio.sleep(STATE_CHECK_S)

    async def _follow_state(self) -> None:
        """Tell callers to use this router while its table counts as the newest."""
        while True:
            if self.view.state is not RouterState.DRAINING:
                is_ready = self.subscription.fresh_left_s() > 0
                is_ready = is_ready and self.subscription.version > 0
                state = RouterState.READY if is_ready else RouterState.STARTING
                self.view.set_state(state)
            await asyncio.sleep(STATE_CHECK_S)

    def _make_window(self) -> RetryWindow:
        settings = self.settings
        return RetryWindow(
            settings.retry_window_s,
            settings.retry_share,
            settings.retry_slack,
            self.view.routers,
        )

    def _on_servers(self) -> None:
        self._servers.follow_view(self.subscription.index.pool_by_name)
