"""Spaces loads so that the weight store isn't asked for too many at once."""

import asyncio

from almondfield_core.clock import now

__all__ = ["LoadPace"]


class LoadPace:
    """Gives out starts of loads, one per interval.

    The first comes one interval after the making, as an earlier issuer may have
    started a load right before.

    :param interval_s: seconds between two starts.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_s = now() + interval_s

    async def take(self) -> None:
        """Return once a load may start."""
        start_s = max(now(), self._next_s)
        self._next_s = start_s + self._interval_s
        await asyncio.sleep(start_s - now())
