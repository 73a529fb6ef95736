"""The event loop of a fleet daemon."""

import asyncio
import selectors
import time

__all__ = ["SuspendAwareLoop"]


class _CountingSelector(selectors.DefaultSelector):
    """A selector that counts how often it was waited on.

    :ivar wake_ups: returns from waiting, the current one excluded.
    """

    def __init__(self) -> None:
        super().__init__()
        self.wake_ups = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready descriptors.

        :param timeout: longest time to wait in seconds; None waits for ever.
        """
        events = super().select(timeout)
        # Without a wait the process was awake already.
        self.wake_ups += timeout is None or timeout > 0
        return events


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock goes on while the host is suspended.

    The usual clock stands still meanwhile, so that a lease would count as valid
    after others have rightly taken it for run out.
    """

    def __init__(self) -> None:
        self._counting = _CountingSelector()
        super().__init__(self._counting)

    @property
    def wake_ups(self) -> int:
        """Return how often the loop has woken up."""
        return self._counting.wake_ups

    def time(self) -> float:
        """Return seconds since the host was started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
