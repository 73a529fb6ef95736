"""Backend servers of a pool, as they announce themselves."""

from almondfield_fairshare.registry.core import (
    News,
    PoolServers,
    owner_pool,
    selects_server,
)

__all__ = ["News", "PoolServers", "owner_pool", "selects_server"]
