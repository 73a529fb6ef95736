"""Times of the iterations of an event loop."""

from collections import deque
from dataclasses import dataclass

__all__ = ["LATE_S", "IterationTimes", "LongestDelay"]

LATE_S = 0.25  # a quarter of the time that callers wait for a request to be read
KEPT_ITERATIONS = 64  # of a busy loop, those of some milliseconds
MIN_WAIT_S = 0.001  # a selector that returns sooner found descriptors ready
TIMER_ERROR_S = 0.02


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
        self._returned_s = started_s
        # For each iteration: when its descriptors became ready, earliest and latest.
        self._ready_s = deque(
            [(started_s, started_s)] * KEPT_ITERATIONS, maxlen=KEPT_ITERATIONS
        )
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
        delay_s = called_s - self._returned_s
        overdue_s = 0.0
        if timeout_s is not None:
            # A process without processor time returns later than it asked for.
            overdue_s = max(0.0, returned_s - called_s - max(0.0, timeout_s))
        delay_s += overdue_s
        self._longest_s = max(self._longest_s, delay_s)
        self._late_count += delay_s >= LATE_S
        earliest_s = self._returned_s
        if returned_s - called_s >= MIN_WAIT_S and timeout_s != 0:
            # Nothing was ready at the call. A wait ends with the first descriptor,
            # unless the process gets no processor time.
            earliest_s = returned_s if overdue_s < TIMER_ERROR_S else called_s
        self._ready_s.append((earliest_s, returned_s))
        self._returned_s = returned_s
        self.count += 1

    def ready_between(self, iterations_ago: int = 0) -> tuple[float, float]:
        """Return when descriptors became ready that an iteration began with.

        :param iterations_ago: 0 for the current iteration, 1 for the one before.
        :returns: the earliest and the latest time, in seconds of the loop's clock.
        """
        return self._ready_s[-1 - iterations_ago]

    def earliest_ready_s(self, since_s: float, least_iterations: int) -> float:
        """Return the earliest time at which recent iterations can have become ready.

        :param since_s: oldest end of a wait that counts, in seconds of its clock.
        :param least_iterations: number of latest iterations that count in any case.
        """
        recent = list(self._ready_s)
        latest = recent[-least_iterations:]
        counted = [ready for ready in recent if ready[1] >= since_s]
        return min(earliest_s for earliest_s, _ in (*latest, *counted))

    def take_longest(self) -> LongestDelay:
        """Return the longest delay since the last call of this method."""
        longest = LongestDelay(self._longest_s, self._late_count)
        self._longest_s = 0.0
        self._late_count = 0
        return longest
