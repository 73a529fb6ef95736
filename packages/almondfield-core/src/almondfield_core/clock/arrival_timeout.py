"""A timeout that does not count the delay of this process as silence."""

import asyncio
from types import TracebackType

__all__ = ["ArrivalTimeout"]

# From a readable or writable socket to the waiting task of a new connection.
MAX_ITERATIONS = 3


class ArrivalTimeout:
    """Context manager that raises ``TimeoutError`` if nothing arrived in time.

    A busy event loop runs an expired timer in the same iteration as the callbacks of
    data that arrived long before. This timeout lets the tasks of some more iterations
    run after such callbacks, and expires only if its wait is not over then.

    :param delay_s: seconds until it expires.
    """

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> "ArrivalTimeout":
        await self._timeout.__aenter__()
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, self._delay_s)
        self._timer = loop.call_later(delay_s, self._expire, MAX_ITERATIONS)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self._timer.cancel()
        return await self._timeout.__aexit__(kind, error, traceback)

    def _expire(self, iterations: int) -> None:
        loop = asyncio.get_running_loop()
        if iterations == 1:
            # This takes the last iteration.
            self._timeout.reschedule(loop.time())
        else:
            self._timer = loop.call_soon(self._expire, iterations - 1)
