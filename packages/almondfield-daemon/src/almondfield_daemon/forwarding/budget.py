"""Retry budget of a pool, shared by the routers of the fleet."""

from collections import deque
from collections.abc import Callable

from almondfield_core.clock import now

__all__ = ["RetryWindow"]

SAFETY_FACTOR = 0.7  # the rest covers routers that are starting or not yet counted


class RetryWindow:
    """One router's part of a pool's retry budget, over a sliding window.

    :param window_s: length of the window in seconds.
    :param share: repeats per request that the whole fleet may send.
    :param slack: repeats beyond that share that the whole fleet may send.
    :param routers: returns the number of routers that share the slack.
    """

    def __init__(
        self,
        window_s: float,
        share: float,
        slack: float,
        routers: Callable[[], int],
    ) -> None:
        self._window_s = window_s
        self._share = share
        self._slack = slack
        self._routers = routers
        self._request_times_s: deque[float] = deque()
        self._repeat_times_s: deque[float] = deque()

    def record_request(self) -> None:
        """Count a caller's request."""
        self._drop_expired()
        self._request_times_s.append(now())

    def try_spend(self, count: int = 1) -> bool:
        """Return whether some more repeats are allowed, and count them.

        :param count: number of repeats.
        """
        if not self.allows_repeats(count):
            return False
        self._repeat_times_s.extend([now()] * count)
        return True

    def refund(self, spent_s: float) -> None:
        """Take back a repeat that was counted and not sent.

        :param spent_s: when it was counted, in seconds of the loop's clock.
        """
        if spent_s in self._repeat_times_s:
            self._repeat_times_s.remove(spent_s)

    def allows_repeats(self, count: int = 1) -> bool:
        """Return whether some more repeats are allowed.

        :param count: number of repeats.
        """
        self._drop_expired()
        allowed = self._share * len(self._request_times_s)
        allowed += self._slack / max(1, self._routers())
        return len(self._repeat_times_s) + count <= SAFETY_FACTOR * allowed

    def _drop_expired(self) -> None:
        oldest_s = now() - self._window_s
        for times_s in (self._request_times_s, self._repeat_times_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
