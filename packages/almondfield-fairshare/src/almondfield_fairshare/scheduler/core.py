"""Start and stop of the schedulers of the pools whose leases this host holds."""

import asyncio
from dataclasses import dataclass

from eliot import log_message

from almondfield_core.findings import Finding
from almondfield_core.messages import AnnouncementRelay, DemandReport
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_fairshare.registry import PoolServers
from almondfield_fairshare.scheduler.pool import PoolScheduler

__all__ = ["PoolSchedulers", "PoolSchedulersStats"]


@dataclass(frozen=True)
class PoolSchedulersStats:
    """State and message counts of the schedulers of a host.

    :ivar pools: pools that the host schedules now.
    :ivar reports: demand reports received.
    :ivar grants: grants sent.
    :ivar findings: findings on servers that several pools select.
    """

    pools: tuple[str, ...]
    reports: int
    grants: int
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True)
class _RunningScheduler:
    scheduler: PoolScheduler
    task: asyncio.Task[None]


class PoolSchedulers:
    """Schedulers of the pools whose leases this host holds.

    :param peers: connection to the routers.
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
        self._running_by_pool: dict[str, _RunningScheduler] = {}
        self._servers_by_pool: dict[str, PoolServers] = {}
        self._reports = 0
        self._past_grants = 0
        peers.register_handler(DemandReport, self._on_report)
        peers.register_handler(AnnouncementRelay, self._on_relay)

    async def run(self) -> None:
        """Schedule the pools whose leases this host holds, until cancelled."""
        try:
            while True:
                await self._sync_schedulers()
                await self._view.wait_for_leases()
        finally:
            for pool in list(self._running_by_pool):
                await self._stop(pool)

    def stats(self) -> PoolSchedulersStats:
        """Return the scheduled pools, the message counts and the findings."""
        running = self._running_by_pool.values()
        grants = sum(item.scheduler.grants_sent for item in running)
        return PoolSchedulersStats(
            tuple(sorted(self._running_by_pool)),
            self._reports,
            self._past_grants + grants,
            tuple(found for item in running for found in item.scheduler.findings),
        )

    def waiting_by_pool(self) -> dict[str, int]:
        """Return the requests that wait in all routers, by pool scheduled here."""
        running_by_pool = self._running_by_pool.items()
        return {pool: item.scheduler.waiting() for pool, item in running_by_pool}

    def scheduler(self, pool: str) -> PoolScheduler | None:
        """Return the scheduler of a pool; None if this host does not run it.

        :param pool: name of the pool.
        """
        running = self._running_by_pool.get(pool)
        return running.scheduler if running else None

    async def _sync_schedulers(self) -> None:
        # Leases may change while a scheduler stops, so they are read again each time.
        while (ended := self._ended_pool()) is not None:
            await self._stop(ended)
        for pool, epoch in self._epoch_by_held_pool().items():
            leased = self._view.pool_lease_left_s(pool) > 0
            if leased and pool not in self._running_by_pool:
                self._start(pool, epoch)

    def _ended_pool(self) -> str | None:
        """Return a pool whose scheduler failed or lost its lease; None if none has."""
        held = self._epoch_by_held_pool()
        for pool, running in self._running_by_pool.items():
            if held.get(pool) != running.scheduler.epoch or running.task.done():
                return pool
        return None

    def _epoch_by_held_pool(self) -> dict[str, int]:
        return {
            pool: lease.epoch
            for pool, lease in self._view.lease_by_pool.items()
            if lease.host == self._peers.host
        }

    def _start(self, pool: str, epoch: int) -> None:
        scheduler = PoolScheduler(
            pool,
            epoch,
            self._peers,
            self._view,
            self._settings,
            self._servers(pool),
        )
        task = asyncio.create_task(scheduler.run(), name=f"scheduler {pool}")
        self._running_by_pool[pool] = _RunningScheduler(scheduler, task)

    async def _stop(self, pool: str) -> None:
        running = self._running_by_pool.pop(pool)
        self._past_grants += running.scheduler.grants_sent
        running.task.cancel()
        (outcome,) = await asyncio.gather(running.task, return_exceptions=True)
        if isinstance(outcome, Exception):
            log_message(
                message_type="scheduler failed", pool=pool, reason=repr(outcome)
            )

    def _servers(self, pool: str) -> PoolServers:
        silence_s = self._settings.timing.server_silence_s
        return self._servers_by_pool.setdefault(pool, PoolServers(silence_s))

    async def _on_report(self, sender: str, report: DemandReport) -> None:
        running = self._running_by_pool.get(report.pool)
        if running is None:
            return
        self._reports += 1
        running.scheduler.on_report(sender, report)

    async def _on_relay(self, sender: str, relay: AnnouncementRelay) -> None:
        changes = self._servers(relay.pool).update(relay)
        running = self._running_by_pool.get(relay.pool)
        if running is not None:
            running.scheduler.on_registry_update(changes)
