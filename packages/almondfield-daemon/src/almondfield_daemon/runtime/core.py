"""One daemon: creates, starts, drains and stops its parts."""

import asyncio
import os

import eliot

from almondfield_control import ControlNode
from almondfield_core.clock import WallClock, now
from almondfield_core.settings import DaemonSettings, HostSettings
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.connection_budget import ConnectionBudget
from almondfield_daemon.edge import build_caller_app
from almondfield_daemon.membership import Membership
from almondfield_daemon.operator import OperatorNode, build_operator_app
from almondfield_daemon.orders import HttpOrderSender, Orders
from almondfield_daemon.peers import PynngPeers
from almondfield_daemon.router import Router
from almondfield_daemon.runtime.secrets import Secrets
from almondfield_daemon.serving import HttpListener, bind
from almondfield_fairshare import PoolSchedulers, RouterShare

__all__ = ["Daemon"]

MILLISECONDS = 1000
IDLE_POLL_INTERVAL_S = 0.1
# Heads, waiting requests, unread answers, and bodies at the operators' port.
MAX_CONNECTION_BYTES = 64 * 1024 * 1024


class Daemon:
    """One host of the fleet.

    :param settings: settings of the daemon.
    :param secrets: secrets from the files that the settings name.
    :param started_unix_s: calendar time of the start, in seconds since 1970.
    :raises AlmondfieldError: if a port or the data folder cannot be used.
    """

    def __init__(
        self, settings: DaemonSettings, secrets: Secrets, started_unix_s: float
    ) -> None:
        self.settings = settings
        self.host = _find_host(settings)
        incarnation = int(started_unix_s * MILLISECONDS)
        wall_clock = WallClock(started_unix_s - now())
        self._caller_socket = bind(self.host.address, self.host.caller_port)
        self._operator_socket = bind(self.host.address, self.host.operator_port)
        self.peers = PynngPeers(settings, secrets.fleet_secret, incarnation)
        self.control = ControlNode(self.peers, settings, wall_clock, incarnation)
        view = self.control.view
        self.share = RouterShare(self.peers, view, settings, incarnation)
        self.schedulers = PoolSchedulers(self.peers, view, settings, incarnation)
        self.membership = Membership(self.peers, view, settings, incarnation)
        self.membership.set_spare_slots_source(self._spare_slots)
        self.membership.set_evacuated_source(self.control.evacuated_data_centres)
        self.backends = HttpBackends(settings)
        self.router = Router(
            view, self.share, self.control.control, self.backends, settings
        )
        sender = HttpOrderSender(self.backends, secrets.backend_token)
        control = self.control.control
        self.orders = Orders(
            self.peers, view, control, self.membership, sender, settings
        )
        self.orders.set_waiting_source(self.schedulers.waiting_by_pool)
        self._drain_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners = self._build_listeners(secrets)

    def _build_listeners(self, secrets: Secrets) -> list[HttpListener]:
        limits = self.settings.limits
        caller_app = build_caller_app(
            self.router, self.membership, self.settings, secrets.backend_token
        )
        node = OperatorNode(
            settings=self.settings,
            control=self.control,
            membership=self.membership,
            stats=self.stats,
            drain=self._drain_requested.set,
            is_draining=self._drain_requested.is_set,
        )
        operator_app = build_operator_app(node, secrets.operator_token)
        budget = ConnectionBudget(MAX_CONNECTION_BYTES)
        return [
            HttpListener(
                caller_app,
                self._caller_socket,
                limits.max_header_bytes,
                budget=budget,
            ),
            HttpListener(
                operator_app,
                self._operator_socket,
                limits.max_header_bytes,
                budget=budget,
                holds_bodies=True,
            ),
        ]

    def _spare_slots(self) -> float:
        """Return the number of further requests that this host can start now."""
        share = self.share.stats()
        slots = sum(share.slots_by_pool.values())
        used = sum(share.in_flight_by_pool.values()) + share.waiting
        return float(max(0, slots - used))

    def stats(self) -> dict[str, object]:
        """Return the statistics of each part, by the name of the part."""
        return {
            "peers": self.peers.stats(),
            "control": self.control.stats(),
            "share": self.share.stats(),
            "schedulers": self.schedulers.stats(),
            "router": self.router.stats(),
            "orders": self.orders.stats(),
        }

    async def start(self) -> None:
        """Return once all parts have started and both ports accept requests."""
        parts = (
            self.peers,
            self.control,
            self.share,
            self.schedulers,
            self.membership,
            self.backends,
            self.orders,
        )
        self._tasks = [asyncio.create_task(part.run()) for part in parts]
        for listener in self._listeners:
            await listener.start()
        eliot.log_message("daemon:started", host=self.host.name, pid=os.getpid())

    async def run_until(self, stop: asyncio.Event) -> None:
        """Run until a shutdown is requested; return after a graceful shutdown.

        :param stop: event that requests the shutdown, as does an operator's drain.
        :raises Exception: if a part fails; the exception it raised.
        """
        stop_requested = asyncio.create_task(stop.wait())
        drain_requested = asyncio.create_task(self._drain_requested.wait())
        done, _ = await asyncio.wait(
            [stop_requested, drain_requested, *self._tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done & set(self._tasks):
            task.result()
        await self.shut_down()

    async def shut_down(self) -> None:
        """Leave the fleet; return once all running requests have ended."""
        eliot.log_message("daemon:draining", host=self.host.name)
        self._drain_requested.set()
        self.membership.drain()
        await self.control.hand_over()
        # Callers may use this host until the last response that names it expires.
        await asyncio.sleep(self.settings.timing.address_lifetime_s)
        self.router.refuse_new()
        self.share.refuse_new()
        while self.router.running:
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        await self.close()

    async def close(self) -> None:
        """Stop all parts at once, without waiting for running requests."""
        for listener in self._listeners:
            await listener.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        eliot.log_message("daemon:stopped", host=self.host.name)


def _find_host(settings: DaemonSettings) -> HostSettings:
    return next(host for host in settings.hosts if host.name == settings.host)
