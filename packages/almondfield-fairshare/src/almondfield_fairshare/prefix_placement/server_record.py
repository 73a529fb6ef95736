"""What one router knows of the load and health of one backend server."""

from almondfield_core.clock import now

__all__ = ["ServerRecord"]

FIRST_AVOID_S = 0.5
LONGEST_AVOID_S = 4.0
REPORT_LIFETIME_S = 1.0  # a report older than this says little of the load now


class ServerRecord:
    """Load and failures of one server, as one router sees them.

    :ivar in_flight: requests of this router that the server has.
    :ivar unread_tokens: prompt tokens of those whose answer has not begun.
    :ivar failures: failures since the last success.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.unread_tokens = 0
        self.failures = 0
        self._avoid_until_s = float("-inf")
        self._running = 0
        self._waiting = 0
        self._reported_s = float("-inf")

    def report(self, running: int, waiting: int) -> None:
        """Take note of the load that the server told.

        :param running: requests that it runs.
        :param waiting: requests that wait for a slot.
        """
        self._running = running
        self._waiting = waiting
        self._reported_s = now()

    @property
    def running(self) -> int:
        """Return how many requests the server runs, as far as is known."""
        if now() - self._reported_s > REPORT_LIFETIME_S:
            return self.in_flight
        return max(self._running, self.in_flight)

    @property
    def waiting(self) -> int:
        """Return how many requests wait at the server, as far as is known."""
        if now() - self._reported_s > REPORT_LIFETIME_S:
            return 0
        return self._waiting

    @property
    def is_avoided(self) -> bool:
        """Return whether the server failed a short time ago."""
        return now() < self._avoid_until_s

    def succeed(self) -> None:
        """Take note of a whole answer."""
        self.failures = 0
        self._avoid_until_s = float("-inf")

    def fail(self) -> None:
        """Take note of a failure; the server is avoided for longer each time."""
        self.failures += 1
        pause_s = min(LONGEST_AVOID_S, FIRST_AVOID_S * 2 ** (self.failures - 1))
        self._avoid_until_s = now() + pause_s
