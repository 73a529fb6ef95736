"""Turns that the handlers of messages take, so that other tasks run between them."""

import asyncio
import itertools
import math
from collections.abc import Sequence
from heapq import heappop, heappush
from typing import Any

__all__ = ["HandlingTurns"]

TURNS_PER_ITERATION = 16  # some milliseconds of a busy scheduler's decisions


class HandlingTurns:
    """Bounds how many messages are handled in one iteration of the event loop.

    Each sender has a task that passes its messages on. Without a bound, one iteration
    handles all that has come from all senders, and what keeps a lease, heartbeats and
    replies of the control group, waits for as long. Messages take turns in the order in
    which they came, not by sender, so that those of a busy sender wait no longer.
    """

    def __init__(self) -> None:
        # When the first message of a queue came, a number that decides between two
        # such times, the queue, and what is set to the number of its turns.
        self._waiters: list[
            tuple[float, int, Sequence[tuple[Any, float]], asyncio.Future[int]]
        ] = []
        self._numbers = itertools.count()
        self._left = TURNS_PER_ITERATION
        self._is_scheduled = False

    async def take(self, queue: Sequence[tuple[Any, float]]) -> int:
        """Return how many messages of a queue may be handled now, at least one.

        :param queue: the messages of one sender, and when each came, in seconds of the
            loop's clock; at least one.
        """
        if self._left and not self._waiters:
            self._left -= 1
            return 1
        waiter = asyncio.get_running_loop().create_future()
        heappush(self._waiters, (queue[0][1], next(self._numbers), queue, waiter))
        self._schedule_refill()
        return await waiter

    def _schedule_refill(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._refill)

    def _refill(self) -> None:
        """Give out the turns of the next iteration."""
        self._is_scheduled = False
        self._left = TURNS_PER_ITERATION
        while self._left and self._waiters:
            _, _, queue, waiter = heappop(self._waiters)
            if waiter.done():  # cancelled
                continue
            next_s = self._waiters[0][0] if self._waiters else math.inf
            count = 1
            most = min(self._left, len(queue))
            while count < most and queue[count][1] <= next_s:
                count += 1
            waiter.set_result(count)
            self._left -= count
        if self._waiters:
            self._schedule_refill()
