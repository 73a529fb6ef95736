"""Assigns pools to live hosts, and moves none without need."""

from collections import Counter
from collections.abc import Callable, Mapping

from almondfield_control.commands import LeasePool
from almondfield_core.messages import PoolLease
from almondfield_core.tables import Tables

__all__ = ["next_pool_lease"]


def next_pool_lease(
    tables: Tables,
    lease_by_pool: Mapping[str, PoolLease],
    hosts: tuple[str, ...],
    may_schedule: Callable[[str], bool],
) -> LeasePool | None:
    """Return the next lease to give; None where every pool has its host.

    A pool stays where it is while its host may still schedule it; else it goes to
    the live host with the fewest pools.

    :param tables: the newest tables.
    :param lease_by_pool: the leases as agreed.
    :param hosts: hosts that may take pools.
    :param may_schedule: whether a host may still hold a lease.
    """
    if not hosts:
        return None
    names = [pool.name for pool in tables.pools]
    held = [lease_by_pool[name].host for name in names if name in lease_by_pool]
    count_by_host = Counter(held)
    for name in names:
        lease = lease_by_pool.get(name)
        if lease is None or not may_schedule(lease.host):
            host = min(hosts, key=lambda item: (count_by_host[item], item))
            return LeasePool(name, host)
    return None
