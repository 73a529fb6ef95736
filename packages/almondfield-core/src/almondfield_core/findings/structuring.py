"""Turns plain values, as TOML and JSON give them, into frozen data classes."""

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

__all__ = ["StructuringError", "show", "structure"]

T = TypeVar("T")

INTEGER_LIMIT = 2**63
SHOWN_VALUE_LENGTH = 60


class StructuringError(AlmondfieldError):
    """Raised for one value that does not fit its item.

    :param problem: what is wrong, with the value.
    :param allowed: what would have been allowed.
    """

    def __init__(self, problem: str, allowed: str = "") -> None:
        super().__init__(problem)
        self.problem = problem
        self.allowed = allowed


def structure(
    value: Any, wanted: type[T], place: str
) -> Result[T, tuple[Finding, ...]]:
    """Return an instance of a data class, or a finding for each wrong item.

    :param value: mapping of plain values.
    :param wanted: the data class.
    :param place: file or other source, named in each finding.
    """
    try:
        return Ok(_CONVERTER.structure(value, wanted))
    except (cattrs.BaseValidationError, StructuringError) as error:
        return Err(tuple(_collect(error, place, "")))
    except RecursionError:
        return Err((Finding(place, "values are nested too deeply"),))


def _collect(error: BaseException, place: str, path: str) -> list[Finding]:
    """Return the findings of an error and of all errors grouped in it."""
    if not isinstance(error, cattrs.BaseValidationError):
        return _describe(error, place, path)
    findings = []
    for inner in error.exceptions:
        findings += _collect(inner, place, _extend(path, inner))
    return findings


def _extend(path: str, error: BaseException) -> str:
    """Return the path of an error within the item that holds it."""
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
        item = f"{path}.{show(key, quote=False)}" if path else show(key, quote=False)
        findings.append(Finding(f"{place}: {item}", "unknown item", allowed))
    return findings


def show(value: Any, quote: bool = True) -> str:
    """Return a value as findings print it, cut where it is long.

    :param value: a plain value.
    :param quote: whether text is quoted.
    """
    text = repr(value) if quote or not isinstance(value, str) else value
    if len(text) <= SHOWN_VALUE_LENGTH:
        return text
    return text[:SHOWN_VALUE_LENGTH] + "..."


def _read_text(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise StructuringError(f"is {show(value)}", "text")
    return value


def _read_flag(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise StructuringError(f"is {show(value)}", "true or false")
    return value


def _read_integer(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise StructuringError(f"is {show(value)}", "a whole number")
    if not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
        raise StructuringError("is too large", "a whole number of 64 bits")
    return value


def _read_number(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise StructuringError(f"is {show(value)}", "a number")
    if isinstance(value, int):
        return float(_read_integer(value, int))
    if not math.isfinite(value):
        raise StructuringError(f"is {value}", "a finite number")
    return value


def _read_enum(value: Any, wanted: type[StrEnum]) -> StrEnum:
    allowed = ", ".join(str(member.value) for member in wanted)
    if not isinstance(value, str):
        raise StructuringError(f"is {show(value)}", allowed)
    try:
        return wanted(value)
    except ValueError:
        raise StructuringError(f"is {show(value)}", allowed) from None


def _make_mapping_reader(
    wanted: type, converter: cattrs.Converter
) -> Callable[[Any, type], Any]:
    """Return a reader of a data class that refuses anything but a mapping."""
    read = make_dict_structure_fn(wanted, converter, _cattrs_forbid_extra_keys=True)

    def read_mapping(value: Any, _: type) -> Any:
        if not isinstance(value, Mapping):
            raise StructuringError(f"is {show(value)}", "a table of items")
        return read(value, wanted)

    return read_mapping


def _make_list_reader(
    wanted: Any, converter: cattrs.Converter
) -> Callable[[Any, type], Any]:
    """Return a reader of a tuple of any length that refuses anything but a list."""
    element = typing.get_args(wanted)[0]

    def read_list(value: Any, _: type) -> Any:
        if not isinstance(value, list | tuple):
            raise StructuringError(f"is {show(value)}", "a list")
        return tuple(converter.structure(list(value), list[element]))

    return read_list


def _make_dict_reader(
    wanted: Any, converter: cattrs.Converter
) -> Callable[[Any, type], Any]:
    """Return a reader of a mapping from text to one type."""
    element = typing.get_args(wanted)[1]

    def read_dict(value: Any, _: type) -> Any:
        if not isinstance(value, Mapping):
            raise StructuringError(f"is {show(value)}", "a table of items")
        return {
            _read_text(key, str): converter.structure(inner, element)
            for key, inner in value.items()
        }

    return read_dict


def _has_origin(origin: type) -> Callable[[Any], bool]:
    return lambda wanted: typing.get_origin(wanted) is origin


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(str, _read_text)
    converter.register_structure_hook(bool, _read_flag)
    converter.register_structure_hook(int, _read_integer)
    converter.register_structure_hook(float, _read_number)
    converter.register_structure_hook(StrEnum, _read_enum)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass, lambda wanted: _make_mapping_reader(wanted, converter)
    )
    converter.register_structure_hook_factory(
        _has_origin(tuple), lambda wanted: _make_list_reader(wanted, converter)
    )
    converter.register_structure_hook_factory(
        _has_origin(dict), lambda wanted: _make_dict_reader(wanted, converter)
    )
    return converter


_CONVERTER = _make_converter()
