"""Fair sharing of pool slots between teams across the fleet."""

from almondfield_fairshare.router import RouterShare, RouterShareStats
from almondfield_fairshare.scheduler import PoolSchedulers, PoolSchedulersStats

__all__ = ["PoolSchedulers", "PoolSchedulersStats", "RouterShare", "RouterShareStats"]
