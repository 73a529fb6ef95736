"""Spreads the returns of refused callers over time."""

from almondfield_core.clock import now

__all__ = ["RefusalSpread"]

MAX_SPREAD_S = 1.0


class RefusalSpread:
    """Gives each refused caller a time of its own, in the pace of the permits.

    Without it, all callers that were refused since the last permit return for the next
    one at the same moment. If more are refused than permits come in a second, several
    share a time.
    """

    def __init__(self) -> None:
        self._last_s = float("-inf")

    def next_s(self, wait_s: float, per_s: float) -> float:
        """Return when the next refused caller may return, in seconds from now.

        :param wait_s: time until the next permit, in seconds.
        :param per_s: permits a second.
        """
        earliest_s = now() + wait_s
        return_s = max(earliest_s, self._last_s + 1 / per_s)
        if return_s > earliest_s + MAX_SPREAD_S:
            return_s = earliest_s
        self._last_s = return_s
        return return_s - now()
