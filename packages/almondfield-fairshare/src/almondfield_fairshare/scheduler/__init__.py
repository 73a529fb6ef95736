"""Schedulers of the pools that this host holds."""

from almondfield_fairshare.scheduler.core import PoolSchedulers, PoolSchedulersStats

__all__ = ["PoolSchedulers", "PoolSchedulersStats"]
