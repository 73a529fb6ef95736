"""Converts plain values, as parsed from TOML or JSON, to frozen data classes."""

import dataclasses
import difflib
import math
import typing
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, TypeVar

import cattrs
from cattrs.gen import make_dict_structure_fn
from result import Err, Ok, Result

from almondfield_core.findings.core import AlmondfieldError, Finding

__all__ = ["StructuringError", "format_value", "structure"]

T = TypeVar("T")

INTEGER_LIMIT = 2**63
MAX_SHOWN_LENGTH = 60


class StructuringError(AlmondfieldError):
    """Raised for a value that is not allowed for its item.

    :param problem: what is wrong, with the value.
    :param allowed: the allowed values.
    """

    def __init__(self, problem: str, allowed: str = "") -> None:
        super().__init__(problem)
        self.problem = problem
        self.allowed = allowed


def structure(
    value: Any, target_type: type[T], place: str
) -> Result[T, tuple[Finding, ...]]:
    """Return an instance of a data class, or a finding for each wrong item.

    :param value: mapping of plain values.
    :param target_type: the data class.
    :param place: file or other source, named in each finding.
    """
    try:
        return Ok(_CONVERTER.structure(value, target_type))
    except (cattrs.BaseValidationError, StructuringError) as error:
        return Err(tuple(_collect(error, place, "")))
    except RecursionError:
        return Err((Finding(place, "values are nested too deeply"),))


def _collect(error: BaseException, place: str, path: str) -> list[Finding]:
    """Return the findings of an error and of all errors nested in it."""
    if not isinstance(error, cattrs.BaseValidationError):
        return _describe(error, place, path)
    findings = []
    for inner in error.exceptions:
        findings += _collect(inner, place, _extend_path(path, inner))
    return findings


def _extend_path(path: str, error: BaseException) -> str:
    """Return the path of an item, given the path of the value that contains it."""
    for note in getattr(error, "__notes__", ()):
        match note:
            case cattrs.AttributeValidationNote():
                return f"{path}.{note.name}" if path else note.name
            case cattrs.IterableValidationNote():
                return f"{path}[{note.index}]"
    return path


def _describe(error: BaseException, place: str, path: str) -> list[Finding]:
    where = f"{place}: {path}" if path else place
    match error:
        case StructuringError():
            return [Finding(where, error.problem, error.allowed)]
        case cattrs.ForbiddenExtraKeysError():
            return _describe_extra_keys(error, place, path)
        case KeyError():
            return [Finding(where, "is missing")]
        case _:
            return [Finding(where, f"cannot be read: {error}")]


def _describe_extra_keys(
    error: cattrs.ForbiddenExtraKeysError, place: str, path: str
) -> list[Finding]:
    known = [item.name for item in dataclasses.fields(error.cl)]
    findings = []
    for key in sorted(error.extra_fields, key=str):
        nearest = difflib.get_close_matches(str(key), known, n=1)
        allowed = f"did you mean {nearest[0]}?" if nearest else ", ".join(known)
        item = (
            f"{path}.{format_value(key, quote=False)}"
            if path
            else format_value(key, quote=False)
        )
        findings.append(Finding(f"{place}: {item}", "unknown item", allowed))
    return findings


def format_value(value: Any, quote: bool = True) -> str:
    """Return a value as findings show it, truncated if it is long.

    :param value: a plain value.
    :param quote: whether to quote text.
    """
    text = repr(value) if quote or not isinstance(value, str) else value
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return text[:MAX_SHOWN_LENGTH] + "..."


def _read_text(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise StructuringError(f"is {format_value(value)}", "text")
    return value


def _read_flag(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise StructuringError(f"is {format_value(value)}", "true or false")
    return value


def _read_integer(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise StructuringError(f"is {format_value(value)}", "a whole number")
    if not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
        raise StructuringError("is too large", "a 64-bit whole number")
    return value


def _read_number(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise StructuringError(f"is {format_value(value)}", "a number")
    if isinstance(value, int):
        return float(_read_integer(value, int))
    if not math.isfinite(value):
        raise StructuringError(f"is {value}", "a finite number")
    return value


def _read_enum(value: Any, target_type: type[StrEnum]) -> StrEnum:
    allowed = ", ".join(str(member.value) for member in target_type)
    if not isinstance(value, str):
        raise StructuringError(f"is {format_value(value)}", allowed)
    try:
        return target_type(value)
    except ValueError:
        raise StructuringError(f"is {format_value(value)}", allowed) from None


def _make_mapping_reader(
    target_type: type, converter: cattrs.Converter
) -> Callable[[Any, type], Any]:
    """Return a reader of a data class that accepts only a mapping."""
    read = make_dict_structure_fn(
        target_type, converter, _cattrs_forbid_extra_keys=True
    )

    def read_mapping(value: Any, _: type) -> Any:
        if not isinstance(value, Mapping):
            raise StructuringError(f"is {format_value(value)}", "a table of items")
        return read(value, target_type)

    return read_mapping


def _make_list_reader(
    target_type: Any, converter: cattrs.Converter
) -> Callable[[Any, type], Any]:
    """Return a reader of a tuple of any length that accepts only a list."""
    element = typing.get_args(target_type)[0]

    def read_list(value: Any, _: type) -> Any:
        if not isinstance(value, list | tuple):
            raise StructuringError(f"is {format_value(value)}", "a list")
        return tuple(converter.structure(list(value), list[element]))

    return read_list


def _make_dict_reader(
    target_type: Any, converter: cattrs.Converter
) -> Callable[[Any, type], Any]:
    """Return a reader of a mapping from text to values of one type."""
    element = typing.get_args(target_type)[1]

    def read_dict(value: Any, _: type) -> Any:
        if not isinstance(value, Mapping):
            raise StructuringError(f"is {format_value(value)}", "a table of items")
        return {
            _read_text(key, str): converter.structure(inner, element)
            for key, inner in value.items()
        }

    return read_dict


def _has_origin(origin: type) -> Callable[[Any], bool]:
    return lambda target_type: typing.get_origin(target_type) is origin


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(str, _read_text)
    converter.register_structure_hook(bool, _read_flag)
    converter.register_structure_hook(int, _read_integer)
    converter.register_structure_hook(float, _read_number)
    converter.register_structure_hook(StrEnum, _read_enum)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda target_type: _make_mapping_reader(target_type, converter),
    )
    converter.register_structure_hook_factory(
        _has_origin(tuple),
        lambda target_type: _make_list_reader(target_type, converter),
    )
    converter.register_structure_hook_factory(
        _has_origin(dict), lambda target_type: _make_dict_reader(target_type, converter)
    )
    return converter


_CONVERTER = _make_converter()
