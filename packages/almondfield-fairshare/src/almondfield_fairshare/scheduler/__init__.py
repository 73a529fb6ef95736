"""Schedulers of the pools whose leases this host holds."""

from almondfield_fairshare.scheduler.core import PoolSchedulers, PoolSchedulersStats

__all__ = ["PoolSchedulers", "PoolSchedulersStats"]
