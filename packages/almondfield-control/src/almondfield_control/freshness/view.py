"""The tables and leases of one host."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from almondfield_core.clock import now
from almondfield_core.messages import PoolLease
from almondfield_core.tables import Tables

__all__ = ["HostView"]


class HostView:
    """The ``TableView`` of one host; its revision never goes down.

    :param host: name of the host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._tables = Tables()
        self._lease_by_pool: dict[str, PoolLease] = {}
        self._fresh_until = float("-inf")
        self._pool_until = float("-inf")
        self._changed = asyncio.Event()

    @property
    def tables(self) -> Tables:
        """Return the newest tables."""
        return self._tables

    @property
    def lease_by_pool(self) -> Mapping[str, PoolLease]:
        """Return which host schedules each pool."""
        return MappingProxyType(self._lease_by_pool)

    def freshness_left_s(self) -> float:
        """Return the seconds for which the tables count as current; 0 if stale."""
        return max(0.0, self._fresh_until - now())

    def pool_lease_left_s(self, pool: str) -> float:
        """Return the seconds for which this host may schedule a pool.

        :param pool: name of the pool.
        """
        lease = self._lease_by_pool.get(pool)
        if lease is None or lease.host != self._host:
            return 0.0
        return max(0.0, self._pool_until - now())

    async def wait_change(self, revision: int) -> Tables:
        """Return the tables once their revision is beyond the given one.

        :param revision: a revision that the caller has.
        """
        while self._tables.revision <= revision:
            await self._changed.wait()
        return self._tables

    def take_tables(self, tables: Tables) -> None:
        """Put newer tables in place; older ones are dropped.

        :param tables: tables as the control group accepted them.
        """
        if tables.revision <= self._tables.revision:
            return
        self._tables = tables
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def take_freshness(self, revision: int, until: float) -> None:
        """Extend the freshness lease, if it is for the tables in place.

        :param revision: revision that counts as current.
        :param until: when the lease runs out, on the loop's clock.
        """
        if revision == self._tables.revision:
            self._fresh_until = max(self._fresh_until, until)

    def take_pool_leases(self, leases: tuple[PoolLease, ...], until: float) -> None:
        """Put newer pool leases in place; older epochs are dropped.

        :param leases: which host schedules which pool.
        :param until: when this host's own leases run out, on the loop's clock.
        """
        for lease in leases:
            known = self._lease_by_pool.get(lease.pool)
            if known is None or known.epoch <= lease.epoch:
                self._lease_by_pool[lease.pool] = lease
        self._pool_until = max(self._pool_until, until)

    def give_up_pools(self) -> None:
        """Stop scheduling every pool at once."""
        self._pool_until = float("-inf")
