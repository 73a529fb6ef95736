"""Calls to backend servers with timeouts, on fresh or pooled connections."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

from result import Err, Ok, Result

from almondfield_core.messages import ServerFailure
from almondfield_core.settings import DaemonSettings
from almondfield_core.tables import Timeouts
from almondfield_daemon.backend.connection import (
    BODILESS_STATUSES,
    BackendConnection,
    ConnectionCutError,
)
from almondfield_daemon.backend.headers import encode_head, end_to_end
from almondfield_daemon.backend.pool import ConnectionPool, idle_lifetime_s
from almondfield_daemon.router.calls import (
    AnswerCutError,
    BackendCall,
    CallFailure,
    Header,
)
from almondfield_daemon.router.stall import StallTimer

__all__ = ["HttpAnswer", "HttpBackends"]


class HttpAnswer:
    """An answer on its own connection.

    :param connection: connection that carries it.
    :param call: the call that it answers.
    :param pool: takes the connection back once the answer is whole.
    """

    def __init__(
        self, connection: BackendConnection, call: BackendCall, pool: ConnectionPool
    ) -> None:
        self._connection = connection
        self._call = call
        self._pool = pool
        self.status = connection.status
        self.headers: tuple[Header, ...] = end_to_end(connection.headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the body as it comes, bytewise unchanged.

        :raises AnswerCutError: where it ends before it is whole, or is silent for
            longer than the timeout of the pool.
        """
        connection = self._connection
        chunk_s = self._call.timeouts.chunk_s
        stall = StallTimer(chunk_s, lambda: connection.fail(f"silent for {chunk_s} s"))
        whole = False
        try:
            while True:
                stall.begin()
                chunk = await connection.read()
                stall.end()
                if not chunk:
                    whole = True
                    return
                yield chunk
        except ConnectionCutError as error:
            raise AnswerCutError(ServerFailure.STREAM, str(error)) from error
        finally:
            stall.stop()
            self._finish(whole)

    def close(self) -> None:
        """Close the connection, which tells the server to stop."""
        self._finish(whole=False)

    def _finish(self, whole: bool) -> None:
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        reusable = connection.reusable and connection.is_sent
        if whole and self._call.pooled and reusable:
            idle_s = idle_lifetime_s(connection.headers)
            self._pool.put(self._call.address, connection, idle_s)
        else:
            connection.close()


class HttpBackends:
    """Sends each call exactly once; implements the ``Backends`` port.

    :param settings: settings of the daemon.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._pool = ConnectionPool()

    async def send(self, call: BackendCall) -> Result[HttpAnswer, CallFailure]:
        """Return the answer once its head is known.

        :param call: the call. Where it may not be pooled it gets a connection of
            its own.
        """
        connection = self._pool.take(call.address) if call.pooled else None
        reused = connection is not None
        if connection is None:
            match await _connect(call.address, call.timeouts):
                case Ok(fresh):
                    connection = fresh
                case Err(failure):
                    return Err(failure)
        try:
            failure = await self._exchange(connection, call)
        except BaseException:
            connection.close()
            raise
        if failure is not None:
            connection.close()
            return Err(replace(failure, stale=reused and connection.is_unanswered))
        return Ok(HttpAnswer(connection, call, self._pool))

    async def run(self) -> None:
        """Close every pooled connection once cancelled."""
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self._pool.close()

    async def _exchange(
        self, connection: BackendConnection, call: BackendCall
    ) -> CallFailure | None:
        first_byte_s = call.timeouts.first_byte_s
        try:
            async with asyncio.timeout(first_byte_s):
                await connection.send(
                    call.method.encode(), encode_head(call), call.body
                )
                await connection.wait_head()
        except ConnectionCutError as error:
            return CallFailure(ServerFailure.FIRST_BYTE, True, str(error))
        except TimeoutError:
            reason = f"no answer within {first_byte_s} s"
            return CallFailure(ServerFailure.FIRST_BYTE, True, reason)
        if not _end_is_visible(connection, call):
            reason = "the answer has neither content-length nor chunked encoding"
            return CallFailure(ServerFailure.STREAM, True, reason)
        return None


def _end_is_visible(connection: BackendConnection, call: BackendCall) -> bool:
    """Return whether a cut of the answer can be told from its end."""
    if call.may_end_by_close or call.method == "HEAD":
        return True
    if connection.status in BODILESS_STATUSES:
        return True
    names = {name.lower() for name, _ in connection.headers}
    return b"content-length" in names or b"transfer-encoding" in names


async def _connect(
    address: str, timeouts: Timeouts
) -> Result[BackendConnection, CallFailure]:
    """Return a fresh connection."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeouts.connect_s):
            _, connection = await loop.create_connection(
                BackendConnection, host.strip("[]"), int(port)
            )
    except TimeoutError:
        reason = f"{address}: no connection within {timeouts.connect_s} s"
        return Err(CallFailure(ServerFailure.CONNECT, False, reason))
    except (OSError, ValueError) as error:
        reason = f"{address}: {error}"
        return Err(CallFailure(ServerFailure.CONNECT, False, reason))
    return Ok(connection)
