"""The two tables that operators edit: pools and routes."""

from almondfield_core.tables.checking import check_tables
from almondfield_core.tables.core import (
    Pool,
    PoolKind,
    Route,
    Selector,
    Tables,
    Timeouts,
    hash_key,
)
from almondfield_core.tables.difference import difference
from almondfield_core.tables.loading import dump_tables, load_tables

__all__ = [
    "Pool",
    "PoolKind",
    "Route",
    "Selector",
    "Tables",
    "Timeouts",
    "check_tables",
    "difference",
    "dump_tables",
    "hash_key",
    "load_tables",
]
