"""Token bucket of the requests that a server takes."""

import math

from almondfield_core.clock import now

__all__ = ["RateLimit"]

BURST_S = 0.5  # routers ask for requests at random times
MIN_RATE_PER_S = 0.5  # shows when a server that takes none takes some again


class RateLimit:
    """Token bucket that begins empty.

    :param per_s: requests a second that the server takes.
    :param part: part of them that this bucket gives out.
    :param burst_s: time whose requests it holds, in seconds; one request at least.
    """

    def __init__(
        self, per_s: float, part: float = 1.0, burst_s: float = BURST_S
    ) -> None:
        self._part = part
        self._burst_s = burst_s
        self._per_s = part * max(MIN_RATE_PER_S, per_s)
        self._tokens = 0.0
        self._updated_s = now()

    def set_rate(self, per_s: float) -> None:
        """Change the rate from now on.

        :param per_s: requests a second that the server takes.
        """
        self._refill()
        self._per_s = self._part * max(MIN_RATE_PER_S, per_s)

    def wait_s(self) -> float:
        """Return the time until a request may be sent, in seconds."""
        self._refill()
        return max(0.0, 1 - self._tokens) / self._per_s

    def take(self) -> bool:
        """Return whether a request may be sent now, and count it."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        elapsed_s = now() - self._updated_s
        self._updated_s = now()
        most = max(1.0, self._burst_s * self._per_s)
        self._tokens = min(most, self._tokens + elapsed_s * self._per_s)
        if math.isclose(self._tokens, 1.0):
            self._tokens = 1.0  # sums of floats fall short of the last bit
