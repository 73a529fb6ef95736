"""Counters of the weighted service of each team in a pool."""

from almondfield_fairshare.counters.core import ServiceCounters

__all__ = ["ServiceCounters"]
