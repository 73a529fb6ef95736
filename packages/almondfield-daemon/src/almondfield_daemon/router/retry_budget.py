"""Limits retries to a share of the requests."""

__all__ = ["RetryBudget"]

BURST_RETRIES = 10.0


class RetryBudget:
    """A token bucket: a request adds a fraction of a token, a retry uses one.

    :param share: highest long-term ratio of retries to requests.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST_RETRIES

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._tokens = min(BURST_RETRIES, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take a token and return True, or return False if no retry is allowed."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
