"""HTTP protocol of the listeners; enforces limits before an application runs."""

import asyncio
from typing import Any

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from almondfield_daemon.loop_delay import ARRIVAL_KEY, ArrivalTracker
from almondfield_daemon.serving.connection import CONNECTION_KEY, CallerConnection

__all__ = ["make_protocol"]

BAD_REQUEST = "400 Bad Request"
HEADERS_TOO_LARGE = "431 Request Header Fields Too Large"


class _LimitedProtocol(HttpToolsProtocol):
    """Refuses oversized or malformed heads with a typed answer.

    The parser does not limit the size of a head, so the bytes of an incomplete head
    are counted here.

    :cvar accepted: number of connections of this listener since its start.
    """

    accepted = 0
    max_head_bytes = 0
    head_timeout_s = 0.0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._in_head = True
        self._head_timer: asyncio.TimerHandle | None = None
        self._arrivals = ArrivalTracker(getattr(self.loop, "iterations", None))

    def connection_made(self, transport: asyncio.Transport) -> None:
        type(self).accepted += 1
        super().connection_made(transport)
        self._connection = CallerConnection(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_head_timer()
        self._connection.close()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        self._connection.close()
        super().eof_received()

    def on_message_begin(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self._start_head_timer()
        super().on_message_begin()
        self.scope["state"] |= {
            ARRIVAL_KEY: self._arrivals.next_arrival(),
            CONNECTION_KEY: self._connection,
        }

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._stop_head_timer()
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not self._in_head or self.transport.is_closing():
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.max_head_bytes:
            allowed = f"at most {self.max_head_bytes} bytes"
            self._refuse(HEADERS_TOO_LARGE, "headers-too-large", allowed)

    def send_400_response(self, msg: str) -> None:
        self._refuse(BAD_REQUEST, "malformed-request", msg)

    def _refuse(self, status: str, kind: str, detail: str) -> None:
        problem = {"error": kind, "detail": detail, "outcome": "not-run"}
        body = msgspec.json.encode(problem)
        head = (
            f"HTTP/1.1 {status}\r\n"
            "content-type: application/json\r\n"
            "almondfield-outcome: not-run\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.head_timeout_s, self._close_on_head_timeout
            )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_on_head_timeout(self) -> None:
        # A client that sends its head very slowly must not occupy a connection.
        self._head_timer = None
        self.transport.close()


def make_protocol(max_head_bytes: int, head_timeout_s: float) -> type[_LimitedProtocol]:
    """Return the protocol class of one listener.

    :param max_head_bytes: largest head of a request, in bytes.
    :param head_timeout_s: timeout for receiving a whole head, in seconds.
    """
    limits = {"max_head_bytes": max_head_bytes, "head_timeout_s": head_timeout_s}
    return type("LimitedProtocol", (_LimitedProtocol,), limits)
