"""Finds waits that take too long, at no cost for those that don't."""

import asyncio
from collections.abc import Callable

__all__ = ["StallTimer"]


class StallTimer:
    """Calls back once a wait takes longer than a limit.

    Its one timer is moved only when it fires, so that a wait costs two assignments
    where a timeout of its own would set and cancel a timer.

    :param limit_s: seconds that a wait may take.
    :param on_stall: called once, from the event loop.
    """

    def __init__(self, limit_s: float, on_stall: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._limit_s = limit_s
        self._on_stall = on_stall
        self._began: float | None = None
        self._timer = self._loop.call_later(limit_s, self._check)

    def begin(self) -> None:
        """Note that a wait begins."""
        self._began = self._loop.time()

    def end(self) -> None:
        """Note that the wait is over."""
        self._began = None

    def stop(self) -> None:
        """Never call back from now on."""
        self._timer.cancel()

    def _check(self) -> None:
        began = self._loop.time() if self._began is None else self._began
        due = began + self._limit_s
        if due <= self._loop.time():
            self._on_stall()
            return
        self._timer = self._loop.call_at(due, self._check)
