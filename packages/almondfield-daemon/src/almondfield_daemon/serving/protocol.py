"""HTTP protocol of the listeners; enforces limits before an application runs."""

import asyncio
from collections.abc import Collection
from typing import Any

import httptools
import msgspec
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from almondfield_daemon.loop_delay import ARRIVAL_KEY, AcceptTimes, ArrivalTracker
from almondfield_daemon.serving.connection import CONNECTION_KEY, CallerConnection
from almondfield_daemon.serving.gate import Gate, HeadRefusal, RequestHead
from almondfield_daemon.serving.lingering import STOP_LINGER_S, LingeringTransport

__all__ = ["make_protocol"]

BAD_REQUEST = "400 Bad Request"
HEADERS_TOO_LARGE = "431 Request Header Fields Too Large"
MAX_WAITING_REQUESTS = 100  # of a connection; with more, nothing is read from it


class _PipelineFlow(FlowControl):
    """Flow control that reads no further requests while many wait.

    :param transport: transport of the connection.
    :param waiting: the requests that wait.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        waiting: Collection[tuple[RequestResponseCycle, Any]],
    ) -> None:
        super().__init__(transport)
        self._waiting = waiting

    def resume_reading(self) -> None:
        """Read on, unless many requests wait; each answer tries again."""
        if len(self._waiting) <= MAX_WAITING_REQUESTS:
            super().resume_reading()


class _LimitedProtocol(HttpToolsProtocol):
    """Refuses oversized or malformed heads with a typed answer.

    The parser does not limit the size of a head, so the bytes of an incomplete head
    are counted here.

    :cvar accepted: number of connections of this listener since its start.
    """

    accepted = 0
    max_head_bytes = 0
    head_timeout_s = 0.0
    gate: Gate | None = None
    accepts: AcceptTimes

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The base class's cycle is of the newest request, which may wait for this one.
        self._running: RequestResponseCycle | None = None
        self._head_bytes = 0
        self._heads_begun = 0  # in the bytes that are parsed now
        self._in_head = True
        self._head_timer: asyncio.TimerHandle | None = None
        self._refusal: HeadRefusal | None = None
        self._refused_bytes = 0
        self._is_discarding = False
        self._is_request_read = True
        self._is_stopping = False
        self._arrivals = ArrivalTracker(
            getattr(self.loop, "iterations", None), self.accepts
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        type(self).accepted += 1
        # The base class would look up both addresses, which no application uses.
        self.connections.add(self)
        # Whatever closes the connection does so by this transport.
        self.transport = LingeringTransport(
            transport, self._has_unread_request, self._drop_request
        )
        self.flow = _PipelineFlow(transport, self.pipeline)
        self.scheme = "http"
        self._connection = CallerConnection(transport)
        self._connection.has_waiting = self._has_waiting
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_head_timer()
        self.transport.record_end(exc)
        self._close_connection()
        super().connection_lost(exc)
        for cycle in self._cycles():
            cycle.message_event.set()

    @property
    def _is_idle(self) -> bool:
        """Return whether no request waits for its answer."""
        return self.cycle is None or self.cycle.response_complete

    def shutdown(self) -> None:
        self.transport.shorten_linger()
        if self._refusal is not None:
            self._send_refusal(closes_connection=True)
        if self._is_idle and self._has_begun_request():
            # A request that has come is answered; the connection closes after it.
            self._is_stopping = True
            self._stop_head_timer()
            self._start_head_timer(STOP_LINGER_S)
            return
        super().shutdown()

    def timeout_keep_alive_handler(self) -> None:
        if self._connection.has_unread():
            # The loop reads the request next.
            self._start_head_timer()
            return
        super().timeout_keep_alive_handler()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _cycles(self) -> tuple[RequestResponseCycle, ...]:
        """Return the requests of the connection: those that wait, newest first."""
        waiting = tuple(cycle for cycle, _ in self.pipeline)
        return waiting if self._running is None else (*waiting, self._running)

    def _has_waiting(self) -> bool:
        """Return whether a request has come behind the one that is served.

        While one waits, no further one is read.
        """
        return bool(self.pipeline) or self._connection.has_unread()

    def _has_begun_request(self) -> bool:
        """Return whether a part of a request has come whose head isn't read yet."""
        if self._is_request_read:
            return self._connection.has_unread()
        return self._in_head

    def _has_unread_request(self) -> bool:
        if not self._is_request_read or self.pipeline:
            return True
        return self._connection.has_unread()

    def _drop_request(self) -> None:
        """Free the body that was read, and end an application that reads on."""
        self._stop_head_timer()
        for cycle in self._cycles():
            cycle.body.clear()
            cycle.disconnected = not cycle.response_complete
            cycle.message_event.set()

    def _close_connection(self) -> None:
        for cycle in self._cycles():
            # The application may return without an answer from now on.
            cycle.disconnected = cycle.disconnected or not cycle.response_complete
        self._connection.close()

    def eof_received(self) -> None:
        self._close_connection()
        super().eof_received()

    def on_message_begin(self) -> None:
        self._is_request_read = False
        self._in_head = True
        self._head_bytes = 0
        self._heads_begun += 1
        self._start_head_timer()
        self._unset_keepalive_if_required()
        super().on_message_begin()
        self.scope["state"] |= {
            ARRIVAL_KEY: self._arrivals.next_arrival(),
            CONNECTION_KEY: self._connection,
        }

    def on_header(self, name: bytes, value: bytes) -> None:
        # Fields behind a body are no headers, and nothing limits their number.
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._in_head = False
        if self._is_discarding:
            return
        self._refused_bytes = 0
        self._refusal = self._check_head()
        if self._refusal is not None:
            # The timer runs on: the answer is due after the body.
            return
        self._stop_head_timer()
        super().on_headers_complete()
        if self._is_stopping:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        if self._is_discarding:
            return
        if self._refusal is None:
            super().on_body(body)
            return
        self._refused_bytes += len(body)
        if self._refused_bytes > self._refusal.max_body_bytes:
            self._send_refusal(closes_connection=True)

    def on_message_complete(self) -> None:
        self._is_request_read = True
        if self._is_discarding:
            return
        if self._refusal is None:
            super().on_message_complete()
            return
        closes = self._refusal.closes_connection or self._is_stopping
        closes = closes or not self.parser.should_keep_alive()
        self._send_refusal(closes)

    def _check_head(self) -> HeadRefusal | None:
        """Return the refusal of a request that is decided by its head."""
        if self.gate is None or not self._is_idle or self.expect_100_continue:
            return None
        if self.transport.is_closing():
            return None
        url = httptools.parse_url(self.url)
        head = RequestHead(
            method=self.parser.get_method().decode("ascii"),
            path=url.path or b"",
            query=url.query or b"",
            headers=tuple(self.headers),
            state=self.scope["state"],
        )
        return self.gate.check(head)

    def _send_refusal(self, closes_connection: bool) -> None:
        answer, self._refusal = self._refusal.answer, None
        self._stop_head_timer()
        if self.transport.is_closing():
            return
        self.transport.write(answer)
        if closes_connection:
            # What follows in the same read belongs to no request any more.
            self._is_discarding = True
            self.transport.close()
            return
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def data_received(self, data: bytes) -> None:
        if self.transport.is_lingering:
            self.transport.discard(data)
            return
        if self._is_discarding:
            return
        idle_timer = self.timeout_keep_alive_task
        is_behind_request = not self._is_request_read
        self._heads_begun = 0
        super().data_received(data)
        if self.transport.is_closing():
            return
        if not self._in_head:
            self._keep_idle_timer(idle_timer)
            return
        if self._heads_begun > 1 or (self._heads_begun and is_behind_request):
            # The parser doesn't tell which bytes belong to earlier requests.
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.max_head_bytes:
            allowed = f"at most {self.max_head_bytes} bytes"
            self._refuse(HEADERS_TOO_LARGE, "headers-too-large", allowed)

    def _keep_idle_timer(self, timer: asyncio.TimerHandle | None) -> None:
        """Let the idle time go on after bytes that begin no request, as a blank line.

        :param timer: the timer that ran before the bytes came; None for none.
        """
        is_waiting = self._is_idle and self._is_request_read
        if timer is None or not is_waiting or self.timeout_keep_alive_task is not None:
            return
        self.timeout_keep_alive_task = self.loop.call_at(
            timer.when(), self.timeout_keep_alive_handler
        )

    def send_400_response(self, msg: str) -> None:
        self._refuse(BAD_REQUEST, "malformed-request", msg)

    def _refuse(self, status: str, kind: str, detail: str) -> None:
        if self.transport.is_closing():
            return
        unanswered = self._unanswered_requests()
        if unanswered:
            self._close_after_answers(unanswered)
            return
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
        self.transport.linger()

    def _start_head_timer(self, timeout_s: float | None = None) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                timeout_s or self.head_timeout_s, self._close_on_head_timeout
            )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_on_head_timeout(self) -> None:
        # A client that sends its head very slowly must not occupy a connection.
        self._head_timer = None
        if self._refusal is not None:
            self._send_refusal(closes_connection=True)
            return
        if self.flow.read_paused:
            # The rest may have come, and is read after some answers.
            self._start_head_timer()
            return
        unanswered = self._unanswered_requests()
        if unanswered:
            self._close_after_answers(unanswered)
        else:
            self.transport.close_at_once()

    def _unanswered_requests(self) -> tuple[RequestResponseCycle, ...]:
        """Return the whole requests that wait for their answers, newest first."""
        return tuple(
            cycle
            for cycle in self._cycles()
            if not (cycle.response_complete or cycle.more_body)
        )

    def _close_after_answers(
        self, unanswered: tuple[RequestResponseCycle, ...]
    ) -> None:
        """Discard all input from now on and close after the answers.

        :param unanswered: the whole requests that wait for them, newest first.
        """
        if self.pipeline and self.pipeline[0][0].more_body:
            # The newest request isn't whole and never will be.
            self.pipeline.popleft()
        self.cycle = unanswered[0]
        self.cycle.keep_alive = False
        self._is_discarding = True
        self._is_request_read = False
        self._stop_head_timer()


def make_protocol(
    max_head_bytes: int,
    head_timeout_s: float,
    accepts: AcceptTimes,
    gate: Gate | None = None,
) -> type[_LimitedProtocol]:
    """Return the protocol class of one listener.

    :param max_head_bytes: largest head of a request, in bytes.
    :param head_timeout_s: timeout for receiving a whole head, and the whole body of a
        request that is refused by its head, in seconds.
    :param accepts: times at which the listener's connections came.
    :param gate: decides on requests by their heads; None to pass all of them on.
    """
    limits = {
        "max_head_bytes": max_head_bytes,
        "head_timeout_s": head_timeout_s,
        "gate": gate,
        "accepts": accepts,
    }
    return type("LimitedProtocol", (_LimitedProtocol,), limits)
