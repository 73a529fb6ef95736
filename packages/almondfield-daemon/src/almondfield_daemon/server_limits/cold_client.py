"""A router's part in keeping the rates of cold servers.

Handles servers that are cold while the leader answers, and while none does: a router
then sends one request a second to each cold server of which the leader gave it a part.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from almondfield_core.clock import now
from almondfield_daemon.server_limits.cold_bound import (
    PART_SPACING_S,
    PERMIT_LIFETIME_S,
    ColdBound,
)
from almondfield_daemon.server_limits.cold_servers import ColdServers
from almondfield_daemon.server_limits.messages import NamedCold
from almondfield_daemon.server_limits.refusal_spread import RefusalSpread
from almondfield_daemon.server_notices import ServerClosedError, ServerStart

__all__ = ["ColdClient"]

NO_PART_WAIT_S = 0.3  # about the duration of an election
MIN_RATE_PER_S = 1.0  # of the returns of refused callers


class ColdClient:
    """Cold servers as one router knows them, and its parts of their rates.

    :param cold: cold times of the servers.
    :param bound: most requests that a cold server gets.
    :param router_count: returns the number of routers.
    """

    def __init__(
        self, cold: ColdServers, bound: ColdBound, router_count: Callable[[], int]
    ) -> None:
        self._cold = cold
        self._bound = bound
        self._router_count = router_count
        self._spread = RefusalSpread()
        self._denied_until_s_by_start: dict[ServerStart, float] = {}
        self._part_until_s_by_name: dict[str, float] = {}
        self._taken_s_by_name: dict[str, float] = {}

    def is_limited(self, server: ServerStart) -> bool:
        """Return whether a server gets requests with a permit only, as it is cold.

        :param server: the server.
        """
        if self._cold.rate_per_s(server.name) is None:
            return False
        return self._cold.start(server.name) == server

    def wait_s(self, server: ServerStart) -> float:
        """Return the time until a request may be sent, as far as known, in seconds.

        :param server: the server.
        """
        until_s = self._denied_until_s_by_start.get(server, float("-inf"))
        return max(0.0, until_s - now())

    def deny(self, server: ServerStart, wait_s: float) -> None:
        """Record that a server gets no request for some time.

        :param server: the server.
        :param wait_s: the time, in seconds; 0 if it gets one.
        """
        self._denied_until_s_by_start[server] = now() + wait_s

    def check(self, server: ServerStart, permit_s: float | None) -> None:
        """Return if a request may be sent now.

        :param server: the server.
        :param permit_s: when its permit was asked for, in seconds of the loop's clock;
            None if it has none.
        :raises ServerClosedError: if the server is cold and the permit is too old.
        """
        start = self._cold.start(server.name)
        is_cold = self._cold.rate_per_s(server.name) is not None
        if not is_cold or start is None or start.born_ms < server.born_ms:
            return
        if start != server:
            raise ServerClosedError(f"server {server.name} has started again")
        if permit_s is None:
            raise ServerClosedError(f"server {server.name} has become cold")
        if now() - permit_s > PERMIT_LIFETIME_S:
            problem = f"the permit of {now() - permit_s:.3f} s ago is too old"
            raise ServerClosedError(f"server {server.name} is cold, and {problem}")

    def take_part(self, server: ServerStart) -> bool:
        """Return whether this router may send to a cold server without a leader.

        :param server: the server.
        """
        until_s = self._part_until_s_by_name.get(server.name, float("-inf"))
        # The request is sent within the lifetime of a permit.
        if now() + PERMIT_LIFETIME_S > until_s:
            self.deny(server, NO_PART_WAIT_S)
            return False
        due_s = self._taken_s_by_name.get(server.name, float("-inf")) + PART_SPACING_S
        if due_s > now():
            self.deny(server, due_s - now())
            return False
        self._taken_s_by_name[server.name] = now()
        self.deny(server, PART_SPACING_S)
        return True

    def take_warm(self, server: ServerStart) -> bool:
        """Return whether a request may be sent to a warm server without the scheduler.

        An engine may have become cold before anybody knows. All routers together send
        it no more on average than the scheduler would admit.

        :param server: the server.
        """
        pool = self._cold.warm_up_pool(server.name)
        if pool is None or pool.engine is None:
            return True
        if self.wait_s(server) > 0:
            return False
        per_s = self._bound.admissions(pool.warmup_per_s)
        self.deny(server, max(1, self._router_count()) / per_s)
        return True

    def record_answer(
        self, server: ServerStart, left_s: float | None, selected_s: float
    ) -> NamedCold | None:
        """Record an answer; return what the leader has to be told, or None.

        :param server: the server.
        :param left_s: how long it stays cold, in seconds; 0 if the answer doesn't say;
            None if it says it in a way that can't be used.
        :param selected_s: when the server was selected for the request, in seconds of
            the loop's clock.
        """
        if self._cold.warm_up_pool(server.name) is None:
            return None
        if not self._cold.record_answer(server, left_s, selected_s):
            return None
        return self._cold.own_statement(server.name)

    def learn(self, items: Iterable[NamedCold], asked_s: float) -> None:
        """Record what the leader tells of cold times and of this router's parts.

        :param items: the cold times.
        :param asked_s: when it was asked, in seconds of the loop's clock.
        """
        items = tuple(items)
        self._cold.learn([replace(item, part_s=0.0) for item in items])
        for item in items:
            if item.part_s > 0:
                # A part holds for a later start of the server as well.
                until_s = asked_s + item.part_s
                before_s = self._part_until_s_by_name.get(item.server, until_s)
                self._part_until_s_by_name[item.server] = max(before_s, until_s)
        if len(self._taken_s_by_name) + len(self._denied_until_s_by_start) > 0:
            self._drop_old()

    def own_statement(self, server: ServerStart) -> NamedCold | None:
        """Return what an answer to this router said of a server's cold time.

        :param server: the server.
        """
        return self._cold.own_statement(server.name)

    def own_statements(self) -> tuple[NamedCold, ...]:
        """Return what answers to this router said of cold times."""
        items = [self._cold.own_statement(name) for name in self._cold.limited_names()]
        return tuple([item for item in items if item is not None])

    def spread_s(self, servers: Iterable[ServerStart], wait_s: float) -> float:
        """Return when a refused caller may return, in seconds from now.

        Callers return one by one if cold servers are why they are refused.

        :param servers: the servers that could have taken the request.
        :param wait_s: time until the first of them may take one, in seconds.
        """
        rates = [self._cold.rate_per_s(server.name) for server in servers]
        per_s = sum([rate for rate in rates if rate is not None])
        if per_s <= 0:
            return wait_s
        per_s /= max(1, self._router_count())
        return self._spread.next_s(wait_s, max(MIN_RATE_PER_S, per_s))

    def retain(self, servers: Iterable[ServerStart]) -> None:
        """Drop what is known of servers that are not known any more.

        :param servers: the known servers.
        """
        self._cold.retain(servers)

    def _drop_old(self) -> None:
        """Drop what has no effect any more."""
        at_s = now()
        denied = self._denied_until_s_by_start
        self._denied_until_s_by_start = {s: t for s, t in denied.items() if t > at_s}
        parts = self._part_until_s_by_name
        self._part_until_s_by_name = {s: t for s, t in parts.items() if t > at_s}
        taken = self._taken_s_by_name
        after_s = at_s - PART_SPACING_S
        self._taken_s_by_name = {s: t for s, t in taken.items() if t > after_s}
