"""Decides whether and when a second copy of a slow request is sent.

The load that this handles: a few requests of a pool are slow, as one server pauses or
is slow for a moment, while the others have free slots. If the whole pool is slow or
busy, copies would make it slower, so hedging stops by itself.
"""

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from almondfield_core.clock import now
from almondfield_core.routing import RequestKind, RouteRule
from almondfield_daemon.hedging.durations import RecentDurations
from almondfield_daemon.host_delay import HostDelay

__all__ = ["HedgeRefusal", "HedgeResult", "Hedging", "PoolLoad"]

# A copy that is sent earlier costs more than the time that it saves.
MIN_DELAY_S = 0.02
# Usual variation around the quantile would use up the share that slow requests need.
QUANTILE_FACTOR = 1.5
MAX_QUANTILE = 0.95
MIN_QUANTILE = 0.5  # a request that is faster than most isn't slow, whatever the share
MAX_BUSY_SHARE = 0.8  # of the slots; reports of the load are up to a second old
# Of the delay; a loop that is later than that may hold the answer already.
MAX_LATE_SHARE = 0.5
MAX_ROUTES = 64  # of one pool


class HedgeRefusal(StrEnum):
    """Why a slow request is not hedged."""

    SHARE = "share"  # the share of extra work is used up
    RETRY_BUDGET = "retry-budget"  # what is left of it is for retries
    BUSY = "busy"  # the pool has too few free slots
    LATE = "late"  # this router is late itself
    NO_SERVER = "no-server"  # no other server takes the request now
    NO_TIME = "no-time"  # the deadline or the end of a stop is near


class HedgeResult(StrEnum):
    """What became of a hedge that was sent."""

    WON = "won"  # its answer was used
    CANCELLED = "cancelled"  # the first copy was answered, or the request ended
    FAILED = "failed"  # it had no usable answer


@dataclass(frozen=True)
class PoolLoad:
    """Load of a pool's servers, as far as their reports show it.

    :ivar busy: requests that run or wait.
    :ivar slots: requests that the servers run at a time.
    """

    busy: int
    slots: int


class PoolHedges:
    """Durations and hedges of one pool.

    :param quantile: quantile of the durations after which a request is slow.
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._durations_by_route: dict[str, RecentDurations] = {}
        self.times_s: deque[float] = deque()

    def record(self, route: str, duration_s: float) -> None:
        """Record the duration of a request.

        :param route: name of its route.
        :param duration_s: the duration in seconds.
        """
        durations = self._durations_by_route.get(route)
        if durations is None:
            if len(self._durations_by_route) >= MAX_ROUTES:
                self._drop_old()
            durations = RecentDurations(self._quantile)
            self._durations_by_route[route] = durations
        durations.record(duration_s)

    def high_s(self, route: str) -> float | None:
        """Return the quantile of a route in seconds; None if it is unknown.

        :param route: name of the route.
        """
        durations = self._durations_by_route.get(route)
        return None if durations is None else durations.high_s()

    def _drop_old(self) -> None:
        self._durations_by_route = {
            name: durations
            for name, durations in self._durations_by_route.items()
            if not durations.is_empty
        }
        if len(self._durations_by_route) >= MAX_ROUTES:
            self._durations_by_route.clear()


class Hedging:
    """Decides about the hedges of one router.

    :param share: most hedges per request of a pool in the window; 0 turns hedging off.
    :param window_s: length of the window in seconds.
    :param host_delay: delay of this host.

    :ivar count_by_result: hedges that have ended.
    :ivar count_by_refusal: slow requests that were not hedged.
    :ivar sent: hedges that were sent.
    """

    def __init__(self, share: float, window_s: float, host_delay: HostDelay) -> None:
        self._share = share
        self._window_s = window_s
        self._host_delay = host_delay
        self._quantile = max(MIN_QUANTILE, min(MAX_QUANTILE, 1 - share))
        self._pool_by_name: dict[str, PoolHedges] = {}
        self.sent = 0
        self._count_by_result: Counter[HedgeResult] = Counter()
        self._count_by_refusal: Counter[HedgeRefusal] = Counter()

    @property
    def count_by_result(self) -> Mapping[HedgeResult, int]:
        """Return the hedges that have ended."""
        return self._count_by_result

    @property
    def count_by_refusal(self) -> Mapping[HedgeRefusal, int]:
        """Return the slow requests that were not hedged."""
        return self._count_by_refusal

    def applies_to(self, route: RouteRule) -> bool:
        """Return whether requests of a route may be hedged at all.

        :param route: the rule.
        """
        return (
            self._share > 0
            and route.kind is RequestKind.IDEMPOTENT
            and not route.has_prompt
            and route.max_attempts > 1
        )

    def record(self, pool: str, route: str, duration_s: float) -> None:
        """Record how long a server took for a request, or at least took.

        :param pool: name of the pool.
        :param route: name of the route.
        :param duration_s: time from when it was sent to the head of the answer, or to
            the end of the wait, in seconds.
        """
        self._pool(pool).record(route, duration_s)

    def delay_s(self, pool: str, route: str) -> float | None:
        """Return after which time a request is slow, in seconds; None if unknown.

        :param pool: name of the pool.
        :param route: name of the route.
        """
        known = self._pool_by_name.get(pool)
        high_s = None if known is None else known.high_s(route)
        if high_s is None:
            return None
        return max(MIN_DELAY_S, QUANTILE_FACTOR * high_s)

    def refusal(
        self, pool: str, delay_s: float, waited_s: float, requests: int, load: PoolLoad
    ) -> HedgeRefusal | None:
        """Return why a slow request is not hedged; None if it may be.

        :param pool: name of its pool.
        :param delay_s: delay after which it is slow, in seconds.
        :param waited_s: how long it was waited for, in seconds.
        :param requests: callers' requests to the pool in the window.
        :param load: load of the pool.
        """
        late_s = max(waited_s - delay_s, self._host_delay.loop_delay_s)
        if self._host_delay.is_late or late_s > MAX_LATE_SHARE * delay_s:
            return HedgeRefusal.LATE
        if self._hedge_count(pool) + 1 > self._share * requests:
            return HedgeRefusal.SHARE
        if load.busy + 1 > MAX_BUSY_SHARE * load.slots:
            return HedgeRefusal.BUSY
        return None

    def record_refusal(self, refusal: HedgeRefusal) -> None:
        """Count a slow request that is not hedged.

        :param refusal: the reason.
        """
        self._count_by_refusal[refusal] += 1

    def record_sent(self, pool: str) -> None:
        """Count a hedge that is sent now.

        :param pool: name of the pool.
        """
        self.sent += 1
        self._pool(pool).times_s.append(now())

    def record_result(self, result: HedgeResult) -> None:
        """Count the end of a hedge that was sent.

        :param result: what became of it.
        """
        self._count_by_result[result] += 1

    def _hedge_count(self, pool: str) -> int:
        times_s = self._pool(pool).times_s
        oldest_s = now() - self._window_s
        while times_s and times_s[0] < oldest_s:
            times_s.popleft()
        return len(times_s)

    def _pool(self, name: str) -> PoolHedges:
        pool = self._pool_by_name.get(name)
        if pool is None:
            pool = self._pool_by_name[name] = PoolHedges(self._quantile)
        return pool
