"""Checks whether an announced backend server can be stored, sent on and used."""

import re
from collections.abc import Iterator

from almondfield_core.findings import Finding, check_address, check_number, format_value
from almondfield_daemon.fleet.messages import FleetServer

__all__ = ["check_server"]

MAX_SLOTS = 100_000
MAX_TEXT_CHARACTERS = 255
# Requests name the server in a header.
NAME = re.compile(r"[\x21-\x7e]{1,255}")


def check_server(server: FleetServer) -> tuple[Finding, ...]:
    """Return a finding for each value of a server that can't be used.

    :param server: the server, as announced or as told by another host.
    """
    findings = (
        *_check_name(server.name),
        *_check_text("pool", server.pool),
        *_check_text("data_centre", server.data_centre),
        *_check_text("version", server.version),
        *check_address("address", server.address),
        *check_number("slots", server.slots, 1, MAX_SLOTS),
        *check_number("born_ms", server.born_ms),
        *check_number("sequence", server.sequence),
    )
    place = f"server {format_value(server.name)}"
    return tuple(finding.within(place) for finding in findings)


def _check_name(name: str) -> Iterator[Finding]:
    if NAME.fullmatch(name) is None:
        allowed = "1 to 255 visible characters of ASCII"
        yield Finding("name", f"is {format_value(name)}", allowed)


def _check_text(place: str, text: str) -> Iterator[Finding]:
    if len(text) > MAX_TEXT_CHARACTERS:
        allowed = f"{MAX_TEXT_CHARACTERS} characters"
        yield Finding(place, f"is {format_value(text)}", allowed)
