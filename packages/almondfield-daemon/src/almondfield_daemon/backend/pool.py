"""Idle connections to backend servers, kept for a short time."""

import asyncio
from collections import defaultdict

from almondfield_daemon.backend.connection import BackendConnection

__all__ = ["ConnectionPool"]

IDLE_LIFETIME_S = 3.0
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

    def put(self, address: str, connection: BackendConnection) -> None:
        """Keep a connection for a few seconds.

        :param address: ``host:port`` of the server.
        :param connection: the connection, with no request on it.
        """
        idle = self._idle_by_address[address]
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        loop = asyncio.get_running_loop()
        expiry = loop.call_later(IDLE_LIFETIME_S, self._expire, address, connection)
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
