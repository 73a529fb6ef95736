"""Decides what a stopping router still takes in, and ends what outlasts its stop."""

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.routing import RequestKind, RouteRule
from almondfield_daemon.router.problems import Problem

__all__ = ["StopLimits", "StopPlan", "draining"]

RETRY_AFTER_S = 0.05  # other routers accept the request at once
HISTORY_LENGTH = 64  # latest requests of a route that determine its usual time
# Of these requests, the share that ends within the usual time.
USUAL_SHARE = 0.95


@dataclass(frozen=True)
class StopPlan:
    """The times of a stop, in seconds of the loop's clock.

    They are times, not flags that timers set: a busy loop reads what has come meanwhile
    before it runs its timers.

    :ivar accept_streams_until_s: when new streaming requests begin to be refused.
    :ivar accept_all_until_s: when all other new requests begin to be refused.
    :ivar end_s: when requests that still run are answered without their servers.
    """

    accept_streams_until_s: float = math.inf
    accept_all_until_s: float = math.inf
    end_s: float = math.inf


class StopLimits:
    """Limits on the requests of one router while it stops; without a stop, none.

    A router that is told to stop is killed after its grace period, which would cut the
    requests that still run. So they are answered shortly before, and those that usually
    take longer than what is left aren't begun.

    :ivar plan: the times of the stop.
    """

    def __init__(self) -> None:
        self.plan = StopPlan()  # no stop
        self._timeouts: set[asyncio.Timeout] = set()
        self._recent_by_route: dict[str, deque[float]] = {}

    def begin(self, plan: StopPlan) -> None:
        """Begin the stop, also for the requests that run.

        :param plan: its times.
        """
        self.plan = plan
        for timeout in self._timeouts:
            if timeout.expired():
                # Its block ends already; a change of its time would raise an error.
                continue
            if timeout.when() is None or timeout.when() > plan.end_s:
                timeout.reschedule(plan.end_s)

    @asynccontextmanager
    async def limit(self, until_s: float = math.inf) -> AsyncIterator[None]:
        """Limit a part of a request to its own time and to the time of a stop.

        :param until_s: end of its own time, in seconds of the loop's clock.
        :raises TimeoutError: if one of these times is over.
        """
        end_s = min(until_s, self.plan.end_s)
        async with asyncio.timeout_at(None if end_s == math.inf else end_s) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def remaining_s(self, until_s: float) -> float:
        """Return how long a request may still take, in seconds.

        :param until_s: end of its own time, in seconds of the loop's clock.
        """
        return min(until_s, self.plan.end_s) - now()

    def refusal(self, route: RouteRule, is_new: bool = True) -> Problem | None:
        """Return the refusal of a request that comes too late in a stop, or None.

        :param route: the rule that the request matches.
        :param is_new: whether it wasn't sent to a server yet.
        """
        is_stream = route.kind is RequestKind.STREAMING
        plan = self.plan
        until_s = plan.accept_streams_until_s if is_stream else plan.accept_all_until_s
        is_too_late = is_new and now() >= until_s
        return draining() if is_too_late or not self.allows_attempt(route) else None

    def allows_attempt(self, route: RouteRule) -> bool:
        """Return whether an attempt that begins now usually ends before the stop does.

        :param route: the rule that the request matches.
        """
        if self.plan.end_s == math.inf:
            return True
        return now() + self._usual_s(route.name) < self.plan.end_s

    def record_duration(self, route: str, duration_s: float) -> None:
        """Record how long a request took that ended by itself.

        :param route: name of its route.
        :param duration_s: time from when it was read whole to its end, in seconds.
        """
        recent = self._recent_by_route.get(route)
        if recent is None:
            recent = self._recent_by_route[route] = deque(maxlen=HISTORY_LENGTH)
        recent.append(duration_s)

    def _usual_s(self, route: str) -> float:
        """Return within which time requests of a route end; 0 where it is unknown."""
        recent = sorted(self._recent_by_route.get(route, ()))
        if not recent:
            return 0.0
        return recent[math.ceil(USUAL_SHARE * len(recent)) - 1]


def draining() -> Problem:
    """Return the refusal of a request that a stopping router doesn't begin."""
    detail = "this router is shutting down"
    return Problem(503, "draining", detail, retry_after_s=RETRY_AFTER_S)
