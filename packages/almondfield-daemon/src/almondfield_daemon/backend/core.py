"""Calls to backend servers with timeouts, on new or pooled connections."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

from result import Err, Ok, Result

from almondfield_core.clock import ArrivalTimeout, now
from almondfield_core.messages import ServerFailure
from almondfield_core.settings import AnswerSettings, DaemonSettings
from almondfield_core.tables import Timeouts
from almondfield_daemon.backend.connection import (
    BODILESS_STATUSES,
    AnswerTooLongError,
    BackendConnection,
    ConnectionCutError,
    new_read_buffer,
)
from almondfield_daemon.backend.headers import encode_head, end_to_end
from almondfield_daemon.backend.pool import ConnectionPool, idle_lifetime_s
from almondfield_daemon.router.calls import (
    SUCCESS_STATUSES,
    AnswerCutError,
    BackendCall,
    CallFailure,
    Framing,
    Header,
)
from almondfield_daemon.router.event_types import has_event_stream_type
from almondfield_daemon.router.events import EventBoundary
from almondfield_daemon.router.stall import StallTimer

__all__ = ["HttpAnswer", "HttpBackends"]

# The end of an idle connection crosses a request on its way within a round trip.
IDLE_CLOSE_S = 0.1
PROBE_TIMEOUT_S = 0.5
PIECE_BYTES = 16 * 1024  # of an event stream, handled without a pause


class HttpAnswer:
    """An answer that is read from its connection.

    :param connection: the connection that carries the answer.
    :param call: the call that is answered.
    :param pool: receives the connection once the answer is complete.
    :param limits: limits on answers.
    :param is_first: whether the connection carried no answer before.
    """

    def __init__(
        self,
        connection: BackendConnection,
        call: BackendCall,
        pool: ConnectionPool,
        limits: AnswerSettings,
        is_first: bool = True,
    ) -> None:
        self.is_first = is_first
        self._connection = connection
        self._call = call
        self._pool = pool
        self.status = connection.status
        self.headers: tuple[Header, ...] = end_to_end(connection.headers)
        self.framing = connection.framing
        self._limits = limits
        self._boundary = None
        if _is_event_stream(connection, call):
            self._boundary = EventBoundary(
                limits.max_event_bytes, limits.max_eventless_bytes
            )
        self._is_split = self._boundary is not None or call.expects_events

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body as they arrive, unchanged byte for byte.

        Events are work for each of those who handle a chunk, so that large chunks of
        them are split.

        :raises AnswerCutError: if the body ends before it is complete, an event stream
            ends inside an event or exceeds a limit, or no data arrives within the
            pool's chunk timeout.
        """
        connection = self._connection
        chunk_s = self._call.timeouts.chunk_s
        timed_out = complete = False

        def on_stall() -> None:
            nonlocal timed_out
            timed_out = True
            connection.fail(f"silent for {chunk_s} s")

        stall = StallTimer(chunk_s, on_stall)
        try:
            while True:
                stall.begin()
                chunk = await connection.read()
                stall.end()
                if not chunk:
                    self._check_last_event()
                    complete = True
                    return
                if not self._is_split:
                    yield chunk
                    continue
                for start in range(0, len(chunk), PIECE_BYTES):
                    if start:
                        await asyncio.sleep(0)  # others go on between two pieces
                    piece = chunk[start : start + PIECE_BYTES]
                    self._check_events(piece)
                    yield piece
        except ConnectionCutError as error:
            failure = ServerFailure.STREAM
            is_cut = connection.is_cut
            raise AnswerCutError(failure, str(error), timed_out, is_cut) from error
        finally:
            stall.stop()
            self._finish(complete)

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far; 0 once the answer is read or closed."""
        return self._connection.received_bytes if self._connection is not None else 0

    def close(self) -> None:
        """Close the connection, which signals the server to stop."""
        self._finish(complete=False)

    def _check_events(self, piece: bytes) -> None:
        """Raise an error if an event stream exceeds a limit.

        :raises AnswerCutError: if it does.
        """
        if self._boundary is None:
            return
        self._boundary.feed(piece)
        reason = ""
        if self._boundary.is_oversized:
            reason = f"an event is larger than {self._limits.max_event_bytes} bytes"
        elif self._boundary.is_eventless:
            limit_bytes = self._limits.max_eventless_bytes
            reason = f"no event with data within {limit_bytes} bytes"
        if reason:
            raise AnswerCutError(ServerFailure.STREAM, reason)

    def _check_last_event(self) -> None:
        """Raise an error if the framing ended before the last event did.

        :raises AnswerCutError: if the stream is truncated.
        """
        boundary = self._boundary
        if boundary is None:
            return
        if boundary.is_inside_event:
            reason = f"the stream ended inside an event; framed by {self.framing}"
            is_cut = self.framing is Framing.CONNECTION
            raise AnswerCutError(ServerFailure.STREAM, reason, is_cut=is_cut)
        if self.framing is Framing.CONNECTION and not boundary.has_events:
            reason = "the connection ended before the first event"
            raise AnswerCutError(ServerFailure.STREAM, reason, is_cut=True)

    def _finish(self, complete: bool) -> None:
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        reusable = connection.reusable and connection.is_sent
        if complete and self._call.pooled and reusable:
            idle_s = idle_lifetime_s(connection.headers)
            self._pool.put(self._call.address, connection, idle_s)
        else:
            connection.close()


class HttpBackends:
    """Sends each call at most once; implements the ``Backends`` protocol.

    :param settings: settings of the daemon.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._pool = ConnectionPool()
        self._read_buffer = new_read_buffer()

    async def send(self, call: BackendCall) -> Result[HttpAnswer, CallFailure]:
        """Return the answer once its head is received.

        :param call: the call; a call that is not pooled gets a new connection.
        """
        connection = self._pool.take(call.address) if call.pooled else None
        reused = connection is not None
        if connection is None:
            match await self._connect(call.address, call.timeouts):
                case Ok(opened):
                    connection = opened
                case Err(failure):
                    return Err(failure)
        sent_s = now()
        try:
            if call.prepare_headers is not None:
                call = replace(call, headers=call.prepare_headers())
            failure = await self._exchange(connection, call)
        except BaseException:
            connection.close()
            raise
        if failure is not None:
            connection.close()
            stale = reused and connection.is_unanswered
            was_idle = stale and now() - sent_s < IDLE_CLOSE_S
            failure = replace(
                failure,
                stale=stale,
                is_cut=failure.is_cut and not was_idle,
                is_idle_cut=failure.is_cut and was_idle,
            )
            return Err(failure)
        limits = self._settings.answers
        return Ok(HttpAnswer(connection, call, self._pool, limits, not reused))

    async def accepts_connection(self, address: str) -> bool:
        """Return whether a server accepts a connection, or might do so.

        :param address: ``host:port`` of the server.
        :returns: False if the connection was refused.
        """
        timeouts = Timeouts(PROBE_TIMEOUT_S, PROBE_TIMEOUT_S, PROBE_TIMEOUT_S)
        match await self._connect(address, timeouts):
            case Ok(connection):
                connection.close()
                return True
            case Err(failure):
                return not failure.is_refused

    async def run(self) -> None:
        """Wait until cancelled, then close every pooled connection."""
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self._pool.close()

    async def _connect(
        self, address: str, timeouts: Timeouts
    ) -> Result[BackendConnection, CallFailure]:
        """Return a new connection."""
        host, _, port = address.rpartition(":")
        limits = self._settings.answers
        loop = asyncio.get_running_loop()
        try:
            async with ArrivalTimeout(timeouts.connect_s):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(limits, self._read_buffer),
                    host.strip("[]"),
                    int(port),
                )
        except TimeoutError:
            reason = f"{address}: no connection within {timeouts.connect_s} s"
            failure = ServerFailure.CONNECT
            return Err(CallFailure(failure, False, reason, timed_out=True))
        except (OSError, OverflowError, ValueError) as error:
            failure = CallFailure(
                ServerFailure.CONNECT,
                False,
                f"{address}: {error}",
                is_refused=isinstance(error, ConnectionRefusedError),
            )
            return Err(failure)
        return Ok(connection)

    async def _exchange(
        self, connection: BackendConnection, call: BackendCall
    ) -> CallFailure | None:
        first_byte_s = call.timeouts.first_byte_s
        try:
            async with ArrivalTimeout(first_byte_s):
                await connection.send(
                    call.method.encode(), encode_head(call), call.body, call.on_head
                )
                await connection.wait_head()
        except AnswerTooLongError as error:
            return CallFailure(ServerFailure.STREAM, True, str(error))
        except ConnectionCutError as error:
            failure = ServerFailure.FIRST_BYTE
            is_cut = connection.is_cut
            return CallFailure(failure, True, str(error), is_cut=is_cut)
        except TimeoutError:
            reason = f"no answer within {first_byte_s} s"
            failure = ServerFailure.FIRST_BYTE
            return CallFailure(failure, True, reason, timed_out=True)
        if not _has_detectable_end(connection, call):
            reason = "the answer has neither content-length nor chunked encoding"
            return CallFailure(ServerFailure.STREAM, True, reason)
        return None


def _has_detectable_end(connection: BackendConnection, call: BackendCall) -> bool:
    """Return whether a cut of the answer can be distinguished from its end."""
    if call.may_end_by_close or call.method == "HEAD":
        return True
    if connection.status in BODILESS_STATUSES:
        return True
    return connection.framing is not Framing.CONNECTION


def _is_event_stream(connection: BackendConnection, call: BackendCall) -> bool:
    """Return whether the body of the answer is an event stream."""
    is_success = connection.status in SUCCESS_STATUSES
    has_body = call.method != "HEAD" and connection.status not in BODILESS_STATUSES
    if not is_success or not has_body:
        return False
    if has_event_stream_type(connection.headers):
        return True
    names = {name.lower() for name, _ in connection.headers}
    return call.expects_events and b"content-type" not in names
