"""Start, shutdown and reload, common to routers and control hosts of a fleet."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import eliot
from result import Err, Ok
from starlette.types import ASGIApp

from almondfield_control.node.leader_client import LeaderClient
from almondfield_core.clock import now
from almondfield_core.settings import FleetSettings, load_fleet_settings
from almondfield_daemon.connection_budget import ConnectionBudget
from almondfield_daemon.fleet_daemon.metrics import (
    ConnectionMetrics,
    ControlMetrics,
    LoopMetrics,
    RouterMetrics,
    build_metrics_app,
)
from almondfield_daemon.fleet_daemon.stop_signal import StopSignal
from almondfield_daemon.fleet_daemon.usage import log_usage
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.loop_delay import LoopMonitor
from almondfield_daemon.peers import PynngPeers
from almondfield_daemon.serving import (
    BACKLOG,
    Gate,
    HttpListener,
    bind,
)

__all__ = ["FleetHost"]

MILLISECONDS = 1000
EXIT_FRACTION = 0.97  # of the grace period, after which a process is killed
MAX_HEAD_BYTES = 64 * 1024  # more than any routing table allows
LEADER_ATTEMPT_S = 0.4  # covers many round trips, and the shortest election
NO_SECRET = b""
QUEUED_MEMORY_FRACTION = 1 / 16  # for messages sent, and as much for those received
# Heads, requests that wait, and answers that wait for their callers.
CONNECTION_MEMORY_FRACTION = 1 / 8
# Of the descriptors, for the connections of callers, operators and backend servers.
CONNECTION_DESCRIPTOR_FRACTION = 0.7
# The same, if all that have no request have just come.
MOST_CONNECTION_DESCRIPTOR_FRACTION = 0.85
# With fewer connections none is closed for another one, whatever the settings say: a
# router has as many from its callers, other hosts and checks in ordinary operation.
MIN_CONNECTION_LIMIT = 64


class FleetHost:
    """Base class of the daemons of a fleet, which is discovered from seeds.

    :param settings: settings of the daemon.
    :param settings_path: settings file, which a reload reads again.
    :param started_unix_s: calendar time of the start, in seconds since 1970.
    """

    def __init__(
        self, settings: FleetSettings, settings_path: Path, started_unix_s: float
    ) -> None:
        self.settings = settings
        self.incarnation = int(started_unix_s * MILLISECONDS)
        self.host_delay = HostDelay()
        self.peers = PynngPeers(
            settings.daemon_settings(),
            NO_SECRET,
            self.incarnation,
            resolve_host=settings.host,
            on_reply=self.host_delay.record_reply,
            max_queued_bytes=int(QUEUED_MEMORY_FRACTION * settings.memory_bytes),
        )
        self.connection_budget = ConnectionBudget(
            int(CONNECTION_MEMORY_FRACTION * settings.memory_bytes),
            _connection_limit(settings, CONNECTION_DESCRIPTOR_FRACTION),
            _connection_limit(settings, MOST_CONNECTION_DESCRIPTOR_FRACTION),
        )
        self._settings_path = settings_path
        self._listeners: list[HttpListener] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._loop_monitor = LoopMonitor(self._observe_loop_delay)
        self._loop_metrics: LoopMetrics | None = None

    def leader_client(self, hosts: Callable[[], tuple[str, ...]]) -> LeaderClient:
        """Return a client that finds the leader of the control group.

        :param hosts: returns the hosts that may currently lead.
        """
        return LeaderClient(self.peers, hosts, LEADER_ATTEMPT_S, broadcast=True)

    def serve(
        self,
        app: ASGIApp,
        address: str,
        gate: Gate | None = None,
        backlog: int = BACKLOG,
        holds_bodies: bool = True,
    ) -> HttpListener:
        """Serve an ASGI app once the daemon starts, and return its listener.

        :param app: the app.
        :param address: ``ip:port`` to listen on.
        :param gate: decides on requests by their heads; None to pass all of them on.
        :param backlog: largest number of connections that wait to be accepted.
        :param holds_bodies: whether the app holds bodies of requests and doesn't count
            them itself.
        """
        host, _, port = address.rpartition(":")
        listener = HttpListener(
            app,
            bind(host, int(port)),
            MAX_HEAD_BYTES,
            gate,
            backlog,
            self.settings.max_header_lines,
            self.connection_budget,
            holds_bodies,
        )
        self._listeners.append(listener)
        return listener

    def serve_metrics(self, metrics: RouterMetrics | ControlMetrics) -> None:
        """Serve the metrics page if the settings name a port for it.

        :param metrics: the metrics.
        """
        if self.settings.metrics_port:
            self._loop_metrics = LoopMetrics(metrics.registry)
            address = f"{self.settings.address}:{self.settings.metrics_port}"
            connections = ConnectionMetrics(metrics.registry, self.connection_budget)
            self.serve(build_metrics_app(metrics, connections), address)

    def _observe_loop_delay(self, delay_s: float) -> None:
        self.host_delay.record_loop_delay(delay_s)
        if self._loop_metrics is not None:
            self._loop_metrics.observe(delay_s)

    def background_coroutines(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that run until shutdown, besides the peer messaging."""
        raise NotImplementedError

    def begin_stop(self, requested_s: float) -> None:
        """Limit at once what the daemon takes in, as its shutdown is requested.

        :param requested_s: when its grace period began, in seconds of the loop's clock.
        """

    async def drain(self, requested_s: float) -> None:
        """Return once the daemon can stop without loss.

        :param requested_s: when its grace period began, in seconds of the loop's clock.
        """
        raise NotImplementedError

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a reload of the settings.

        :param seeds: hosts that the settings name.
        """
        raise NotImplementedError

    async def run_until(self, stop: StopSignal) -> None:
        """Start the daemon; return after a graceful shutdown.

        :param stop: requests the shutdown.
        :raises Exception: if a background coroutine fails; the exception it raised.
        """
        stop.on_request(self.begin_stop)
        coroutines = (
            self.peers.run(),
            log_usage(lambda: self.peers.stats().stats_by_kind),
            self._loop_monitor.run(),
            *self.background_coroutines(),
        )
        self._tasks = [asyncio.create_task(item) for item in coroutines]
        for listener in self._listeners:
            await listener.start()
        eliot.log_message(
            "daemon:started",
            role=self.settings.role.value,
            data_centre=self.settings.data_centre,
            seeds=self.settings.seeds,
            incarnation=self.incarnation,
            pid=os.getpid(),
        )
        stop_requested = asyncio.create_task(stop.wait())
        done, _ = await asyncio.wait(
            [stop_requested, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in done & set(self._tasks):
            task.result()
        # A coroutine that returned requests the shutdown too.
        stop.set()
        late_ms = round((now() - stop.requested_s) * MILLISECONDS, 1)
        eliot.log_message("daemon:draining", late_ms=late_ms)
        # A reload may change the settings meanwhile.
        until_s = stop.requested_s + EXIT_FRACTION * self.settings.grace_s
        await self.drain(stop.requested_s)
        await self._close(until_s)

    def reload(self) -> None:
        """Reload the settings; only the seeds may change while the daemon runs."""
        match load_fleet_settings(self._settings_path):
            case Ok(settings):
                if settings.seeds != self.settings.seeds:
                    self.set_seeds(settings.seeds)
                eliot.log_message("daemon:reloaded", seeds=settings.seeds)
                self.settings = settings
            case Err(findings):
                eliot.log_message(
                    "daemon:reload-refused",
                    findings=[str(finding) for finding in findings],
                )

    async def _close(self, until_s: float) -> None:
        """Stop all parts.

        :param until_s: when requests that still run are cancelled, in seconds of the
            loop's clock.
        """
        within_s = max(0.0, until_s - now())
        stopping = (listener.stop(within_s) for listener in self._listeners)
        await asyncio.gather(*stopping)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        eliot.log_message("daemon:stopped")


def _connection_limit(settings: FleetSettings, fraction: float) -> int:
    """Return the number of connections that a fraction of the descriptors allows."""
    return max(MIN_CONNECTION_LIMIT, int(fraction * settings.max_descriptors))
