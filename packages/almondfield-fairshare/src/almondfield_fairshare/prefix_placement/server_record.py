"""Load and health of one backend server, as one router sees them."""

from almondfield_core.clock import now
from almondfield_fairshare.server_speed import Slowdown

__all__ = ["ServerRecord"]

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
REPORT_LIFETIME_S = 1.0  # an older report no longer describes the load


class ServerRecord:
    """Load and failures of one server, as one router sees them.

    :ivar in_flight: requests of this router that are in flight at the server.
    :ivar uncached_tokens: uncached prompt tokens of those whose answer has not begun.
    :ivar failures: number of failures since the last success.
    :ivar timeouts: number of timeouts since then that were not counted as failures.
    :ivar avoided_until_s: end of the back-off after a failure, in seconds of the loop's
        clock.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.uncached_tokens = 0
        self.failures = 0
        self.timeouts = 0
        self.avoided_until_s = float("-inf")
        self._slowdown = Slowdown()
        self._born_ms = 0
        self._running = 0
        self._waiting = 0
        self._reported_s = float("-inf")

    def record_load(self, running: int, waiting: int) -> None:
        """Record the load that the server reported.

        :param running: requests that it runs.
        :param waiting: requests that wait for a slot.
        """
        self._running = running
        self._waiting = waiting
        self._reported_s = now()

    def record_slowdown(self, born_ms: int, slowdown: float) -> bool:
        """Record how long work takes now; return whether it takes longer or less long.

        :param born_ms: start of the server, in milliseconds since 1970. A restarted
            server begins without a slowdown.
        :param slowdown: the time as a multiple of the usual one.
        """
        if born_ms != self._born_ms:
            self._born_ms = born_ms
            self._slowdown = Slowdown()
        before = self._slowdown.latest
        self._slowdown.record(slowdown, now())
        return self._slowdown.latest != before

    @property
    def slowdown(self) -> float:
        """Return how long work is expected to take, as a multiple of the usual time."""
        return self._slowdown.factor(now())

    @property
    def running(self) -> int:
        """Return the number of requests that run at the server, as far as known."""
        if now() - self._reported_s > REPORT_LIFETIME_S:
            return self.in_flight
        return max(self._running, self.in_flight)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait at the server, as far as known."""
        if now() - self._reported_s > REPORT_LIFETIME_S:
            return 0
        return self._waiting

    @property
    def is_avoided(self) -> bool:
        """Return whether the back-off after a failure of the server still lasts."""
        return now() < self.avoided_until_s

    def record_success(self) -> None:
        """Record a complete answer, which ends the back-off."""
        self.failures = 0
        self.timeouts = 0
        self.avoided_until_s = float("-inf")

    def record_failure(self) -> None:
        """Record a failure; each further one doubles the back-off, up to a limit."""
        self.failures += 1
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self.failures - 1))
        self.avoided_until_s = now() + backoff_s
