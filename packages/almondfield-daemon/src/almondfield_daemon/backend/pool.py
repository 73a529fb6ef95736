"""Idle connections to backend servers, kept for a short time."""

import asyncio
import re
from collections import defaultdict
from collections.abc import Iterable

from almondfield_daemon.backend.connection import BackendConnection
from almondfield_daemon.router.calls import Header

__all__ = ["ConnectionPool", "idle_lifetime_s"]

IDLE_LIFETIME_S = 3.0
CLOSING_MARGIN_S = 1.0  # a request sent later may meet the server's close
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,;\s])timeout=(\d+)", re.IGNORECASE)
MAX_IDLE_PER_SERVER = 32


class ConnectionPool:
    """Keeps connections whose last answer was whole."""

    def __init__(self) -> None:
        self._idle_by_address: dict[
            str, list[tuple[BackendConnection, asyncio.TimerHandle]]
        ] = defaultdict(list)

    def take(self, address: str) -> BackendConnection | None:
        """Return the connection that was idle for the shortest time, if any.

        :param address: ``host:port`` of the server.
        """
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection, expiry = idle.pop()
            expiry.cancel()
            if connection.reusable:
                return connection
            connection.close()
        return None

    def put(
        self,
        address: str,
        connection: BackendConnection,
        idle_s: float = IDLE_LIFETIME_S,
    ) -> None:
        """Keep a connection for a few seconds.

        :param address: ``host:port`` of the server.
        :param connection: the connection, with no request on it.
        :param idle_s: seconds to keep it.
        """
        idle = self._idle_by_address[address]
        if len(idle) >= MAX_IDLE_PER_SERVER or idle_s <= 0:
            connection.close()
            return
        loop = asyncio.get_running_loop()
        expiry = loop.call_later(idle_s, self._expire, address, connection)
        idle.append((connection, expiry))

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_address.values():
            for connection, expiry in idle:
                expiry.cancel()
                connection.close()
        self._idle_by_address.clear()

    def _expire(self, address: str, connection: BackendConnection) -> None:
        idle = self._idle_by_address.get(address, [])
        kept = [entry for entry in idle if entry[0] is not connection]
        if kept:
            self._idle_by_address[address] = kept
        else:
            self._idle_by_address.pop(address, None)
        connection.close()


def idle_lifetime_s(headers: Iterable[Header]) -> float:
    """Return how long a connection may be idle after an answer, in seconds.

    :param headers: headers of the answer.
    """
    for name, value in headers:
        if name.lower() == b"keep-alive":
            found = KEEP_ALIVE_TIMEOUT.search(value)
            if found:
                return min(IDLE_LIFETIME_S, int(found[1]) - CLOSING_MARGIN_S)
    return IDLE_LIFETIME_S
