"""HTTP protocol of the listeners; enforces limits before an application runs."""

import asyncio
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from almondfield_daemon.connection_budget import ConnectionBudget, Limit
from almondfield_daemon.loop_delay import ARRIVAL_KEY, AcceptTimes, ArrivalTracker
from almondfield_daemon.serving.connection import CONNECTION_KEY, CallerConnection
from almondfield_daemon.serving.counted import CountedProtocol
from almondfield_daemon.serving.gate import Gate, HeadRefusal, RequestHead
from almondfield_daemon.serving.lingering import STOP_LINGER_S, LingeringTransport
from almondfield_daemon.serving.refusals import (
    BAD_REQUEST,
    HEADERS_TOO_LARGE,
    encode_refusal,
)
from almondfield_daemon.serving.request_limits import RequestLimits
from almondfield_daemon.serving.turns import READ_BYTES

__all__ = ["make_protocol"]


class _LimitedProtocol(CountedProtocol):
    """Refuses oversized or malformed heads with a typed answer.

    The parser does not limit the size of a head, so the bytes of an incomplete head
    are counted here.

    :cvar accepted: number of connections of this listener since its start.
    """

    accepted = 0
    head_timeout_s = 0.0
    gate: Gate | None = None
    accepts: AcceptTimes

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._heads_begun = 0  # in the bytes that are parsed now
        self._head_timer: asyncio.TimerHandle | None = None
        self._refusal: HeadRefusal | None = None
        self._refused_bytes = 0
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
        self.scheme = "http"
        self._connection = CallerConnection(transport)
        self._connection.has_waiting = self._has_waiting
        self._start_head_timer()
        super().connection_made(transport)

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
        return not self._is_running

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
        if self._unparsed or self._connection.has_unread():
            # The loop reads the request next.
            self._start_head_timer()
            return
        super().timeout_keep_alive_handler()

    def _has_waiting(self) -> bool:
        """Return whether a request has come behind the one that is served.

        While one waits, no further one is read.
        """
        if self.pipeline or self._unparsed:
            return True
        return self._connection.has_unread()

    def _has_begun_request(self) -> bool:
        """Return whether a part of a request has come whose head isn't read yet."""
        if self._is_request_read:
            return bool(self._unparsed) or self._connection.has_unread()
        return self._in_head

    def _has_unread_request(self) -> bool:
        if not self._is_request_read or self.pipeline or self._unparsed:
            return True
        return self._connection.has_unread()

    def _drop_request(self) -> None:
        self._stop_head_timer()
        super()._drop_request()

    def _close_connection(self) -> None:
        for cycle in self._cycles():
            # The application may return without an answer from now on.
            cycle.disconnected = cycle.disconnected or not cycle.response_complete
        self._connection.close()

    def eof_received(self) -> None:
        self._close_connection()
        super().eof_received()

    def on_message_begin(self) -> None:
        self._head_bytes = 0
        self._heads_begun += 1
        self._start_head_timer()
        self._unset_keepalive_if_required()
        super().on_message_begin()
        self.scope["state"] |= {
            ARRIVAL_KEY: self._arrivals.next_arrival(),
            CONNECTION_KEY: self._connection,
        }

    def on_headers_complete(self) -> None:
        self._end_head()
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
        self._size.add_body(len(body))
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
        elif not self._is_discarding:
            super().data_received(data)

    @property
    def _stops_parsing(self) -> bool:
        return self._is_discarding or self.transport.is_closing()

    def _parse_part(self, data: bytes) -> None:
        idle_timer = self.timeout_keep_alive_task
        is_behind_request = not self._is_request_read
        is_in_body = is_behind_request and not self._in_head
        body_bytes = self._size.body_bytes
        self._heads_begun = 0
        super()._parse_part(data)
        if self._stops_parsing:
            return
        if not self._in_head:
            if is_in_body and not self._heads_begun:
                body_bytes = self._size.body_bytes - body_bytes
                self._count_framing(len(data) - body_bytes)
            self._keep_idle_timer(idle_timer)
            return
        if self._heads_begun > 1 or (self._heads_begun and is_behind_request):
            # The parser doesn't tell which bytes belong to earlier requests.
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.max_head_bytes:
            allowed = f"at most {self.limits.max_head_bytes} bytes"
            self.budget.record(Limit.HEADER_BYTES)
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
        exceeded, self._exceeded = self._exceeded, None
        if exceeded is None:
            self._refuse(BAD_REQUEST, "malformed-request", msg)
            return
        self.budget.record(exceeded.limit)
        self._refuse(HEADERS_TOO_LARGE, exceeded.kind, exceeded.detail)

    def _refuse(self, status: str, kind: str, detail: str) -> None:
        if self.transport.is_closing():
            return
        if self._refusal is not None:
            self._send_refusal(closes_connection=True)
            return
        unanswered = self._unanswered_requests()
        if unanswered:
            self._close_after_answers(unanswered)
            return
        if self._is_running and self.cycle.response_started:
            # An answer is on its way before the end of the request.
            self.transport.close_at_once()
            return
        self.transport.write(encode_refusal(status, kind, detail))
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
        if self.flow.read_paused or self._connection.has_unread():
            # The rest may have come, and is read after some answers.
            self._start_head_timer()
            return
        unanswered = self._unanswered_requests()
        if unanswered:
            self._close_after_answers(unanswered)
        else:
            self.transport.close_at_once()

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
    limits: RequestLimits,
    head_timeout_s: float,
    accepts: AcceptTimes,
    budget: ConnectionBudget,
    gate: Gate | None = None,
    holds_bodies: bool = False,
) -> type[_LimitedProtocol]:
    """Return the protocol class of one listener.

    :param limits: limits on the parts of a request.
    :param head_timeout_s: timeout for receiving a whole head, and the whole body of a
        request that is refused by its head, in seconds.
    :param accepts: times at which the listener's connections came.
    :param budget: limits what all connections hold in memory.
    :param gate: decides on requests by their heads; None to pass all of them on.
    :param holds_bodies: whether the application holds the body of a request that runs,
        and doesn't count it itself.
    """
    members = {
        "limits": limits,
        "head_timeout_s": head_timeout_s,
        "gate": gate,
        "accepts": accepts,
        "budget": budget,
        "holds_bodies": holds_bodies,
        "read_buffer": memoryview(bytearray(READ_BYTES)),
    }
    return type("LimitedProtocol", (_LimitedProtocol,), members)
