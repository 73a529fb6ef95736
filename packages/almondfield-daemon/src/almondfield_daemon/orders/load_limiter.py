"""Rate limit of model loads, so that the weight store is not overloaded."""

import asyncio

from almondfield_core.clock import now

__all__ = ["LoadLimiter"]


class LoadLimiter:
    """Permits one load per interval.

    The first load is permitted one interval after construction, as the previous issuer
    may have started a load just before.

    :param interval_s: seconds between two starts.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_start_s = now() + interval_s

    async def acquire(self) -> None:
        """Return once a load may start."""
        start_s = max(now(), self._next_start_s)
        self._next_start_s = start_s + self._interval_s
        await asyncio.sleep(start_s - now())
