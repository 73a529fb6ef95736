"""Detects waits that exceed a limit, at little cost for those that do not."""

import asyncio
from collections.abc import Callable

__all__ = ["StallTimer"]


class StallTimer:
    """Calls a function when a wait exceeds a limit.

    A single timer is rescheduled only when it fires. A wait therefore costs two
    assignments, whereas a timeout per wait would set and cancel a timer.

    A wait exceeds the limit only if it goes on after the event loop has run the tasks
    whose data had arrived when the timer fired.

    :param limit_s: longest wait, in seconds.
    :param on_stall: called once, from the event loop.
    """

    def __init__(self, limit_s: float, on_stall: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._limit_s = limit_s
        self._on_stall = on_stall
        self._wait_started_s: float | None = None
        self._timer: asyncio.Handle = self._loop.call_later(limit_s, self._check)

    def begin(self) -> None:
        """Record the start of a wait."""
        self._wait_started_s = self._loop.time()

    def end(self) -> None:
        """Record the end of the wait."""
        self._wait_started_s = None

    def stop(self) -> None:
        """Cancel the timer; the function is not called any more."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._due_s() <= self._loop.time():
            self._timer = self._loop.call_soon(self._check_again)
            return
        self._timer = self._loop.call_at(self._due_s(), self._check)

    def _check_again(self) -> None:
        if self._due_s() <= self._loop.time():
            self._on_stall()
            return
        self._timer = self._loop.call_at(self._due_s(), self._check)

    def _due_s(self) -> float:
        started_s = self._wait_started_s
        return (self._loop.time() if started_s is None else started_s) + self._limit_s
