"""The two tables that operators edit: pools and routes."""

from almondfield_core.tables.core import (
    Pool,
    PoolKind,
    Route,
    Selector,
    Tables,
    Timeouts,
    hash_key,
)

__all__ = [
    "Pool",
    "PoolKind",
    "Route",
    "Selector",
    "Tables",
    "Timeouts",
    "hash_key",
]
