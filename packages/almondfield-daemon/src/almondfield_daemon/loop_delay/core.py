"""Times of the iterations of an event loop."""

from collections import deque
from dataclasses import dataclass

__all__ = ["LATE_S", "IterationTimes", "LongestDelay"]

LATE_S = 0.25  # a quarter of the time that callers wait for a request to be read
KEPT_RETURNS = 3


@dataclass(frozen=True)
class LongestDelay:
    """Delays of the iterations since they were last asked for.

    :ivar seconds: the longest delay.
    :ivar late_count: number of iterations that were late.
    """

    seconds: float = 0.0
    late_count: int = 0


class IterationTimes:
    """Records when the selector of an event loop was called and when it returned.

    An iteration begins with a return of the selector. Its delay is how long a
    descriptor that became ready during it had to wait for the next one.

    :param started_s: when the loop was made, in seconds of its clock.

    :ivar count: number of iterations.
    """

    def __init__(self, started_s: float) -> None:
        self.count = 0
        self._returns_s = deque([started_s] * KEPT_RETURNS, maxlen=KEPT_RETURNS)
        self._longest_s = 0.0
        self._late_count = 0

    def record(
        self, called_s: float, timeout_s: float | None, returned_s: float
    ) -> None:
        """Record one wait of the selector.

        :param called_s: when it was called, in seconds of the loop's clock.
        :param timeout_s: longest wait that was asked for, in seconds; None for any.
        :param returned_s: when it returned, in seconds of the loop's clock.
        """
        delay_s = called_s - self._returns_s[-1]
        if timeout_s is not None:
            # A process without processor time returns later than it asked for.
            delay_s += max(0.0, returned_s - called_s - max(0.0, timeout_s))
        self._longest_s = max(self._longest_s, delay_s)
        self._late_count += delay_s >= LATE_S
        self._returns_s.append(returned_s)
        self.count += 1

    def ready_between(self, iterations_ago: int = 0) -> tuple[float, float]:
        """Return when descriptors became ready that an iteration began with.

        They were not ready at the return of the selector before that.

        :param iterations_ago: 0 for the current iteration, 1 for the one before.
        :returns: the earliest and the latest time, in seconds of the loop's clock.
        """
        latest = KEPT_RETURNS - 1 - iterations_ago
        return self._returns_s[latest - 1], self._returns_s[latest]

    def take_longest(self) -> LongestDelay:
        """Return the longest delay since the last call of this method."""
        longest = LongestDelay(self._longest_s, self._late_count)
        self._longest_s = 0.0
        self._late_count = 0
        return longest
