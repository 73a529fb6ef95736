"""Retry budget of a pool, shared by the routers of the fleet."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from almondfield_core.clock import now

__all__ = ["PendingRepeat", "Repeat", "RetryWindow"]

SAFETY_FACTOR = 0.7  # the rest covers routers that are starting or not yet counted
# A failure may need two repeats for a hand-over, and failures come several at a time.
SPARE_SHARE = 0.5


@dataclass(frozen=True, eq=False)
class Repeat:
    """A repeat that was counted; equal only to itself.

    :ivar spent_s: when it was counted, in seconds of the loop's clock.
    """

    spent_s: float


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
        self._repeats: deque[Repeat] = deque()

    def record_request(self) -> None:
        """Count a caller's request."""
        self._drop_expired()
        self._request_times_s.append(now())

    def request_count(self) -> int:
        """Return the number of callers' requests in the window."""
        self._drop_expired()
        return len(self._request_times_s)

    def reserve(self, count: int) -> tuple[Repeat, ...]:
        """Return some more repeats, which are counted; none unless all are allowed.

        :param count: number of repeats.
        """
        if not self.allows_repeats(count):
            return ()
        spent_s = now()
        repeats = tuple(Repeat(spent_s) for _ in range(count))
        self._repeats.extend(repeats)
        return repeats

    def reserve_spare(self) -> Repeat | None:
        """Return a repeat, which is counted, if most of the others are left.

        It is for repeats that only save time, so that failures can still be repeated.
        """
        self._drop_expired()
        if len(self._repeats) + 1 > SPARE_SHARE * self._allowed():
            return None
        repeat = Repeat(now())
        self._repeats.append(repeat)
        return repeat

    def refund(self, repeat: Repeat) -> None:
        """Take back a repeat that was counted and not sent.

        :param repeat: the repeat; it may have left the window.
        """
        if repeat in self._repeats:
            self._repeats.remove(repeat)

    def allows_repeats(self, count: int = 1) -> bool:
        """Return whether some more repeats are allowed.

        :param count: number of repeats.
        """
        self._drop_expired()
        return len(self._repeats) + count <= self._allowed()

    def _allowed(self) -> float:
        allowed = self._share * len(self._request_times_s)
        allowed += self._slack / max(1, self._routers())
        return SAFETY_FACTOR * allowed

    def _drop_expired(self) -> None:
        oldest_s = now() - self._window_s
        while self._request_times_s and self._request_times_s[0] < oldest_s:
            self._request_times_s.popleft()
        while self._repeats and self._repeats[0].spent_s < oldest_s:
            self._repeats.popleft()


class PendingRepeat:
    """The repeat that is counted for the next attempt of a request, until it is sent.

    :param window: retry budget of the pool.
    """

    def __init__(self, window: RetryWindow) -> None:
        self._window = window
        self._repeat: Repeat | None = None

    def try_spend(self) -> bool:
        """Return whether another attempt is allowed, and count it once."""
        if self._repeat is None:
            self._repeat = next(iter(self._window.reserve(1)), None)
        return self._repeat is not None

    def replace(self, repeat: Repeat) -> None:
        """Use another repeat, which is counted already, for the next attempt.

        :param repeat: the repeat.
        """
        self.drop()
        self._repeat = repeat

    def record_sent(self) -> None:
        """Record that a server may have got the attempt."""
        self._repeat = None

    def drop(self) -> None:
        """Give back the repeat, if there is one, as it isn't sent."""
        if self._repeat is not None:
            self._window.refund(self._repeat)
            self._repeat = None
