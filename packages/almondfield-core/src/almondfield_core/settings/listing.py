"""Lists the items of data classes with their types, units and defaults."""

import dataclasses
import types
import typing
from collections.abc import Iterator
from enum import Enum
from typing import Any

from almondfield_core.settings.core import DaemonSettings

__all__ = ["ItemDescription", "list_items"]


@dataclasses.dataclass(frozen=True)
class ItemDescription:
    """One item of the settings.

    :ivar path: path of the item, such as ``timing.heartbeat_s``.
    :ivar type_name: type of its value.
    :ivar unit: unit of its value; empty for values without one.
    :ivar default: its default as TOML; None for an item that must be given.
    :ivar description: one sentence.
    """

    path: str
    type_name: str
    unit: str
    default: str | None
    description: str


_NAME_BY_TYPE = {
    str: "text",
    bool: "true or false",
    int: "whole number",
    float: "number",
}


def list_items() -> tuple[ItemDescription, ...]:
    """Return the items of a daemon's settings, in order."""
    return tuple(_list_items(DaemonSettings, ""))


def _list_items(wanted: Any, prefix: str) -> Iterator[ItemDescription]:
    type_by_name = typing.get_type_hints(wanted)
    for item in dataclasses.fields(wanted):
        item_type = type_by_name[item.name]
        path = f"{prefix}{item.name}"
        if dataclasses.is_dataclass(item_type):
            yield from _list_items(item_type, f"{path}.")
            continue
        element = _element_of(item_type)
        if element is not None and dataclasses.is_dataclass(element):
            yield from _list_items(element, f"{path}[].")
            continue
        yield ItemDescription(
            path,
            _name_type(item_type),
            item.metadata.get("unit", ""),
            _show_default(item),
            item.metadata.get("description", ""),
        )


def _element_of(item_type: Any) -> Any:
    """Return the type of a tuple's elements, or None for another type."""
    if isinstance(item_type, types.GenericAlias) and item_type.__origin__ is tuple:
        return typing.get_args(item_type)[0]
    return None


def _name_type(item_type: Any) -> str:
    element = _element_of(item_type)
    if element is not None:
        return f"list of {_name_type(element)}"
    if isinstance(item_type, type) and issubclass(item_type, Enum):
        return "one of " + ", ".join(f'"{member.value}"' for member in item_type)
    return _NAME_BY_TYPE[item_type]


def _show_default(item: dataclasses.Field) -> str | None:
    match item.default:
        case dataclasses.MISSING:
            return None
        case bool() as flag:
            return str(flag).lower()
        case Enum() | str():
            return f'"{item.default}"'
        case _:
            return str(item.default)
