"""Regular times that the parts of one host share."""

import asyncio
import math
import zlib

from almondfield_core.clock.core import now

__all__ = ["Beat"]

LEAST_GAP = 0.01
"""Least time to the next beat, as a share of the interval."""

PHASES = 1000


class Beat:
    """Times of the regular work of one host, an interval apart.

    Parts that work at the same times share wake-ups, and what they send to one host
    goes in one frame. Each host has its own phase, so that hosts do not work in step.

    :param host: name of the host.
    :param interval_s: seconds between two beats.
    """

    def __init__(self, host: str, interval_s: float) -> None:
        self._interval_s = interval_s
        # Beats of half an interval fall on those of the whole one, too.
        self._phase_s = zlib.crc32(host.encode()) % PHASES / PHASES % interval_s

    async def wait(self) -> None:
        """Return at the next beat."""
        await asyncio.sleep(self.next_s(now()) - now())

    def next_s(self, after_s: float) -> float:
        """Return the next beat that is not just after a time.

        :param after_s: a time on the loop's clock.
        :returns: at most 1 % more than the interval later.
        """
        earliest_s = after_s + LEAST_GAP * self._interval_s
        number = math.ceil((earliest_s - self._phase_s) / self._interval_s)
        return self._phase_s + number * self._interval_s
