"""Bounds on the difference in service between two waiting teams."""

from almondfield_fairshare.bound.core import fairness_bound, interval_bound

__all__ = ["fairness_bound", "interval_bound"]
