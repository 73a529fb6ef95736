"""Monitors a caller's connection while its request is served."""

import asyncio
from types import TracebackType
from typing import Any

from almondfield_daemon.edge.bodies import CallerDisconnectedError
from almondfield_daemon.router.stall import StallTimer
from almondfield_daemon.serving import CallerConnection

__all__ = ["CallerWatch"]

CALLER_TIMEOUT_S = 30.0


class CallerWatch:
    """Context manager that cancels its block when the caller disconnects or stalls.

    Leaving the cancelled block raises :class:`CallerDisconnectedError`.

    :param receive: ASGI receive callable, after the end of the request's body.
    :param connection: tells of a disconnect before ``receive`` does; None for none.
    :ivar stall: measures each wait for the caller to read bytes.
    """

    stall: StallTimer

    def __init__(
        self, receive: Any, connection: CallerConnection | None = None
    ) -> None:
        self._receive = receive
        self._connection = connection
        self._reason = ""

    async def __aenter__(self) -> "CallerWatch":
        self._task = asyncio.current_task()
        self.stall = StallTimer(CALLER_TIMEOUT_S, self._handle_stall)
        self._disconnect_task = asyncio.ensure_future(self._wait_disconnect())
        if self._connection is not None:
            self._connection.on_close = self._handle_disconnect
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._disconnect_task.cancel()
        if self._connection is not None:
            self._connection.on_close = _do_nothing
        self.stall.stop()
        cancelled = self._reason and kind is asyncio.CancelledError
        if cancelled and self._task.uncancel() == 0:
            raise CallerDisconnectedError(self._reason) from None

    async def _wait_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self._handle_disconnect()

    def _handle_disconnect(self) -> None:
        self._cancel("the caller closed its connection")

    def _handle_stall(self) -> None:
        self._cancel(f"the caller read no bytes for {CALLER_TIMEOUT_S} s")

    def _cancel(self, reason: str) -> None:
        if not self._reason:
            self._reason = reason
            self._task.cancel()


def _do_nothing() -> None:
    """Ignore the end of a connection that carries no request."""
