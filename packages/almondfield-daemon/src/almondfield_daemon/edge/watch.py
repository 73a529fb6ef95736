"""Watches a caller's connection while its request is served."""

import asyncio
from types import TracebackType
from typing import Any

from almondfield_daemon.edge.bodies import CallerGoneError
from almondfield_daemon.router.stall import StallTimer

__all__ = ["CallerWatch"]

CALLER_TIMEOUT_S = 30.0


class CallerWatch:
    """A block that is cancelled when the caller closes or takes no more bytes.

    Leaving the block raises :class:`CallerGoneError` where that happened.

    :param receive: ASGI's receive, at the end of the request's body.
    :ivar stall: measures each wait for the caller to take bytes.
    """

    stall: StallTimer

    def __init__(self, receive: Any) -> None:
        self._receive = receive
        self._reason = ""

    async def __aenter__(self) -> "CallerWatch":
        self._work = asyncio.current_task()
        self.stall = StallTimer(CALLER_TIMEOUT_S, self._note_stall)
        self._watcher = asyncio.ensure_future(self._wait_disconnect())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._watcher.cancel()
        self.stall.stop()
        cancelled = self._reason and kind is asyncio.CancelledError
        if cancelled and self._work.uncancel() == 0:
            raise CallerGoneError(self._reason) from None

    async def _wait_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self._cancel("the caller closed its connection")

    def _note_stall(self) -> None:
        self._cancel(f"the caller took no byte for {CALLER_TIMEOUT_S} s")

    def _cancel(self, reason: str) -> None:
        if not self._reason:
            self._reason = reason
            self._work.cancel()
