"""Router side of fair sharing, for all pools."""

import asyncio
from dataclasses import dataclass

from result import Err, Result

from almondfield_core.clock import PeriodicTimer, now
from almondfield_core.messages import NotRun, NotRunReason, SlotGrant, SlotRequest
from almondfield_core.ports import Peers, Slot, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_fairshare.router.pool import RouterPool
from almondfield_fairshare.router.queues import QueueMemory

__all__ = ["RouterShare", "RouterShareStats"]

IDLE_REPORT_WINDOW_S = 0.3
"""Time between two reports while nothing waits, in seconds."""

EARLY_REPORT_BATCH_S = 0.002
"""Shortest time from a report to an early one, in seconds.

The reasons for an early report are batched meanwhile.
"""

EARLY_REPORTS_PER_S = 12.0
"""Sustained rate of early reports per second and pool."""

EARLY_REPORT_BURST = 6.0
"""Early reports allowed in a burst."""


@dataclass(frozen=True)
class RouterShareStats:
    """State and message counts of the router side of fair sharing.

    :ivar waiting: requests that wait.
    :ivar waiting_bytes: size of the bodies of waiting requests, in bytes.
    :ivar in_flight_by_pool: requests in flight, by pool.
    :ivar slots_by_pool: slots that the router may use now, by pool.
    :ivar reports: reports sent.
    :ivar grants: grants received.
    """

    waiting: int
    waiting_bytes: int
    in_flight_by_pool: dict[str, int]
    slots_by_pool: dict[str, int]
    reports: int
    grants: int


