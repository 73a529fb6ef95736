"""Decisions of the scheduler while engines of a pool are cold.

Handles pools most of whose engines became cold at once, so that permits are far fewer
than prompts. Streams that go on come before new prompts, and refused callers return one
by one when permits are due.
"""

from collections import deque
from collections.abc import Collection

from almondfield_core.clock import now
from almondfield_daemon.server_limits import LimitService, RefusalSpread

__all__ = ["ColdRefusals"]

# A refused stream is sent again by then, or its caller has given it up.
REPEAT_HOLD_S = 0.3
MAX_HELD_REPEATS = 1000
MOSTLY_COLD_SHARE = 0.5
MIN_RETRY_S = 0.05


class ColdRefusals:
    """Closed engines and retry times of one pool.

    :param limits: limits of servers on all routers together.
    """

    def __init__(self, limits: LimitService) -> None:
        self._limits = limits
        self._spread = RefusalSpread()
        self._refused_repeats_s: deque[float] = deque(maxlen=MAX_HELD_REPEATS)

    def closed_names(self, engines: Collection[str], is_repeat: bool) -> frozenset[str]:
        """Return the names of servers that take no request now.

        As many cold engines are kept for streams as streams were refused lately.

        :param engines: names of the pool's engines.
        :param is_repeat: whether the request goes on with a stream.
        """
        closed = self._limits.closed_servers()
        refused_s = self._refused_repeats_s
        while refused_s and refused_s[0] <= now() - REPEAT_HOLD_S:
            refused_s.popleft()
        if is_repeat or not refused_s:
            return closed
        cold = self._limits.cold_rates_per_s(engines)
        kept = [name for name in sorted(cold) if name not in closed]
        return closed.union(kept[: len(refused_s)])

    def record_admitted(self, is_repeat: bool) -> None:
        """Record that a request was admitted.

        :param is_repeat: whether it goes on with a stream.
        """
        if is_repeat and self._refused_repeats_s:
            self._refused_repeats_s.popleft()

    def retry_after_s(
        self, engines: Collection[str], retry_after_s: float, is_repeat: bool
    ) -> float:
        """Return when a refused caller may return, in seconds.

        :param engines: names of the pool's engines.
        :param retry_after_s: time that the scheduler gives, in seconds.
        :param is_repeat: whether the request goes on with a stream.
        """
        cold = self._limits.cold_rates_per_s(engines)
        if not cold or len(cold) < MOSTLY_COLD_SHARE * len(engines):
            return retry_after_s
        wait_s = self._limits.cold_wait_s(cold)
        if is_repeat:
            self._refused_repeats_s.append(now())
            return max(MIN_RETRY_S, wait_s)
        wait_s = max(retry_after_s, wait_s)
        return self._spread.next_s(wait_s, sum(cold.values()))
