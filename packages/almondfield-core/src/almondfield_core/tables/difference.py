"""The difference between two versions of the tables, row by row."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from typing import Any

from almondfield_core.tables.core import Pool, Route, Tables
from almondfield_core.tables.index import TableIndex
from almondfield_core.tables.rows import RouteKey, TableRows, rows_between

__all__ = ["describe_rows", "difference"]

SHOWN_HASH_LENGTH = 12


def difference(old: Tables, new: Tables) -> tuple[str, ...]:
    """Return one line for each row that was removed, altered or added.

    :param old: the tables before.
    :param new: the tables after.
    """
    rows = rows_between(old, new)
    return describe_rows(TableIndex(old).replaced_by(rows), rows)


def describe_rows(replaced: TableRows, rows: TableRows) -> tuple[str, ...]:
    """Return one line for each row that a change removes, alters or adds.

    :param replaced: the rows that the change replaces or removes.
    :param rows: the change.
    """
    removed_pools = [f'pool "{name}"' for name in rows.removed_pools]
    removed_routes = [_name_route(key) for key in rows.removed_routes]
    return (
        *(f"- {pool}" for pool in removed_pools),
        *_compare(replaced.put_pools, rows.put_pools, _name_pool),
        *(f"- {route}" for route in removed_routes),
        *_compare(replaced.put_routes, rows.put_routes, _name_route),
    )


def _name_pool(pool: Pool) -> str:
    return f'pool "{pool.name}"'


def _name_route(route: Route | RouteKey) -> str:
    return f'route "{route.team}" {route.path_prefix}'


def _compare(
    replaced: Iterable[Any], put: Iterable[Any], name: Callable[[Any], str]
) -> Iterator[str]:
    before_by_name = {name(row): row for row in replaced}
    for row in put:
        before = before_by_name.get(name(row))
        if before is None:
            yield f"+ {name(row)}: {', '.join(_show_items(row))}"
        elif before != row:
            yield f"~ {name(row)}: {', '.join(_compare_items(before, row))}"


def _show_items(row: Any) -> list[str]:
    return [
        f"{item.name} = {_show(getattr(row, item.name))}"
        for item in dataclasses.fields(row)
        if getattr(row, item.name) != item.default
    ]


def _compare_items(before: Any, after: Any) -> list[str]:
    return [
        f"{item.name} {_show(getattr(before, item.name))} -> "
        f"{_show(getattr(after, item.name))}"
        for item in dataclasses.fields(after)
        if getattr(before, item.name) != getattr(after, item.name)
    ]


def _show(value: Any) -> str:
    match value:
        case Enum():
            return str(value.value)
        case tuple():
            return "[" + ", ".join(_show(inner) for inner in value) + "]"
        case str() if len(value) > SHOWN_HASH_LENGTH * 2:
            return f'"{value[:SHOWN_HASH_LENGTH]}..."'
        case str():
            return f'"{value}"'
    if dataclasses.is_dataclass(value):
        return "{" + ", ".join(_show_items(value)) + "}"
    return str(value)
