"""The difference between two versions of the tables, row by row."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from typing import Any

from almondfield_core.tables.core import Pool, Route, Tables

__all__ = ["difference"]

SHOWN_HASH_LENGTH = 12


def difference(old: Tables, new: Tables) -> tuple[str, ...]:
    """Return one line for each row that was removed, altered or added.

    :param old: the tables before.
    :param new: the tables after.
    """
    pools = _compare(old.pools, new.pools, _name_pool)
    routes = _compare(old.routes, new.routes, _name_route)
    return (*pools, *routes)


def _name_pool(pool: Pool) -> str:
    return f'pool "{pool.name}"'


def _name_route(route: Route) -> str:
    return f'route "{route.team}" {route.path_prefix}'


def _compare(
    old: Iterable[Any], new: Iterable[Any], name: Callable[[Any], str]
) -> Iterator[str]:
    old_by_name = {name(row): row for row in old}
    new_by_name = {name(row): row for row in new}
    for row_name in old_by_name:
        if row_name not in new_by_name:
            yield f"- {row_name}"
    for row_name, row in new_by_name.items():
        before = old_by_name.get(row_name)
        if before is None:
            yield f"+ {row_name}: {', '.join(_show_items(row))}"
        elif before != row:
            yield f"~ {row_name}: {', '.join(_compare_items(before, row))}"


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
