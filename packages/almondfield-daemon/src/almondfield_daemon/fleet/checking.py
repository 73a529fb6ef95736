"""Checks whether an announced backend server can be stored, sent on and used."""

from almondfield_core.findings import Finding, check_address, check_number, format_value
from almondfield_daemon.fleet.messages import FleetServer

__all__ = ["check_server"]

MAX_SLOTS = 100_000


def check_server(server: FleetServer) -> tuple[Finding, ...]:
    """Return a finding for each value of a server that can't be used.

    :param server: the server, as announced or as told by another host.
    """
    findings = (
        *check_address("address", server.address),
        *check_number("slots", server.slots, 1, MAX_SLOTS),
        *check_number("born_ms", server.born_ms),
        *check_number("sequence", server.sequence),
    )
    place = f"server {format_value(server.name, quote=False)}"
    return tuple(finding.within(place) for finding in findings)
