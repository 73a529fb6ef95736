"""Backend servers of a pool, as they announce themselves."""

from almondfield_fairshare.registry.core import (
    PoolServers,
    owner_pool,
    selects_server,
)

__all__ = ["PoolServers", "owner_pool", "selects_server"]
