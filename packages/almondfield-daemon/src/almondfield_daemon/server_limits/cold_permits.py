"""Permits for requests to cold servers, on the leading control host.

Handles tens of servers that become cold at once, and servers that become cold before
anybody knows: what is sent to each server of a pool with a warm-up rate is counted. The
bound holds for any second, over all routers:

- The leader permits at most :meth:`ColdBound.permits` requests in the time within which
  permitted requests are sent. A new leader doesn't know what its predecessor permitted,
  and permits nothing for so long.
- Up to :meth:`ColdBound.parts` routers may send one request a second each if no leader
  answers. A new leader gives out no such part until those of the last one have ended.
"""

import math
from collections import deque

from almondfield_core.clock import now
from almondfield_daemon.server_limits.cold_bound import (
    COLD_WINDOW_S,
    PART_LIFETIME_S,
    WARM_WINDOW_S,
    ColdBound,
)
from almondfield_daemon.server_limits.cold_servers import ColdServers
from almondfield_daemon.server_limits.rate_limit import RateLimit
from almondfield_daemon.server_notices import ServerStart

__all__ = ["ColdPermits"]

MIN_WAIT_S = 0.001
# The scheduler asks for each prompt; the search is slow with tens of cold servers.
CLOSED_INTERVAL_S = 0.01


class ColdPermits:
    """Counts what is sent to servers of pools with a warm-up rate.

    :param cold: cold times of the servers.
    :param bound: most requests that a cold server gets.
    """

    def __init__(self, cold: ColdServers, bound: ColdBound) -> None:
        self._cold = cold
        self._bound = bound
        self._began_s = now()
        self._sent_s_by_start: dict[ServerStart, deque[float]] = {}
        self._rate_by_start: dict[ServerStart, RateLimit] = {}
        self._full_until_s_by_name: dict[str, float] = {}
        self._part_end_s_by_name: dict[str, dict[str, float]] = {}
        self._closed_names: frozenset[str] = frozenset()
        self._closed_until_s = float("-inf")
        self._closed_version = -1

    def begin_term(self) -> None:
        """Forget everything, as this host has just become the leader."""
        self._began_s = now()
        self._sent_s_by_start.clear()
        self._rate_by_start.clear()
        self._full_until_s_by_name.clear()
        self._part_end_s_by_name.clear()
        self._closed_until_s = float("-inf")

    def closed_names(self) -> frozenset[str]:
        """Return the names of servers that get no request now."""
        if now() >= self._closed_until_s or self._closed_version != self._cold.version:
            self._closed_names = self._find_closed()
            self._closed_until_s = now() + CLOSED_INTERVAL_S
            self._closed_version = self._cold.version
        return self._closed_names

    def _find_closed(self) -> frozenset[str]:
        at_s = now()
        full = self._full_until_s_by_name
        for name in [name for name, until_s in full.items() if until_s <= at_s]:
            del full[name]
        names = self._cold.limited_names()
        if at_s - self._began_s < WARM_WINDOW_S:
            # The counts of a new leader leave out what its predecessor admitted.
            names = self._cold.names()
        closed = [name for name in names if self.wait_s(name) > 0]
        return frozenset(full).union(closed)

    def wait_s(self, name: str) -> float:
        """Return the time until a server may get a request, in seconds; 0 if now.

        :param name: name of the server.
        """
        pool = self._cold.warm_up_pool(name)
        start = self._cold.start(name)
        if pool is None or start is None:
            return 0.0
        per_s = pool.warmup_per_s
        waits_s = [0.0]
        rate = self._rate(name, start)
        if rate is not None:
            waits_s.append(rate.wait_s())
        if self._cold.is_cold(name):
            most = self._bound.permits(per_s)
            waits_s.append(self._began_s + COLD_WINDOW_S - now())
            waits_s.append(self._window_wait_s(start, most, COLD_WINDOW_S))
        elif pool.engine is not None:
            most = self._bound.admissions(per_s)
            age_s = now() - self._began_s
            if age_s < WARM_WINDOW_S:
                # Evenly, as the predecessor may have admitted as many just before.
                sent = len(self._sent_s_by_start.get(start, ()))
                due_s = (sent + 1) * WARM_WINDOW_S / most
                waits_s.append(due_s - age_s)
            waits_s.append(self._window_wait_s(start, most, WARM_WINDOW_S))
        return max(waits_s)

    def record_sent(self, name: str) -> None:
        """Count a request that is sent to a server.

        :param name: name of the server.
        """
        pool = self._cold.warm_up_pool(name)
        start = self._cold.start(name)
        if pool is None or start is None:
            return
        rate = self._rate(name, start)
        if rate is not None:
            rate.take()
        sent_s = self._sent_s_by_start.get(start)
        if sent_s is None:
            self._drop_unknown()
            most = max(1, self._bound.total(pool.warmup_per_s))
            sent_s = self._sent_s_by_start[start] = deque(maxlen=most)
        sent_s.append(now())
        wait_s = self.wait_s(name)
        if wait_s > 0:
            self._full_until_s_by_name[name] = now() + wait_s
            self._closed_names |= {name}

    def offer_part(self, name: str, router: str, routers: int) -> float:
        """Return how long a router may send to a cold server without a leader.

        The parts of all servers are divided evenly among the routers.

        :param name: name of the server.
        :param router: host of the router, which has just asked.
        :param routers: number of routers.
        :returns: time from the router's question, in seconds; 0 for none.
        """
        pool = self._cold.warm_up_pool(name)
        at_s = now()
        if pool is None:
            return 0.0
        if at_s - self._began_s < PART_LIFETIME_S:
            return 0.0
        ends_s = self._part_end_s_by_name.setdefault(name, {})
        for other in [host for host, end_s in ends_s.items() if end_s <= at_s]:
            del ends_s[other]
        parts = self._bound.parts(pool.warmup_per_s)
        if router not in ends_s:
            if len(ends_s) >= parts:
                return 0.0
            most = math.ceil(parts * len(self._part_end_s_by_name) / max(1, routers))
            held = sum([router in held for held in self._part_end_s_by_name.values()])
            if held >= most:
                return 0.0
        ends_s[router] = at_s + PART_LIFETIME_S
        return PART_LIFETIME_S

    def _rate(self, name: str, start: ServerStart) -> RateLimit | None:
        """Return the token bucket of a server; None if its rate is not limited."""
        per_s = self._cold.rate_per_s(name)
        if per_s is None:
            self._rate_by_start.pop(start, None)
            return None
        rate = self._rate_by_start.get(start)
        if rate is None:
            rate = self._rate_by_start[start] = RateLimit(per_s, burst_s=0.0)
        else:
            rate.set_rate(per_s)
        return rate

    def _window_wait_s(self, start: ServerStart, most: int, window_s: float) -> float:
        """Return the time until fewer than some requests are within a window."""
        if most < 1:
            return window_s
        sent_s = self._sent_s_by_start.get(start)
        if sent_s is None or len(sent_s) < most:
            return 0.0
        return max(0.0, sent_s[-most] + window_s + MIN_WAIT_S - now())

    def _drop_unknown(self) -> None:
        """Drop the counts of earlier starts and of servers that are gone."""
        names = frozenset(self._cold.names())
        known = frozenset([self._cold.start(name) for name in names])
        for items in (self._sent_s_by_start, self._rate_by_start):
            for start in [start for start in items if start not in known]:
                del items[start]
        parts = self._part_end_s_by_name
        for name in [name for name in parts if name not in names]:
            del parts[name]
