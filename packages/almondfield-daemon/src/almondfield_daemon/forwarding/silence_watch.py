"""Ends the wait for a silent server once another server takes its request over."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from types import TracebackType

from almondfield_core.messages import ServerFailure
from almondfield_daemon.forwarding.replacement import Replacement
from almondfield_daemon.router.calls import AnswerCutError
from almondfield_daemon.router.stall import StallTimer

__all__ = ["ARRIVED_S", "SilenceWatch"]

SEARCH_INTERVAL_S = 0.3  # doubles after each search; many servers may be silent
ARRIVED_S = 1e-6  # a sleep of 0 sets no timer


class SilenceWatch:
    """Context manager around the waits for one server.

    While the server is silent for longer than the limit, another one is sought. Only if
    one is found, the wait ends: the task that waits is cancelled, and the context
    raises ``AnswerCutError``. If the server goes on first, the search is cancelled.

    :param limit_s: longest silence that starts no search, in seconds; may be infinite.
    :param find: returns a server that takes the request over; None for none. It keeps
        a place there and repeats only if it returns.
    :param on_found: called with that server when the wait ends.
    :param on_given_up: called with the reason if the task is cancelled by others while
        the server is silent.
    """

    def __init__(
        self,
        limit_s: float,
        find: Callable[[], Awaitable[Replacement | None]],
        on_found: Callable[[Replacement], None],
        on_given_up: Callable[[str], None],
    ) -> None:
        self._limit_s = limit_s
        self._find = find
        self._on_found = on_found
        self._on_given_up = on_given_up
        self._stall: StallTimer | None = None
        self._search: asyncio.Task[None] | None = None
        self._found: Replacement | None = None

    async def __aenter__(self) -> "SilenceWatch":
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        reason = f"silent for over {self._limit_s:.3f} s"
        is_silent = self._search is not None
        self.end()
        if self._stall is not None:
            self._stall.stop()
        is_cancelled = kind is asyncio.CancelledError
        found, self._found = self._found, None
        if found is not None:
            # As in asyncio.timeout: others may have cancelled the task as well.
            if self._task.uncancel() <= self._cancelling and is_cancelled:
                self._on_found(found)
                raise AnswerCutError(ServerFailure.STREAM, reason, True) from None
            found.drop()
        if is_silent and is_cancelled:
            self._on_given_up(reason)

    @property
    def is_searching(self) -> bool:
        """Return whether the server was silent for longer than the limit."""
        return self._search is not None

    def set_limit(self, limit_s: float) -> None:
        """Change the limit for the waits that begin from now on.

        :param limit_s: longest silence that starts no search, in seconds; may be
            infinite.
        """
        if limit_s == self._limit_s:
            return
        self._limit_s = limit_s
        if self._stall is not None:
            self._stall.stop()
            self._stall = None

    def begin(self) -> None:
        """Record that the server is waited for."""
        if self._limit_s == math.inf:
            return
        if self._stall is None:
            self._stall = StallTimer(self._limit_s, self._begin_search)
        self._stall.begin()

    def end(self) -> None:
        """Record that the server has sent something."""
        if self._stall is not None:
            self._stall.end()
        if self._search is not None:
            self._search.cancel()
            self._search = None
            self._stall = None  # it has fired, which it does once

    def _begin_search(self) -> None:
        self._search = asyncio.create_task(self._find_until_found())

    async def _find_until_found(self) -> None:
        interval_s = SEARCH_INTERVAL_S
        while True:
            found = await self._find()
            if found is not None:
                await self._await_arrived(found)
                # The task is still in its wait: the end of a wait cancels this search.
                self._found = found
                self._task.cancel()
                return
            await asyncio.sleep(interval_s)
            interval_s *= 2

    async def _await_arrived(self, found: Replacement) -> None:
        """Return after the tasks have run whose data had been read.

        A timer is handled after the data that comes in its iteration, so that what
        waits for the data runs first, and then cancels this search.

        :param found: dropped if this is cancelled.
        """
        try:
            await asyncio.sleep(ARRIVED_S)
        except asyncio.CancelledError:
            found.drop()
            raise
