"""The connection that carries a caller's requests, and whether it was closed."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

__all__ = ["CONNECTION_KEY", "CallerConnection", "connection_of"]

CONNECTION_KEY = "connection"  # in the state of an ASGI scope


class CallerConnection:
    """The connection that carries a caller's requests.

    An application learns of a disconnect some iterations of the event loop after the
    protocol does, and the protocol one iteration after the kernel. In a busy loop that
    takes long enough to send a request that nobody waits for.

    :param transport: transport of the connection.

    :ivar on_close: called once the protocol sees the end of the connection, but not for
        an end that :meth:`is_closed` finds.
    :ivar has_waiting: returns whether a request has come behind the one that is served.
    :ivar deferred_closes: number of answers after which the connection should have
        closed and didn't, as a request had come behind them.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._is_closed = False
        self.on_close: Callable[[], None] = lambda: None
        self.has_waiting: Callable[[], bool] = lambda: False
        self.deferred_closes = 0

    def peer_host(self) -> str:
        """Return the IP address of the caller; empty if it isn't known."""
        peer = self._transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    def close(self) -> None:
        """Record that the caller has closed the connection."""
        if not self._is_closed:
            self._is_closed = True
            self.on_close()

    def is_closed(self) -> bool:
        """Return whether the caller has closed, by what the kernel has received."""
        self._is_closed = self._is_closed or self._peek() == b""
        return self._is_closed

    def has_unread(self) -> bool:
        """Return whether bytes lie in the socket that nobody has read."""
        return bool(self._peek())

    def _peek(self) -> bytes | None:
        """Return a byte that can be read, empty at the end; None if none has come."""
        owner = self._transport.get_extra_info("socket")
        if owner is None or owner.fileno() < 0:
            return b""
        # The socket object of a transport has no method to receive.
        peeked = socket.socket(owner.family, owner.type, owner.proto, owner.fileno())
        try:
            return peeked.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            peeked.detach()


def connection_of(scope: Any) -> CallerConnection | None:
    """Return the connection of a request; None if the listener records none.

    :param scope: ASGI scope of the request.
    """
    return scope.get("state", {}).get(CONNECTION_KEY)
