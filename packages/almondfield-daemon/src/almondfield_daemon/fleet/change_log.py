"""Logs backend servers that appear, change, leave or are gone."""

from collections.abc import Iterable

import eliot

from almondfield_daemon.fleet.messages import FleetServer

__all__ = ["log_changes"]


def log_changes(servers: Iterable[FleetServer], cause: str) -> None:
    """Log each server that changed.

    :param servers: the servers in their new state.
    :param cause: cause of the change, such as the host that relayed it.
    """
    for server in servers:
        eliot.log_message(
            "server:changed",
            server=server.name,
            address=server.address,
            phase=server.phase.value,
            sequence=server.sequence,
            version=server.version,
            cause=cause,
        )
