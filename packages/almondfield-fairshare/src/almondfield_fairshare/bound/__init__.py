"""Bound on how far apart the service of two waiting teams may be."""

from almondfield_fairshare.bound.core import fairness_bound, interval_bound

__all__ = ["fairness_bound", "interval_bound"]
