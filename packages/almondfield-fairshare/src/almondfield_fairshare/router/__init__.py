"""Router side of fair sharing: team queues and granted slots."""

from almondfield_fairshare.router.core import RouterShare, RouterShareStats

__all__ = ["RouterShare", "RouterShareStats"]
