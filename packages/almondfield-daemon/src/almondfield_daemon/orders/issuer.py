"""Carries out planned orders while this host leads the control group."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import eliot
from result import Result

from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.settings import DaemonSettings
from almondfield_core.tables import Pool
from almondfield_daemon.orders.kinds import FencedOrder, LoadModel, Order, is_done
from almondfield_daemon.orders.load_limiter import LoadPace
from almondfield_daemon.orders.outcomes import (
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    OrderUnanswered,
    StaleFencing,
)
from almondfield_daemon.orders.plan import PlannedOrder, plan_orders
from almondfield_daemon.orders.reports import REPORT_REFRESH_S, ServerBoard
from almondfield_daemon.orders.sender import SEND_TIMEOUT_S, OrderSender

__all__ = ["Holds", "Issuer", "OrderControl", "OrderStats"]

PLAN_INTERVAL_S = 1.0
POLL_S = 0.25
RESEND_S = 1.0
HOLD_LIFETIME_S = 8.0
HOLD_RENEWAL_S = 2.0
HOLD_SETTLE_S = 3.0
RETRY_FAILED_S = 60.0
FIRST_PLAN_S = REPORT_REFRESH_S + 2.0


class OrderControl(Protocol):
    """What orders ask of the control group."""

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads the control group and its lease holds."""

    @property
    def leader_host(self) -> str:
        """Return the host that leads, as far as this host knows; else empty."""

    async def next_fencing(self) -> Result[int, ControlUnavailable]:
        """Return a fencing number greater than every one issued before."""


class Holds(Protocol):
    """Keeps new work from backend servers."""

    def hold_server(self, server: str, fencing: int, lifetime_s: float) -> None:
        """Keep new work from a server, in the whole fleet.

        :param server: name of the server.
        :param fencing: fencing number of the order that it is held for.
        :param lifetime_s: seconds until it gets work again; 0 for now.
        """


@dataclass(frozen=True)
class OrderStats:
    """What the issuer of this host did.

    :ivar running: orders that are being carried out now.
    :ivar sent: orders sent, repeats among them.
    :ivar done: orders that their servers reported as done.
    :ivar failed: orders given up.
    """

    running: int
    sent: int
    done: int
    failed: int


