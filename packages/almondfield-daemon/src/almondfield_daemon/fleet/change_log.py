"""Log lines of backend servers that appear, leave or are gone."""

from collections.abc import Iterable

import eliot

from almondfield_daemon.fleet.messages import FleetServer

__all__ = ["log_changes"]


def log_changes(servers: Iterable[FleetServer], cause: str) -> None:
    """Write the line of each server that changed.

    :param servers: the servers as they are now.
    :param cause: who told, or what was seen.
    """
    for server in servers:
        eliot.log_message(
            "server:changed",
            server=server.name,
            address=server.address,
            phase=server.phase.value,
            sequence=server.sequence,
            cause=cause,
        )
