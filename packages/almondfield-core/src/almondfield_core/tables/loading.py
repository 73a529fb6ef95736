"""Reads tables from TOML files and plain values, and writes them to TOML."""

import dataclasses
from enum import Enum
from pathlib import Path
from typing import Any

import tomlkit
from result import Result

from almondfield_core.findings import Finding, read_checked
from almondfield_core.tables.checking import check_tables
from almondfield_core.tables.core import Tables

__all__ = ["dump_tables", "load_tables"]

MAX_TABLES_BYTES = 16 * 1024 * 1024


def load_tables(path: str | Path) -> Result[Tables, tuple[Finding, ...]]:
    """Return the tables in a TOML file, or a finding for each problem with them.

    The revision is that of the file, as an export writes it, or 0 if it has none.

    :param path: the file.
    """
    return read_checked(path, MAX_TABLES_BYTES, Tables, _check)


def _check(tables: Tables, place: str) -> tuple[Finding, ...]:
    findings = list(check_tables(tables.pools, tables.routes))
    if tables.revision < 0:
        findings.append(Finding("revision", f"is {tables.revision}", "0 or more"))
    return tuple(finding.within(place) for finding in findings)


def dump_tables(tables: Tables) -> str:
    """Return tables as TOML that :func:`load_tables` reads back.

    Items that have their default value are left out.

    :param tables: the tables.
    """
    document = tomlkit.document()
    document.add("revision", tables.revision)
    for name in ("pools", "routes"):
        rows = tomlkit.aot()
        for row in getattr(tables, name):
            rows.append(tomlkit.item(_unstructure(row)))
        if rows:
            document.add(name, rows)
    return tomlkit.dumps(document)


def _unstructure(row: Any) -> dict[str, Any]:
    """Return the items of a row that differ from their defaults."""
    values = {}
    for item in dataclasses.fields(row):
        value = getattr(row, item.name)
        if value != _default_of(item):
            values[item.name] = _to_plain(value)
    return values


def _default_of(item: dataclasses.Field) -> Any:
    if item.default_factory is not dataclasses.MISSING:
        return item.default_factory()
    return item.default


def _to_plain(value: Any) -> Any:
    match value:
        case Enum():
            return value.value
        case tuple():
            return list(value)
    if dataclasses.is_dataclass(value):
        return _unstructure(value)
    return value
