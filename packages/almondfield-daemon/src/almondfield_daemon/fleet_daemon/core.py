"""What routers and control hosts of a fleet have in common: start, stop and reload."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import eliot
from result import Err, Ok
from starlette.types import ASGIApp

from almondfield_control.node.leader_client import LeaderClient
from almondfield_core.settings import FleetSettings, load_fleet_settings
from almondfield_daemon.fleet_daemon.metrics import (
    ControlMetrics,
    RouterMetrics,
    build_metrics_app,
)
from almondfield_daemon.fleet_daemon.usage import log_usage
from almondfield_daemon.peers import PynngPeers
from almondfield_daemon.serving import HttpListener, bind

__all__ = ["FleetHost"]

MILLISECONDS = 1000
MAX_HEAD_BYTES = 64 * 1024  # above what any routing table allows
LEADER_ATTEMPT_S = 0.4  # many round trips, and the shortest election
NO_SECRET = b""


class FleetHost:
    """One daemon of a fleet that is found from seeds.

    :param settings: settings of the daemon.
    :param settings_path: file that they come from, read again at a reload.
    :param started_unix_s: calendar time of the start, in seconds since 1970.
    """

    def __init__(
        self, settings: FleetSettings, settings_path: Path, started_unix_s: float
    ) -> None:
        self.settings = settings
        self.incarnation = int(started_unix_s * MILLISECONDS)
        self.peers = PynngPeers(
            settings.daemon_settings(),
            NO_SECRET,
            self.incarnation,
            reach=settings.host,
        )
        self._settings_path = settings_path
        self._listeners: list[HttpListener] = []
        self._tasks: list[asyncio.Task[None]] = []

    def leader_client(self, hosts: Callable[[], tuple[str, ...]]) -> LeaderClient:
        """Return requests to whichever control host leads.

        :param hosts: returns the hosts that may lead, as they are known now.
        """
        return LeaderClient(self.peers, hosts, LEADER_ATTEMPT_S, asks_all=True)

    def serve(self, app: ASGIApp, address: str) -> None:
        """Serve an application once the daemon starts.

        :param app: the application.
        :param address: ``ip:port`` to listen on.
        """
        host, _, port = address.rpartition(":")
        listener = HttpListener(app, bind(host, int(port)), MAX_HEAD_BYTES)
        self._listeners.append(listener)

    def serve_metrics(self, metrics: RouterMetrics | ControlMetrics) -> None:
        """Serve the metrics page, where the settings name a port for it.

        :param metrics: the metrics.
        """
        if self.settings.metrics_port:
            address = f"{self.settings.address}:{self.settings.metrics_port}"
            self.serve(build_metrics_app(metrics), address)

    def parts(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs beside the messages between hosts."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Return once nothing is lost when the daemon ends."""
        raise NotImplementedError

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on.

        :param seeds: hosts that the settings name now.
        """
        raise NotImplementedError

    async def run_until(self, stop: asyncio.Event) -> None:
        """Start, and return after a graceful shutdown.

        :param stop: set to ask for it.
        :raises Exception: where a part fails; what it raised.
        """
        running = (self.peers.run(), log_usage(), *self.parts())
        self._tasks = [asyncio.create_task(part) for part in running]
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
        stopped = asyncio.create_task(stop.wait())
        done, _ = await asyncio.wait(
            [stopped, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in done & set(self._tasks):
            task.result()
        eliot.log_message("daemon:draining")
        await self.drain()
        await self._close()

    def reload(self) -> None:
        """Read the settings again; only the seeds may differ while it runs."""
        match load_fleet_settings(self._settings_path):
            case Ok(settings):
                if settings.seeds != self.settings.seeds:
                    self.take_seeds(settings.seeds)
                eliot.log_message("daemon:reloaded", seeds=settings.seeds)
                self.settings = settings
            case Err(findings):
                eliot.log_message(
                    "daemon:reload-refused",
                    findings=[str(finding) for finding in findings],
                )

    async def _close(self) -> None:
        for listener in self._listeners:
            await listener.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        eliot.log_message("daemon:stopped")
