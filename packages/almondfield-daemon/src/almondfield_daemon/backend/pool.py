"""A pool of idle connections to backend servers."""

import asyncio
import re
from collections import defaultdict
from collections.abc import Iterable

from almondfield_core.clock import now
from almondfield_daemon.backend.connection import BackendConnection
from almondfield_daemon.router.calls import Header

__all__ = ["ConnectionPool", "idle_lifetime_s"]

IDLE_LIFETIME_S = 3.0
CLOSING_MARGIN_S = 1.0  # a later request may reach a closed connection
# The first digits of a longer number are enough for the minimum.
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,;\s])timeout=(\d{1,9})", re.IGNORECASE)
MAX_IDLE_PER_SERVER = 32


class ConnectionPool:
    """Holds idle connections whose last answer was complete."""

    def __init__(self) -> None:
        self._idle_by_address: dict[
            str, list[tuple[BackendConnection, asyncio.TimerHandle]]
        ] = defaultdict(list)

    def take(self, address: str) -> BackendConnection | None:
        """Remove and return the most recently used idle connection, if any.

        :param address: ``host:port`` of the server.
        """
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection, expiry = idle.pop()
            expiry.cancel()
            # A late event loop may come here before it runs the timer.
            if connection.reusable and now() < expiry.when():
                return connection
            connection.close()
        return None

    def put(
        self,
        address: str,
        connection: BackendConnection,
        idle_s: float = IDLE_LIFETIME_S,
    ) -> None:
        """Add an idle connection, which is closed after a few seconds.

        :param address: ``host:port`` of the server.
        :param connection: the connection; no request is running on it.
        :param idle_s: seconds until it is closed.
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
    """Return the seconds that a connection may be idle after an answer.

    :param headers: headers of the answer.
    """
    for name, value in headers:
        if name.lower() == b"keep-alive":
            timeout = KEEP_ALIVE_TIMEOUT.search(value)
            if timeout:
                return min(IDLE_LIFETIME_S, int(timeout[1]) - CLOSING_MARGIN_S)
    return IDLE_LIFETIME_S
