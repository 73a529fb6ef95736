"""Assignment of pools to live hosts with as few moves as possible."""

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
    """Return the next pool lease to grant; None if there is none to grant.

    A pool stays at its host while the host may still schedule it. Otherwise it moves to
    the live host with the fewest pools.

    :param tables: the newest tables.
    :param lease_by_pool: the committed leases.
    :param hosts: hosts to which pools may be leased.
    :param may_schedule: returns whether a host may still hold its pool leases.
    """
    if not hosts:
        return None
    names = [pool.name for pool in tables.pools]
    lease_holders = [
        lease_by_pool[name].host for name in names if name in lease_by_pool
    ]
    count_by_host = Counter(lease_holders)
    for name in names:
        lease = lease_by_pool.get(name)
        if lease is None or not may_schedule(lease.host):
            host = min(hosts, key=lambda item: (count_by_host[item], item))
            return LeasePool(name, host)
    return None
