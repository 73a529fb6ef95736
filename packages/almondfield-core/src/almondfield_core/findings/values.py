"""Types and checks of values that come from other programs."""

import re
from collections.abc import Iterator
from typing import Annotated

import msgspec

from almondfield_core.findings.core import Finding
from almondfield_core.findings.structuring import INTEGER_LIMIT, format_value

__all__ = [
    "MAX_INTEGER",
    "MIN_INTEGER",
    "Integer",
    "PositiveInteger",
    "check_address",
    "check_number",
]

MAX_PORT = 65_535
ADDRESS = re.compile(r"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})")
MIN_INTEGER = -INTEGER_LIMIT
MAX_INTEGER = INTEGER_LIMIT - 1

# JSON has whole numbers of any size; messages between hosts and files have 64 bits.
Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]


def check_number(
    place: str, number: int, minimum: int = MIN_INTEGER, maximum: int = MAX_INTEGER
) -> Iterator[Finding]:
    """Yield a finding if a whole number is out of range.

    :param place: place of the number.
    :param number: the number.
    :param minimum: smallest allowed number.
    :param maximum: largest allowed number.
    """
    if not minimum <= number <= maximum:
        yield Finding(place, f"is {format_value(number)}", f"{minimum} to {maximum}")


def check_address(place: str, address: str) -> Iterator[Finding]:
    """Yield a finding if no connection can be made to an address.

    :param place: place of the address.
    :param address: the address, ``host:port``.
    """
    match = ADDRESS.fullmatch(address)
    if match is None or not 1 <= int(match[1]) <= MAX_PORT:
        allowed = f"host:port with a port of 1 to {MAX_PORT}"
        yield Finding(place, f"is {format_value(address)}", allowed)
