"""Turns that the handlers of messages take, so that other tasks run between them."""

import asyncio
from collections import deque

__all__ = ["HandlingTurns"]

MAX_TURNS_PER_ITERATION = 16  # some milliseconds of a busy scheduler's decisions


class HandlingTurns:
    """Bounds how many messages are handled in one iteration of the event loop.

    Each sender has a task that passes its messages on. Without a bound, one iteration
    handles all that has come from all senders, and what keeps a lease, heartbeats and
    replies of the control group, waits for as long.
    """

    def __init__(self) -> None:
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._left = MAX_TURNS_PER_ITERATION
        self._is_scheduled = False

    async def take(self) -> None:
        """Return once it is the caller's turn; those who wait come in their order."""
        if self._left and not self._waiters:
            self._left -= 1
            self._schedule_refill()
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._schedule_refill()
        await waiter

    def _schedule_refill(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._refill)

    def _refill(self) -> None:
        """Give out the turns of the next iteration."""
        self._is_scheduled = False
        self._left = MAX_TURNS_PER_ITERATION
        while self._left and self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():  # it may have been cancelled
                waiter.set_result(None)
                self._left -= 1
        if self._left < MAX_TURNS_PER_ITERATION:
            self._schedule_refill()
