"""The event loop of a fleet daemon."""

import asyncio
import selectors
import time
from collections.abc import Callable

from almondfield_daemon.loop_delay import IterationTimes

__all__ = ["SuspendAwareLoop"]


class _CountingSelector(selectors.DefaultSelector):
    """A selector that counts the wake-ups of the process and records iterations.

    :param clock: returns the time on the clock of the event loop, in seconds.

    :ivar wake_ups: number of completed waits; one in progress is not counted.
    :ivar iterations: times of the iterations of the event loop.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self.wake_ups = 0
        self._clock = clock
        self.iterations = IterationTimes(clock())

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready descriptors.

        :param timeout: longest wait in seconds; None waits without limit.
        """
        called_s = self._clock()
        events = super().select(timeout)
        self.iterations.record(called_s, timeout, self._clock())
        # With a timeout of 0 the process does not sleep.
        self.wake_ups += timeout is None or timeout > 0
        return events


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock continues while the host is suspended.

    The default clock stops during a suspension. A lease would then count as valid
    after other hosts have correctly treated it as expired.
    """

    def __init__(self) -> None:
        self._counting_selector = _CountingSelector(self.time)
        super().__init__(self._counting_selector)

    @property
    def wake_ups(self) -> int:
        """Return the number of wake-ups of the loop."""
        return self._counting_selector.wake_ups

    @property
    def iterations(self) -> IterationTimes:
        """Return the times of the loop's iterations."""
        return self._counting_selector.iterations

    def time(self) -> float:
        """Return the seconds since the host booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
