"""Lists the items of a data class with their types, units and defaults."""

import dataclasses
import re
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


# Matches one field of a docstring, up to the next one or the end.
_IVAR_FIELD = re.compile(r":ivar (\w+): (.*?)(?=:ivar|\Z)", re.DOTALL)
_SECONDS_SUFFIX = "_s"
_NAME_BY_TYPE = {
    str: "text",
    bool: "true or false",
    int: "whole number",
    float: "number",
}


def list_items(data_class: type = DaemonSettings) -> tuple[ItemDescription, ...]:
    """Return the items of a data class and of those nested in it, in order.

    An item without a description in its metadata is described by the class docstring.

    :param data_class: the data class; by default the settings of a daemon.
    """
    return tuple(_list_items(data_class, ""))


def _list_items(data_class: Any, prefix: str) -> Iterator[ItemDescription]:
    type_by_name = typing.get_type_hints(data_class)
    text_by_name = dict(_IVAR_FIELD.findall(data_class.__doc__ or ""))
    for item in dataclasses.fields(data_class):
        item_type = type_by_name[item.name]
        path = f"{prefix}{item.name}"
        element_type = _element_type_of(item_type)
        if dataclasses.is_dataclass(item_type):
            yield from _list_items(item_type, f"{path}.")
        elif dataclasses.is_dataclass(element_type):
            yield from _list_items(element_type, f"{path}[].")
        else:
            text = _to_sentence(text_by_name.get(item.name, ""))
            yield ItemDescription(
                path,
                _name_type(item_type),
                item.metadata.get("unit", _unit_of(item.name)),
                _show_default(item),
                item.metadata.get("description", text),
            )


def _to_sentence(text: str) -> str:
    words = " ".join(text.split())
    return words[:1].upper() + words[1:]


def _unit_of(name: str) -> str:
    return "s" if name.endswith(_SECONDS_SUFFIX) else ""


def _element_type_of(item_type: Any) -> Any:
    """Return the type of a tuple's elements, or None if the type is not a tuple."""
    if isinstance(item_type, types.GenericAlias) and item_type.__origin__ is tuple:
        return typing.get_args(item_type)[0]
    return None


def _name_type(item_type: Any) -> str:
    element_type = _element_type_of(item_type)
    if element_type is not None:
        return f"list of {_name_type(element_type)}"
    if typing.get_origin(item_type) is dict:
        return "table of text"
    if issubclass(item_type, Enum):
        return "one of " + ", ".join(f'"{member.value}"' for member in item_type)
    return _NAME_BY_TYPE[item_type]


def _show_default(item: dataclasses.Field) -> str | None:
    if item.default_factory is not dataclasses.MISSING:
        return "{}"
    if item.default is dataclasses.MISSING:
        return None
    return _to_toml(item.default)


def _to_toml(value: Any) -> str:
    match value:
        case bool():
            return str(value).lower()
        case Enum() | str():
            return f'"{value}"'
        case tuple():
            return "[" + ", ".join(_to_toml(inner) for inner in value) + "]"
        case _:
            return str(value)
