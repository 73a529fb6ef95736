"""Registry of the backend servers of a pool, built from their announcements."""

from almondfield_fairshare.registry.core import (
    PoolServers,
    RegistryUpdate,
    owner_pool,
    selects_server,
)
from almondfield_fairshare.registry.ownership import ServerOwnership

__all__ = [
    "PoolServers",
    "RegistryUpdate",
    "ServerOwnership",
    "owner_pool",
    "selects_server",
]
