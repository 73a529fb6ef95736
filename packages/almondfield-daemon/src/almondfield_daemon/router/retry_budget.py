"""Bounds retries to a share of the requests."""

__all__ = ["RetryBudget"]

BURST_RETRIES = 10.0


class RetryBudget:
    """A token bucket that each request fills a little and each retry drains.

    :param share: retries per request, at most, over time.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST_RETRIES

    def note_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._tokens = min(BURST_RETRIES, self._tokens + self._share)

    def take(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
