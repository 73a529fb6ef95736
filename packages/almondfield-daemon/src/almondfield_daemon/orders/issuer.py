"""Issues planned orders while this host leads the control group."""

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
from almondfield_daemon.orders.load_limiter import LoadLimiter
from almondfield_daemon.orders.outcomes import (
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    OrderUnanswered,
    StaleFencing,
)
from almondfield_daemon.orders.plan import PlannedOrder, plan_orders
from almondfield_daemon.orders.reports import REPORT_REFRESH_S, ReportedState
from almondfield_daemon.orders.sender import SEND_TIMEOUT_S, OrderSender

__all__ = ["HoldPort", "Issuer", "OrderControl", "OrderStats"]

PLAN_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.25
RESEND_INTERVAL_S = 1.0
HOLD_LIFETIME_S = 8.0
HOLD_RENEWAL_INTERVAL_S = 2.0
HOLD_SETTLE_S = 3.0
FAILED_SERVER_BACKOFF_S = 60.0
FIRST_PLAN_DELAY_S = REPORT_REFRESH_S + 2.0


class OrderControl(Protocol):
    """The part of the control group's interface that orders use."""

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads the control group and its lease holds."""

    @property
    def leader_host(self) -> str:
        """Return the leader host as known to this host; empty if unknown."""

    async def next_fencing(self) -> Result[int, ControlUnavailable]:
        """Return a fencing number greater than every one issued before."""


class HoldPort(Protocol):
    """Excludes backend servers from new work."""

    def hold_server(self, server: str, fencing: int, lifetime_s: float) -> None:
        """Exclude a server from new work in the whole fleet.

        :param server: name of the server.
        :param fencing: fencing number of the order that it is held for.
        :param lifetime_s: seconds until the hold expires; 0 ends it at once.
        """


@dataclass(frozen=True)
class OrderStats:
    """Statistics of one issuer.

    :ivar running: orders that are being carried out now.
    :ivar sent: orders sent, including resent ones.
    :ivar done: orders that their servers reported as done.
    :ivar failed: orders that failed or timed out.
    """

    running: int
    sent: int
    done: int
    failed: int


class Issuer:
    """Plans and carries out orders for one term of leadership.

    :param control: the control group.
    :param holds: excludes servers from new work.
    :param sender: sends orders to servers.
    :param reported_state: servers and backlogs as the hosts report them.
    :param settings: settings of this daemon.
    """

    def __init__(
        self,
        control: OrderControl,
        holds: HoldPort,
        sender: OrderSender,
        reported_state: ReportedState,
        settings: DaemonSettings,
    ) -> None:
        self._control = control
        self._holds = holds
        self._sender = sender
        self._reported_state = reported_state
        self._settings = settings
        self._started_s = now()
        self._load_limiter = LoadLimiter(settings.orders.load_interval_s)
        self._order_by_server: dict[str, Order] = {}
        self._moved_s_by_server: dict[str, float] = {}
        self._failed_s_by_server: dict[str, float] = {}
        self._sent = self._done = self._failed = 0

    def stats(self) -> OrderStats:
        """Return the statistics of this issuer."""
        running = len(self._order_by_server)
        return OrderStats(running, self._sent, self._done, self._failed)

    async def run(self, read_pools: Callable[[], tuple[Pool, ...]]) -> None:
        """Issue orders until this host no longer leads.

        No state passes from one issuer to the next: the plan is derived from what
        servers announce.

        :param read_pools: returns the rows of the pools table.
        """
        # Planning starts after every host has reported, as servers that are not
        # reported yet would count as lost.
        await asyncio.sleep(FIRST_PLAN_DELAY_S)
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
            for server in self._reported_state.servers()
            if now()
            - self._failed_s_by_server.get(server.name, -FAILED_SERVER_BACKOFF_S)
            >= FAILED_SERVER_BACKOFF_S
        ]
        movable = [s.name for s in servers if self._is_movable(s.name)]
        backlogged = self._reported_state.backlogged_pools(
            self._settings.orders.backlog_s
        )
        return plan_orders(pools, servers, self._order_by_server, backlogged, movable)

    def _is_movable(self, server: str) -> bool:
        moved_s = self._moved_s_by_server.get(server, self._started_s)
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
        hold_task = asyncio.create_task(self._renew_hold(order))
        try:
            return (
                await self._wait_idle(server.name)
                and await self._wait_permitted(planned)
                and await self._send(order)
                and await self._wait_done(order)
            )
        finally:
            hold_task.cancel()
            # After a loss of leadership the hold is left to the next issuer.
            if self._control.is_leader:
                self._holds.hold_server(order.server, order.fencing, 0.0)

    async def _renew_hold(self, order: FencedOrder) -> None:
        while True:
            self._holds.hold_server(order.server, order.fencing, HOLD_LIFETIME_S)
            await asyncio.sleep(HOLD_RENEWAL_INTERVAL_S)

    async def _wait_idle(self, server: str) -> bool:
        hold_settled_s = now() + HOLD_SETTLE_S
        deadline_s = now() + self._settings.orders.idle_s
        while now() < deadline_s and self._control.is_leader:
            await asyncio.sleep(POLL_INTERVAL_S)
            reported = self._reported_state.server(server, after_s=hold_settled_s)
            if reported is not None and not reported.busy:
                return True
        return False

    async def _wait_permitted(self, planned: PlannedOrder) -> bool:
        if isinstance(planned.order, LoadModel):
            await self._load_limiter.acquire()
        if not planned.server.checks_fencing:
            await asyncio.sleep(max(0.0, self._previous_issuer_end_s() - now()))
        return True

    def _previous_issuer_end_s(self) -> float:
        # A partitioned issuer acts until its lease expires, and a request that it sent
        # just before may arrive until the request's timeout.
        timing = self._settings.timing
        lease_s = timing.freshness_lease_s * (1.0 + timing.drift_margin)
        return self._started_s + lease_s + SEND_TIMEOUT_S

    async def _send(self, order: FencedOrder) -> bool:
        deadline_s = now() + self._settings.orders.done_s
        while now() < deadline_s and self._control.is_leader:
            self._sent += 1
            outcome = await self._sender.send(order)
            if not isinstance(outcome, OrderUnanswered):
                return self._is_accepted(outcome, order)
            if self._is_reported_done(order):
                return True
            await asyncio.sleep(RESEND_INTERVAL_S)
        return False

    def _is_accepted(self, outcome: OrderOutcome, order: FencedOrder) -> bool:
        match outcome:
            case OrderAccepted():
                return True
            case StaleFencing():
                reason = f"fencing number {order.fencing} is out of date"
            case OrderRefused(reason):
                pass
        eliot.log_message("orders:refused", server=order.server, reason=reason)
        return False

    async def _wait_done(self, order: FencedOrder) -> bool:
        deadline_s = now() + self._settings.orders.done_s
        while now() < deadline_s and self._control.is_leader:
            if self._is_reported_done(order):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _is_reported_done(self, order: FencedOrder) -> bool:
        reported = self._reported_state.server(order.server, after_s=self._started_s)
        return reported is not None and is_done(order.order, reported)