class RouterShare:
    """Queues of this router, from which slots are assigned in fair order.

    :param peers: messages to and from the schedulers.
    :param view: tables and leases.
    :param settings: settings of the daemon.
    :param incarnation: number that grows with each start of the process.
    """

    def __init__(
        self,
        peers: Peers,
        view: TableView,
        settings: DaemonSettings,
        incarnation: int,
    ) -> None:
        self._peers = peers
        self._view = view
        self._settings = settings
        self._incarnation = incarnation
        limits = settings.limits
        self._memory = QueueMemory(limits.max_queued_requests, limits.max_queued_bytes)
        self._pool_by_name: dict[str, RouterPool] = {}
        self._task_by_pool: dict[str, asyncio.Task[None]] = {}
        self._timer = PeriodicTimer(settings.host, IDLE_REPORT_WINDOW_S)
        self._refusing = False
        self._reports = 0
        self._grants = 0
        peers.register_handler(SlotGrant, self._on_grant)

    async def run(self) -> None:
        """Report to the schedulers of all pools until cancelled."""
        try:
            while True:
                self._sync_pools()
                await self._view.wait_for_revision(self._view.tables.revision)
        finally:
            for task in self._task_by_pool.values():
                task.cancel()
            tasks = self._task_by_pool.values()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def acquire(self, request: SlotRequest) -> Result[Slot, NotRun]:
        """Return a slot when the request is scheduled, or why it was not run.

        Cancelling the call removes the request from its queue.

        :param request: what the request needs.
        """
        if self._refusing:
            return Err(NotRun(NotRunReason.DRAINING))
        pool = self._pool(request.pool)
        refusal = self._refusal(pool, request)
        if refusal is not None:
            return Err(refusal)
        return await pool.acquire(request)

    def refuse_new(self) -> None:
        """Refuse new requests from now on; waiting and running ones continue."""
        self._refusing = True

    def stats(self) -> RouterShareStats:
        """Return the waiting and running requests and the message counts."""
        pools = self._pool_by_name
        return RouterShareStats(
            self._memory.requests,
            self._memory.body_bytes,
            {name: pool.usage.total() for name, pool in pools.items()},
            {name: pool.granted_slots for name, pool in pools.items()},
            self._reports,
            self._grants,
        )

    def _refusal(self, pool: RouterPool, request: SlotRequest) -> NotRun | None:
        """Return why a request cannot be queued; None if it can."""
        if pool.queues.length(request.team) >= request.queue_limit:
            retry_after_s = pool.retry_after_s(request.team)
            return NotRun(NotRunReason.QUEUE_FULL, retry_after_s)
        while not self._memory.fits(request):
            largest = self._memory.largest_team(request)
            if largest == request.team or not self._evict_newest(largest):
                retry_after_s = pool.retry_after_s(request.team)
                return NotRun(NotRunReason.MEMORY, retry_after_s)
        return None

    def _evict_newest(self, team: str) -> bool:
        """Refuse a team's newest waiting request in the pool where most of them wait.

        :returns: whether the team had a waiting request.
        """
        pools = sorted(
            self._pool_by_name.values(), key=lambda pool: -pool.queues.length(team)
        )
        return any(
            pool.queues.refuse_newest(team, pool.retry_after_s(team)) for pool in pools
        )

    def _pool(self, name: str) -> RouterPool:
        pool = self._pool_by_name.get(name)
        if pool is None:
            rows = [row for row in self._view.tables.pools if row.name == name]
            typical_cost_s = rows[0].typical_cost if rows else 1.0
            pool = RouterPool(
                name,
                self._memory,
                self._settings.sharing_policy,
                self._incarnation,
                typical_cost_s,
            )
            self._pool_by_name[name] = pool
        return pool

    def _sync_pools(self) -> None:
        """Run one report task for each pool of the tables, and cancel the others."""
        wanted = {row.name for row in self._view.tables.pools}
        for name in wanted - self._task_by_pool.keys():
            task = asyncio.create_task(self._report(self._pool(name)))
            self._task_by_pool[name] = task
        for name in self._task_by_pool.keys() - wanted:
            self._task_by_pool.pop(name).cancel()

    async def _report(self, pool: RouterPool) -> None:
        """Report the router's state in one pool, regularly and early where needed.

        A token bucket limits the rate of early reports.
        """
        tokens = EARLY_REPORT_BURST
        last_s = float("-inf")
        while True:
            early = await self._wait_due(pool, self._due_s(pool, last_s))
            if early:
                await asyncio.sleep(max(0.0, last_s + EARLY_REPORT_BATCH_S - now()))
                tokens -= 1.0
            self._send_report(pool)
            elapsed_s = min(now() - last_s, 1.0)
            tokens = min(EARLY_REPORT_BURST, tokens + EARLY_REPORTS_PER_S * elapsed_s)
            last_s = now()
            if tokens < 1.0:
                await asyncio.sleep((1.0 - tokens) / EARLY_REPORTS_PER_S)

    async def _wait_due(self, pool: RouterPool, due_s: float) -> bool:
        """Wait until a report is due; return whether one is needed earlier."""
        left_s = due_s - now()
        if left_s <= 0:
            return False
        try:
            async with asyncio.timeout(left_s):
                await pool.report_needed.wait()
        except TimeoutError:
            return False
        return True

    def _due_s(self, pool: RouterPool, last_s: float) -> float:
        """Return when the next report is due, given the time of the last one."""
        if pool.backlogged and pool.window_s > 0:
            return last_s + min(pool.window_s, IDLE_REPORT_WINDOW_S)
        if pool.is_idle and last_s > float("-inf"):
            return self._timer.next_tick_s(last_s)
        return last_s + IDLE_REPORT_WINDOW_S

    def _send_report(self, pool: RouterPool) -> None:
        pool.report_needed.clear()
        lease = self._view.lease_by_pool.get(pool.name)
        if lease is None:
            return
        self._reports += 1
        self._peers.send(lease.host, pool.make_report())

    async def _on_grant(self, sender: str, grant: SlotGrant) -> None:
        self._grants += 1
        pool = self._pool_by_name.get(grant.pool)
        if pool is not None:
            pool.on_grant(grant)
