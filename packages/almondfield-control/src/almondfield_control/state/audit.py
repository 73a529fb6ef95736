"""Differences between two revisions of the tables, row by row."""

from collections.abc import Mapping

from almondfield_core.tables import Tables

__all__ = ["difference_of"]


def difference_of(before: Tables, after: Tables) -> tuple[str, ...]:
    """Return the rows added, removed and altered, one line each.

    :param before: the earlier tables.
    :param after: the later tables.
    """
    return (
        *_row_difference("pool", _pools_by_name(before), _pools_by_name(after)),
        *_row_difference("route", _routes_by_key(before), _routes_by_key(after)),
    )


def _pools_by_name(tables: Tables) -> dict[str, object]:
    return {pool.name: pool for pool in tables.pools}


def _routes_by_key(tables: Tables) -> dict[str, object]:
    return {f"{route.team} {route.path_prefix}": route for route in tables.routes}


def _row_difference(
    table: str, before: Mapping[str, object], after: Mapping[str, object]
) -> list[str]:
    lines = [f"removed {table} {key}" for key in before if key not in after]
    for key, row in after.items():
        if key not in before:
            lines.append(f"added {table} {key}")
        elif before[key] != row:
            lines.append(f"altered {table} {key}: {_fields(before[key], row)}")
    return lines


def _fields(before: object, after: object) -> str:
    return ", ".join(
        f"{name} {value!r} -> {vars(after)[name]!r}"
        for name, value in vars(before).items()
        if value != vars(after)[name]
    )
