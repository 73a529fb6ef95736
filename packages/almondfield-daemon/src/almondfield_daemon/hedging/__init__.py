"""Decides when a second copy of a slow request is sent, and how many copies may be."""

from almondfield_daemon.hedging.core import HedgeRefusal, HedgeResult, Hedging, PoolLoad

__all__ = ["HedgeRefusal", "HedgeResult", "Hedging", "PoolLoad"]
