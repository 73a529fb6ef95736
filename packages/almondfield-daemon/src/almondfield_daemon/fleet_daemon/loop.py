"""The event loop of a fleet daemon."""

import asyncio
import selectors
import time

__all__ = ["SuspendAwareLoop"]


class _CountingSelector(selectors.DefaultSelector):
    """A selector that counts the wake-ups of the process.

    :ivar wake_ups: number of completed waits; one in progress is not counted.
    """

    def __init__(self) -> None:
        super().__init__()
        self.wake_ups = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready descriptors.

        :param timeout: longest wait in seconds; None waits without limit.
        """
        events = super().select(timeout)
        # With a timeout of 0 the process does not sleep.
        self.wake_ups += timeout is None or timeout > 0
        return events


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock continues while the host is suspended.

    The default clock stops during a suspension. A lease would then count as valid
    after other hosts have correctly treated it as expired.
    """

    def __init__(self) -> None:
        self._counting_selector = _CountingSelector()
        super().__init__(self._counting_selector)

    @property
    def wake_ups(self) -> int:
        """Return the number of wake-ups of the loop."""
        return self._counting_selector.wake_ups

    def time(self) -> float:
        """Return the seconds since the host booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
