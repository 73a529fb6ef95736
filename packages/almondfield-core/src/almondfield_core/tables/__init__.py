"""The two tables that operators edit: pools and routes."""

from almondfield_core.tables.checking import check_tables
from almondfield_core.tables.checking_rows import check_rows
from almondfield_core.tables.core import (
    Pool,
    PoolKind,
    Route,
    Selector,
    Tables,
    Timeouts,
    hash_key,
)
from almondfield_core.tables.difference import describe_rows, difference
from almondfield_core.tables.index import TableIndex
from almondfield_core.tables.loading import dump_tables, load_tables
from almondfield_core.tables.rows import RouteKey, TableRows, rows_between

__all__ = [
    "Pool",
    "PoolKind",
    "Route",
    "RouteKey",
    "Selector",
    "TableIndex",
    "TableRows",
    "Tables",
    "Timeouts",
    "check_rows",
    "check_tables",
    "describe_rows",
    "difference",
    "dump_tables",
    "hash_key",
    "load_tables",
    "rows_between",
]
