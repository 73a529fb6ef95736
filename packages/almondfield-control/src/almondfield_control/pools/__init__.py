"""Assignment of pools to the hosts that schedule them."""

from almondfield_control.pools.core import next_pool_lease

__all__ = ["next_pool_lease"]
