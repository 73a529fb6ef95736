"""The tables and leases of one host."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from almondfield_control.freshness.delta import TablesDelta
from almondfield_control.freshness.evacuations import EvacuationView
from almondfield_core.clock import now
from almondfield_core.messages import PoolLease
from almondfield_core.tables import TableIndex, Tables

__all__ = ["HostView"]


class HostView:
    """The ``TableView`` of one host; its revision never goes down.

    :param host: name of the host.

    :ivar evacuations: evacuations of data centres.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self.evacuations = EvacuationView()
        self._tables = Tables()
        # Built when the first delta after a replacement of the tables is applied.
        self._index: TableIndex | None = None
        self._leases_index = 0
        self._lease_by_pool: dict[str, PoolLease] = {}
        self._freshness_expiry = float("-inf")
        self._pool_expiry = float("-inf")
        self._own_lease_expiry = float("-inf")
        self._relayed_leases: list[tuple[int, float]] = []
        self._changed = asyncio.Event()
        self._leases_updated = asyncio.Event()

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
        return max(0.0, self._freshness_expiry - now())

    def pool_lease_left_s(self, pool: str) -> float:
        """Return the seconds for which this host may schedule a pool.

        :param pool: name of the pool.
        """
        lease = self._lease_by_pool.get(pool)
        if lease is None or lease.host != self._host:
            return 0.0
        return max(0.0, self._pool_expiry - now())

    async def wait_for_revision(self, revision: int) -> Tables:
        """Return the tables once their revision is beyond the given one.

        :param revision: a revision that the caller has.
        """
        while self._tables.revision <= revision:
            await self._changed.wait()
        return self._tables

    async def wait_for_leases(self) -> None:
        """Return once the pool leases were renewed or changed."""
        await self._leases_updated.wait()

    def install_tables(self, tables: Tables) -> None:
        """Replace the tables by newer ones; older ones are ignored.

        :param tables: tables accepted by the control group.
        """
        if tables.revision <= self._tables.revision:
            return
        self._index = None
        self._replace_tables(tables)

    def apply_delta(self, delta: TablesDelta) -> None:
        """Apply a delta; it is ignored if its base is another revision.

        :param delta: changes accepted by the control group.
        """
        if delta.base_revision != self._tables.revision or not delta.steps:
            return
        index = self._index or TableIndex(self._tables)
        for rows in delta.steps:
            index.apply(rows)
        self._index = index
        self._replace_tables(index.tables(delta.revision))

    def _replace_tables(self, tables: Tables) -> None:
        self._tables = tables
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def extend_freshness(
        self, revision: int, expiry: float, relayed: bool = False
    ) -> None:
        """Extend the freshness lease, if it is for the current revision.

        :param revision: revision that counts as current.
        :param expiry: time on the loop's clock at which the lease expires.
        :param relayed: whether a neighbour relayed it; this host does not relay such a
            lease further.
        """
        if revision != self._tables.revision:
            return
        self._freshness_expiry = max(self._freshness_expiry, expiry)
        if not relayed:
            self._own_lease_expiry = max(self._own_lease_expiry, expiry)

    def relay_lease_s(self) -> float:
        """Return the seconds left of this host's lease; record that it is relayed.

        :returns: 0 if this host has no lease of its own.
        """
        left_s = max(0.0, self._own_lease_expiry - now())
        if left_s > 0:
            self._relayed_leases.append((self._tables.revision, self._own_lease_expiry))
        return left_s

    def lowest_served_revision(self) -> int:
        """Return the lowest revision served by this host or by hosts it relayed to."""
        self._relayed_leases = [
            item for item in self._relayed_leases if item[1] > now()
        ]
        revisions = [revision for revision, _ in self._relayed_leases]
        return min([self._tables.revision, *revisions])

    @property
    def leases_index(self) -> int:
        """Return the index of the newest pool lease entry."""
        return self._leases_index

    def update_pool_leases(
        self, leases: tuple[PoolLease, ...], leases_index: int, expiry: float
    ) -> None:
        """Update the pool leases; leases of older epochs are ignored.

        :param leases: all pool leases; empty if none changed.
        :param leases_index: index of the entry that last changed one.
        :param expiry: time on the loop's clock at which this host's leases expire.
        """
        for lease in leases:
            known = self._lease_by_pool.get(lease.pool)
            if known is None or known.epoch <= lease.epoch:
                self._lease_by_pool[lease.pool] = lease
        self._leases_index = max(self._leases_index, leases_index)
        self._pool_expiry = max(self._pool_expiry, expiry)
        updated, self._leases_updated = self._leases_updated, asyncio.Event()
        updated.set()

    def release_pools(self) -> None:
        """Stop scheduling every pool at once."""
        self._pool_expiry = float("-inf")
