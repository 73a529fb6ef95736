"""Monotonic and calendar time, based on the clock of the event loop."""

import asyncio
from dataclasses import dataclass

__all__ = ["WallClock", "now"]


def now() -> float:
    """Return the time on the clock of the running event loop.

    :returns: monotonic seconds since an arbitrary start.
    :raises RuntimeError: if no event loop is running.
    """
    return asyncio.get_running_loop().time()


@dataclass(frozen=True)
class WallClock:
    """Calendar time, computed from the clock of the event loop.

    :ivar offset_s: seconds to add to :func:`now` to get seconds since 1970.
    """

    offset_s: float

    def unix_s(self) -> float:
        """Return the calendar time in seconds since 1970."""
        return now() + self.offset_s
