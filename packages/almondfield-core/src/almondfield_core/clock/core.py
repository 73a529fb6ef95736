"""Time as the event loop tells it."""

import asyncio
from dataclasses import dataclass

__all__ = ["WallClock", "now"]


def now() -> float:
    """Return the time of the running event loop.

    :returns: seconds since an arbitrary start; never goes back.
    :raises RuntimeError: where no event loop runs.
    """
    return asyncio.get_running_loop().time()


@dataclass(frozen=True)
class WallClock:
    """Calendar time, carried forward by the clock of the event loop.

    :ivar offset_s: seconds to add to :func:`now` to get seconds since 1970.
    """

    offset_s: float

    def unix_s(self) -> float:
        """Return the calendar time in seconds since 1970."""
        return now() + self.offset_s
