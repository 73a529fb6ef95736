"""Reads JSON into data classes, with a finding for what can't be read."""

import re
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from almondfield_core.findings.core import Finding
from almondfield_core.findings.structuring import format_value

__all__ = ["read_json"]

T = TypeVar("T")

# The place that msgspec gives at the end of its message, such as "$.routes[0].name".
PLACE = re.compile(r" - at `\$(?P<path>[^`]*)`$")
STEP = re.compile(r"\.(?P<key>[^.\[\]]+)|\[(?P<index>\d+)\]")


def read_json(
    document: bytes, decoder: msgspec.json.Decoder[T], place: str
) -> Result[T, Finding]:
    """Return the value that a document holds, or a finding with the wrong item.

    :param document: the JSON.
    :param decoder: decoder of the value's type, which has the bounds of its items.
    :param place: name of the document.
    """
    try:
        return Ok(decoder.decode(document))
    except RecursionError:
        return Err(Finding(place, "values are nested too deeply"))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        text = str(error)
    match = PLACE.search(text)
    if match is None:
        return Err(Finding(place, f"can't be read: {text}"))
    path = match["path"]
    problem = f"is {_find(document, path)}"
    return Err(Finding(f"{place}: {path.lstrip('.')}", problem, text[: match.start()]))


def _find(document: bytes, path: str) -> str:
    """Return the item at a path as findings show it."""
    try:
        value: Any = msgspec.json.decode(document)
        for step in STEP.finditer(path):
            value = value[step["key"] or int(step["index"])]
    except (KeyError, IndexError, TypeError, ValueError, RecursionError):
        return "not readable"
    return format_value(value)
