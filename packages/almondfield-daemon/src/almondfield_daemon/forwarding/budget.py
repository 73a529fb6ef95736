"""Bounds repeated requests to a pool over the whole fleet."""

from collections import deque
from collections.abc import Callable

from almondfield_core.clock import now

__all__ = ["RetryWindow"]

SAFE_PART = 0.7  # the rest covers routers that start or are counted late


class RetryWindow:
    """Requests and repeats of one pool in the last seconds, at one router.

    :param window_s: length of the window in seconds.
    :param share: repeats per request, over the whole fleet.
    :param slack: repeats beyond that share, over the whole fleet.
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
        self._requests_s: deque[float] = deque()
        self._repeats_s: deque[float] = deque()

    def note_request(self) -> None:
        """Count a caller's request."""
        self._forget()
        self._requests_s.append(now())

    def take(self) -> bool:
        """Return whether one more repeat is allowed, and count it."""
        if not self.has_room():
            return False
        self._repeats_s.append(now())
        return True

    def has_room(self) -> bool:
        """Return whether one more repeat is allowed."""
        self._forget()
        allowed = self._share * len(self._requests_s)
        allowed += self._slack / max(1, self._routers())
        return len(self._repeats_s) + 1 <= SAFE_PART * allowed

    def _forget(self) -> None:
        before_s = now() - self._window_s
        for times_s in (self._requests_s, self._repeats_s):
            while times_s and times_s[0] < before_s:
                times_s.popleft()
