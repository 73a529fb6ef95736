"""Differences between tables, small enough to send with every change."""

from dataclasses import dataclass
from typing import TypeVar

from almondfield_core.tables import Pool, Route, Tables

__all__ = ["PoolSplice", "RouteSplice", "TablesDelta", "apply_delta", "delta_between"]

RowT = TypeVar("RowT")


@dataclass(frozen=True)
class PoolSplice:
    """Rows of the pools table that replace others in one place.

    :ivar start: first row that differs.
    :ivar removed: rows that are taken out from there on.
    :ivar rows: rows that are put in there.
    """

    start: int
    removed: int
    rows: tuple[Pool, ...]


@dataclass(frozen=True)
class RouteSplice:
    """Rows of the routes table that replace others in one place.

    :ivar start: first row that differs.
    :ivar removed: rows that are taken out from there on.
    :ivar rows: rows that are put in there.
    """

    start: int
    removed: int
    rows: tuple[Route, ...]


@dataclass(frozen=True)
class TablesDelta:
    """What leads from one revision of the tables to another.

    :ivar base_revision: revision that the delta starts from.
    :ivar revision: revision that it leads to.
    :ivar pools: change of the pools table.
    :ivar routes: change of the routes table.
    """

    base_revision: int
    revision: int
    pools: PoolSplice
    routes: RouteSplice


def delta_between(before: Tables, after: Tables) -> TablesDelta:
    """Return the delta from one revision to another.

    :param before: the earlier tables.
    :param after: the later tables.
    """
    return TablesDelta(
        base_revision=before.revision,
        revision=after.revision,
        pools=PoolSplice(*_splice(before.pools, after.pools)),
        routes=RouteSplice(*_splice(before.routes, after.routes)),
    )


def apply_delta(tables: Tables, delta: TablesDelta) -> Tables | None:
    """Return the tables after a delta; None where it starts from others.

    :param tables: the tables.
    :param delta: the delta.
    """
    if tables.revision != delta.base_revision:
        return None
    return Tables(
        revision=delta.revision,
        pools=_spliced(tables.pools, delta.pools),
        routes=_spliced(tables.routes, delta.routes),
    )


def _splice(
    before: tuple[RowT, ...], after: tuple[RowT, ...]
) -> tuple[int, int, tuple[RowT, ...]]:
    start = 0
    shorter = min(len(before), len(after))
    while start < shorter and before[start] == after[start]:
        start += 1
    same_end = 0
    while same_end < shorter - start and before[-1 - same_end] == after[-1 - same_end]:
        same_end += 1
    removed = len(before) - same_end - start
    return start, removed, after[start : len(after) - same_end]


def _spliced(
    rows: tuple[RowT, ...], splice: PoolSplice | RouteSplice
) -> tuple[RowT, ...]:
    end = splice.start + splice.removed
    return (*rows[: splice.start], *splice.rows, *rows[end:])
