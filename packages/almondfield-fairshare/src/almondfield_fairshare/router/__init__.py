"""Queues of a router and the slots that it may use."""

from almondfield_fairshare.router.core import RouterShare, RouterShareStats

__all__ = ["RouterShare", "RouterShareStats"]
