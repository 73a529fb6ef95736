"""One connection to a backend server, parsed by httptools."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

import httptools

from almondfield_core.settings import AnswerSettings
from almondfield_daemon.backend.headers import end_to_end
from almondfield_daemon.loop_delay import latest_arrival_s
from almondfield_daemon.router.calls import AnswerHead, Framing, Header

__all__ = [
    "AnswerTooLongError",
    "BackendConnection",
    "ConnectionCutError",
    "new_read_buffer",
]

# RFC 9112, 9.5: a client that gets one while it sends a body ceases to send it.
ERROR_STATUS = 400
# A router may have some hundred answers that their callers don't read.
HIGH_WATER_BYTES = 32 * 1024
READ_BYTES = 32 * 1024
MAX_PARTS = 16  # of a body, before small ones are joined
SMALL_BODY_BYTES = 16 * 1024
BODILESS_STATUSES = (204, 304)
# RFC 9110, 15: a status outside of these belongs to no class.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


class ConnectionCutError(ConnectionError):
    """Raised when an answer ends before it is complete or violates the protocol."""


class AnswerTooLongError(ConnectionCutError):
    """Raised when a part of an answer is longer than its limit."""


class BackendConnection(asyncio.BufferedProtocol):
    """Carries one request and its answer at a time.

    Only the task that sent a request reads its answer. Bytes that belong to no
    request make the connection unusable.

    :param limits: limits on the answers.
    :param read_buffer: what connections read into, one at a time; None for a buffer of
        its own.

    :ivar received_bytes: bytes of the answer so far, with its head and framing.
    :ivar is_cut: whether the server closed or reset the connection, before anything
        else failed.
    """

    def __init__(
        self, limits: AnswerSettings, read_buffer: memoryview | None = None
    ) -> None:
        self._limits = limits
        self._read_buffer = read_buffer or new_read_buffer()
        self._header_lines = 0
        self.status = 0
        self.headers: list[Header] = []
        self.head_complete = False
        self.complete = False
        self.received_bytes = 0
        self.is_cut = False
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False
        self._failure: str = ""
        self._error_type: type[ConnectionCutError] = ConnectionCutError
        self._head_bytes = 0
        self._framing_bytes = 0
        self._keep_alive = False
        self._on_head: Callable[[AnswerHead], None] | None = None
        self._expects_body = True
        self._answered = False
        self.framing = Framing.CONNECTION

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return self._keep_alive and not self._failure and self._parser is None

    @property
    def is_sent(self) -> bool:
        """Return whether the complete request has been written to the socket."""
        return self._transport is None or not self._transport.get_write_buffer_size()

    @property
    def is_unanswered(self) -> bool:
        """Return whether the connection failed before the first byte of the answer."""
        return bool(self._failure) and not self._answered

    async def send(
        self,
        method: bytes,
        head: bytes,
        body: bytes,
        on_head: Callable[[AnswerHead], None] | None = None,
    ) -> None:
        """Send one request, or as much as is sent before an error is answered.

        :param method: HTTP method.
        :param head: request line and headers, up to the empty line.
        :param body: body; the head states its length.
        :param on_head: called with the head of the answer as it arrives, which may be
            before the request is sent completely; None for nothing.
        :raises ConnectionCutError: if the connection is lost while sending.
        """
        self._on_head = on_head
        self._start_answer(method)
        if len(body) <= SMALL_BODY_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)
        while self._is_paused and not self._is_error():
            self._raise_if_failed()
            await self._wait()
        if not self._is_error():
            self._raise_if_failed()

    async def wait_head(self) -> None:
        """Wait until the status and headers of the answer are received.

        :raises AnswerTooLongError: if the head is longer than its limit.
        :raises ConnectionCutError: if the connection is lost before that.
        """
        while not self.head_complete:
            self._raise_if_failed()
            await self._wait()

    async def read(self) -> bytes:
        """Return the next bytes of the answer's body; empty at its end.

        :raises ConnectionCutError: if the answer ends before it is complete.
        """
        while not self._parts:
            if self.complete:
                self._parser = None
                return b""
            self._raise_if_failed()
            await self._wait()
        return self._take_buffered()

    def fail(self, reason: str) -> None:
        """Make the connection unusable and wake the waiting task.

        :param reason: description of the failure; only the first one is kept.
        """
        if not self._failure:
            self._failure = reason
        self._wake()

    def close(self) -> None:
        """Close the connection at once."""
        self.fail("closed locally")
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return what the next bytes are read into; called by the event loop."""
        return self._read_buffer

    def buffer_updated(self, count: int) -> None:
        """Parse the bytes that were read; called by the event loop."""
        self.data_received(bytes(self._read_buffer[:count]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._parser is None or self.complete or self._failure:
            self.fail("bytes that belong to no request")
            self._transport.abort()
            return
        self._answered = True
        self.received_bytes += len(data)
        while data and not self.head_complete and not self._failure:
            data = self._parse_head(data)
        if self.framing is Framing.CHUNKS:
            self._parse_chunks(data)
        elif data:
            self._parse(data)
        if self._failure:
            self._transport.abort()
        if len(self._parts) > MAX_PARTS:
            # A byte string takes some 35 bytes besides its content.
            self._parts = deque((b"".join(self._parts),))
        if self._buffered_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Handle the end of the input; called by the event loop.

        :returns: False, so that the transport closes.
        """
        is_end = self.head_complete and self.framing is Framing.CONNECTION
        if is_end and not self._failure:
            self.complete = True
        self._fail_by_server("the server closed the connection")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the waiting tasks; called by the event loop."""
        self._fail_by_server(f"connection lost: {error}")
        self.resume_writing()

    def pause_writing(self) -> None:
        """Pause the sender; called by the transport."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Resume the sender; called by the transport."""
        self._is_paused = False
        self._wake()

    def on_status(self, status: bytes) -> None:
        """Do nothing; called by the parser at the status line."""

    def on_message_begin(self) -> None:
        """Discard the headers of an interim response; called by the parser."""
        if self.head_complete:
            self.fail("bytes that belong to no request")
            return
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        if self.head_complete:
            return
        self._header_lines += 1
        if self._header_lines > self._limits.max_header_lines:
            self._fail_too_long("a head", self._limits.max_header_lines, "header lines")
            # The parser stops.
            raise AnswerTooLongError(self._failure)
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the status unless it is interim; called by the parser."""
        status = self._parser.get_status_code()
        if self._failure or self.head_complete:
            return
        if not MIN_STATUS <= status <= MAX_STATUS:
            self.fail(f"status {status} is not in {MIN_STATUS} to {MAX_STATUS}")
            return
        if status < MIN_FINAL_STATUS:
            return
        self.status = status
        self.head_complete = True
        self._keep_alive = self._parser.should_keep_alive()
        if not self._expects_body or status in BODILESS_STATUSES:
            self.complete = True
        self.framing = _read_framing(self.headers)
        if self._on_head is not None:
            headers = end_to_end(self.headers)
            self._on_head(AnswerHead(status, headers, latest_arrival_s()))

    def on_body(self, part: bytes) -> None:
        """Buffer a part of the body; called by the parser."""
        if self.complete or not self.head_complete:
            self.fail("the answer has a body where none is allowed")
            return
        self._framing_bytes = 0
        self._parts.append(part)
        self._buffered_bytes += len(part)

    def on_message_complete(self) -> None:
        """Mark the answer as complete; called by the parser."""
        if self.head_complete:
            self.complete = True

    def _is_error(self) -> bool:
        """Return whether the head of an answer with an error is received."""
        return self.head_complete and self.status >= ERROR_STATUS

    def _start_answer(self, method: bytes) -> None:
        self.status = 0
        self.headers = []
        self.head_complete = False
        self._head_bytes = 0
        self._header_lines = 0
        self._framing_bytes = 0
        self.complete = False
        self.received_bytes = 0
        self._answered = False
        self._keep_alive = False
        self.framing = Framing.CONNECTION
        self._expects_body = method != b"HEAD"
        self._parser = httptools.HttpResponseParser(self)

    def _parse_head(self, data: bytes) -> bytes:
        """Parse a part of a head, no longer than allowed; return the bytes after it."""
        limits = self._limits
        left_bytes = limits.max_head_bytes - self._head_bytes
        if not left_bytes:
            self._fail_too_long("a head", limits.max_head_bytes)
            return b""
        # The piece may end after the head, where framing begins.
        piece = data[: min(left_bytes, limits.max_framing_bytes)]
        self._head_bytes += len(piece)
        self._parse(piece)
        return data[len(piece) :]

    def _parse_chunks(self, data: bytes) -> None:
        """Parse a part of a chunked body in pieces no longer than framing may be.

        A piece that has bytes of the body starts the count of framing anew.
        """
        limit_bytes = self._limits.max_framing_bytes
        start = 0
        while start < len(data):
            piece = data[start : start + limit_bytes + 1 - self._framing_bytes]
            start += len(piece)
            self._framing_bytes += len(piece)
            self._parse(piece)
            if self.complete:
                break
            if self._framing_bytes > limit_bytes:
                part = "a chunk-size line or trailer section"
                self._fail_too_long(part, limit_bytes)
                return
        if start < len(data):
            self.fail("bytes that belong to no request")

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("the server switched protocols")
        except httptools.HttpParserError as error:
            self.fail(f"malformed answer: {error}")

    def _fail_by_server(self, reason: str) -> None:
        self.is_cut = self.is_cut or not self._failure
        self.fail(reason)

    def _fail_too_long(self, part: str, limit: int, unit: str = "bytes") -> None:
        if not self._failure:
            self._error_type = AnswerTooLongError
        self.fail(f"{part} is longer than {limit} {unit}")

    def _take_buffered(self) -> bytes:
        if len(self._parts) == 1:
            data = self._parts.popleft()
        else:
            data = b"".join(self._parts)
            self._parts.clear()
        if self._buffered_bytes > HIGH_WATER_BYTES:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return data

    def _raise_if_failed(self) -> None:
        if self._failure and not self.complete:
            raise self._error_type(self._failure)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def new_read_buffer() -> memoryview:
    """Return a buffer that the connections of one event loop may read into."""
    return memoryview(bytearray(READ_BYTES))


def _read_framing(headers: Iterable[Header]) -> Framing:
    """Return how an answer with these headers states where its body ends."""
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CONNECTION
