"""A periodic timer whose ticks the tasks of one host share."""

import asyncio
import math
import zlib

from almondfield_core.clock.core import now

__all__ = ["PeriodicTimer"]

MIN_DELAY_SHARE = 0.01
"""Shortest time to the next tick, as a share of the interval."""

PHASE_COUNT = 1000


class PeriodicTimer:
    """A periodic timer for the tasks of one host.

    All timers of a host with the same interval tick at the same times, so that its
    tasks share wake-ups and their messages to another host share one frame. The
    phase depends on the host's name, so that hosts do not send all at once.

    :param host: name of the host.
    :param interval_s: seconds between two ticks.
    """

    def __init__(self, host: str, interval_s: float) -> None:
        self._interval_s = interval_s
        # Every tick of an interval is also a tick of half that interval.
        self._phase_s = (
            zlib.crc32(host.encode()) % PHASE_COUNT / PHASE_COUNT % interval_s
        )

    async def wait(self) -> None:
        """Return at the next tick."""
        await asyncio.sleep(self.next_tick_s(now()) - now())

    def next_tick_s(self, after_s: float) -> float:
        """Return the time of the next tick at least 1 % of an interval after a time.

        :param after_s: a time on the loop's clock, in seconds.
        :returns: seconds on the same clock; at most 101 % of the interval later.
        """
        earliest_s = after_s + MIN_DELAY_SHARE * self._interval_s
        tick_number = math.ceil((earliest_s - self._phase_s) / self._interval_s)
        return self._phase_s + tick_number * self._interval_s
