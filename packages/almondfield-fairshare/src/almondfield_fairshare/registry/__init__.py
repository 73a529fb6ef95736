"""Backend servers of a pool, as they announce themselves."""

from almondfield_fairshare.registry.core import (
    News,
    PoolServers,
    owner_pool,
    selects_server,
)
from almondfield_fairshare.registry.ownership import ServerOwnership

__all__ = ["News", "PoolServers", "ServerOwnership", "owner_pool", "selects_server"]