class Issuer:
    """Plans and carries out orders for one term of leadership.

    :param control: the control group.
    :param holds: keeps new work from servers.
    :param sender: hands orders to servers.
    :param board: what hosts report.
    :param settings: settings of this daemon.
    """

    def __init__(
        self,
        control: OrderControl,
        holds: Holds,
        sender: OrderSender,
        board: ServerBoard,
        settings: DaemonSettings,
    ) -> None:
        self._control = control
        self._holds = holds
        self._sender = sender
        self._board = board
        self._settings = settings
        self._since_s = now()
        self._pace = LoadPace(settings.orders.load_interval_s)
        self._order_by_server: dict[str, Order] = {}
        self._moved_s_by_server: dict[str, float] = {}
        self._failed_s_by_server: dict[str, float] = {}
        self._sent = self._done = self._failed = 0

    def stats(self) -> OrderStats:
        """Return what this issuer did."""
        running = len(self._order_by_server)
        return OrderStats(running, self._sent, self._done, self._failed)

    async def run(self, read_pools: Callable[[], tuple[Pool, ...]]) -> None:
        """Issue orders until this host leads no more.

        Nothing needs to be kept from one issuer to the next: the plan follows from
        what servers announce.

        :param read_pools: returns the rows of the pools table.
        """
        # The plan needs reports from every host; missing servers would look lost.
        await asyncio.sleep(FIRST_PLAN_S)
        tasks: set[asyncio.Task[None]] = set()
        try:
            while self._control.is_leader:
                for planned in self._plan(read_pools()):
                    self._order_by_server[planned.server.name] = planned.order
                    task = asyncio.create_task(self._carry_out(planned))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(PLAN_INTERVAL_S)
        finally:
            for task in tasks:
                task.cancel()

    def _plan(self, pools: tuple[Pool, ...]) -> tuple[PlannedOrder, ...]:
        servers = [
            server
            for server in self._board.servers()
            if now() - self._failed_s_by_server.get(server.name, -RETRY_FAILED_S)
            >= RETRY_FAILED_S
        ]
        settled = [s.name for s in servers if self._is_settled(s.name)]
        backlogged = self._board.backlogged(self._settings.orders.backlog_s)
        return plan_orders(pools, servers, self._order_by_server, backlogged, settled)

    def _is_settled(self, server: str) -> bool:
        moved_s = self._moved_s_by_server.get(server, self._since_s)
        return now() - moved_s >= self._settings.orders.stay_s

    async def _carry_out(self, planned: PlannedOrder) -> None:
        name = planned.server.name
        try:
            done = await self._prepare_and_send(planned)
        finally:
            del self._order_by_server[name]
        if done:
            self._done += 1
            self._moved_s_by_server[name] = now()
        else:
            self._failed += 1
            self._failed_s_by_server[name] = now()
        eliot.log_message(
            "orders:finished", server=name, order=repr(planned.order), done=done
        )

    async def _prepare_and_send(self, planned: PlannedOrder) -> bool:
        fencing = await self._control.next_fencing()
        if fencing.is_err():
            return False
        server = planned.server
        order = FencedOrder(
            server.name, server.address, planned.order, fencing.unwrap()
        )
        holding = asyncio.create_task(self._keep_held(order))
        try:
            return (
                await self._wait_idle(server.name)
                and await self._wait_turn(planned)
                and await self._send(order)
                and await self._wait_done(order)
            )
        finally:
            holding.cancel()
            # An issuer that leads no more leaves the server to the next one.
            if self._control.is_leader:
                self._holds.hold_server(order.server, order.fencing, 0.0)

    async def _keep_held(self, order: FencedOrder) -> None:
        while True:
            self._holds.hold_server(order.server, order.fencing, HOLD_LIFETIME_S)
            await asyncio.sleep(HOLD_RENEWAL_S)

    async def _wait_idle(self, server: str) -> bool:
        held_s = now() + HOLD_SETTLE_S
        deadline_s = now() + self._settings.orders.idle_s
        while now() < deadline_s and self._control.is_leader:
            await asyncio.sleep(POLL_S)
            seen = self._board.server(server, after_s=held_s)
            if seen is not None and not seen.busy:
                return True
        return False

    async def _wait_turn(self, planned: PlannedOrder) -> bool:
        if isinstance(planned.order, LoadModel):
            await self._pace.take()
        if not planned.server.checks_fencing:
            await asyncio.sleep(max(0.0, self._earlier_issuer_ends_s() - now()))
        return True

    def _earlier_issuer_ends_s(self) -> float:
        # An issuer that was cut off acts until its lease runs out, and a request that
        # it sent right before may arrive until its own timeout.
        timing = self._settings.timing
        lease_s = timing.freshness_lease_s * (1.0 + timing.drift_margin)
        return self._since_s + lease_s + SEND_TIMEOUT_S

    async def _send(self, order: FencedOrder) -> bool:
        deadline_s = now() + self._settings.orders.done_s
        while now() < deadline_s and self._control.is_leader:
            self._sent += 1
            outcome = await self._sender.send(order)
            if not isinstance(outcome, OrderUnanswered):
                return self._is_taken(outcome, order)
            if self._is_reported_done(order):
                return True
            await asyncio.sleep(RESEND_S)
        return False

    def _is_taken(self, outcome: OrderOutcome, order: FencedOrder) -> bool:
        match outcome:
            case OrderAccepted():
                return True
            case StaleFencing():
                reason = f"fencing number {order.fencing} is old"
            case OrderRefused(reason):
                pass
        eliot.log_message("orders:refused", server=order.server, reason=reason)
        return False

    async def _wait_done(self, order: FencedOrder) -> bool:
        deadline_s = now() + self._settings.orders.done_s
        while now() < deadline_s and self._control.is_leader:
            if self._is_reported_done(order):
                return True
            await asyncio.sleep(POLL_S)
        return False

    def _is_reported_done(self, order: FencedOrder) -> bool:
        seen = self._board.server(order.server, after_s=self._since_s)
        return seen is not None and is_done(order.order, seen)
