"""The event loop of a fleet daemon."""

import asyncio
import time

__all__ = ["SuspendAwareLoop"]


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock goes on while the host is suspended.

    The usual clock stands still meanwhile, so that a lease would count as valid
    after others have rightly taken it for run out.
    """

    def time(self) -> float:
        """Return seconds since the host was started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
