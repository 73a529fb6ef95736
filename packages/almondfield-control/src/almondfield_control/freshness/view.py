"""The tables and leases of one host."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from almondfield_control.freshness.delta import TablesDelta
from almondfield_core.clock import now
from almondfield_core.messages import PoolLease
from almondfield_core.tables import TableIndex, Tables

__all__ = ["HostView"]


class HostView:
    """The ``TableView`` of one host; its revision never goes down.

    :param host: name of the host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._tables = Tables()
        # Made with the first change of rows after whole tables.
        self._index: TableIndex | None = None
        self._leases_index = 0
        self._lease_by_pool: dict[str, PoolLease] = {}
        self._fresh_until = float("-inf")
        self._pool_until = float("-inf")
        self._own_until = float("-inf")
        self._relayed: list[tuple[int, float]] = []
        self._changed = asyncio.Event()
        self._leases_taken = asyncio.Event()

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

    async def wait_leases(self) -> None:
        """Return once the pool leases were renewed or changed."""
        await self._leases_taken.wait()

    def take_tables(self, tables: Tables) -> None:
        """Put newer tables in place; older ones are dropped.

        :param tables: tables as the control group accepted them.
        """
        if tables.revision <= self._tables.revision:
            return
        self._index = None
        self._put_in_place(tables)

    def take_delta(self, delta: TablesDelta) -> None:
        """Put newer tables in place; a delta from others than these is dropped.

        :param delta: changes as the control group accepted them.
        """
        if delta.base_revision != self._tables.revision or not delta.steps:
            return
        index = self._index or TableIndex(self._tables)
        for rows in delta.steps:
            index.apply(rows)
        self._index = index
        self._put_in_place(index.tables(delta.revision))

    def _put_in_place(self, tables: Tables) -> None:
        self._tables = tables
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def take_freshness(
        self, revision: int, until: float, relayed: bool = False
    ) -> None:
        """Extend the freshness lease, if it is for the tables in place.

        :param revision: revision that counts as current.
        :param until: when the lease runs out, on the loop's clock.
        :param relayed: whether a neighbour shared it; such a lease goes no further.
        """
        if revision != self._tables.revision:
            return
        self._fresh_until = max(self._fresh_until, until)
        if not relayed:
            self._own_until = max(self._own_until, until)

    def relay_left_s(self) -> float:
        """Return the seconds of a lease that a neighbour may share; note that it may.

        :returns: 0 without a lease of the host's own.
        """
        left_s = max(0.0, self._own_until - now())
        if left_s > 0:
            self._relayed.append((self._tables.revision, self._own_until))
        return left_s

    def acknowledged(self) -> int:
        """Return the lowest revision that this host, or one it relayed to, serves."""
        self._relayed = [item for item in self._relayed if item[1] > now()]
        revisions = [revision for revision, _ in self._relayed]
        return min([self._tables.revision, *revisions])

    @property
    def leases_index(self) -> int:
        """Return the entry of the newest change of pool leases."""
        return self._leases_index

    def take_pool_leases(
        self, leases: tuple[PoolLease, ...], leases_index: int, until: float
    ) -> None:
        """Put newer pool leases in place; older epochs are dropped.

        :param leases: which host schedules which pool; empty where nothing changed.
        :param leases_index: entry that last changed one.
        :param until: when this host's own leases run out, on the loop's clock.
        """
        for lease in leases:
            known = self._lease_by_pool.get(lease.pool)
            if known is None or known.epoch <= lease.epoch:
                self._lease_by_pool[lease.pool] = lease
        self._leases_index = max(self._leases_index, leases_index)
        self._pool_until = max(self._pool_until, until)
        taken, self._leases_taken = self._leases_taken, asyncio.Event()
        taken.set()

    def give_up_pools(self) -> None:
        """Stop scheduling every pool at once."""
        self._pool_until = float("-inf")
