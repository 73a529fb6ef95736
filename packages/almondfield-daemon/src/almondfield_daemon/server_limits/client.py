"""A router's part in keeping the limits of servers on all routers together."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import eliot
from result import Ok

from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_daemon.server_limits.cold_bound import ColdBound
from almondfield_daemon.server_limits.cold_client import ColdClient
from almondfield_daemon.server_limits.cold_servers import ColdServers
from almondfield_daemon.server_limits.messages import (
    ColdReport,
    LimitReport,
    NamedCold,
    NamedLimit,
    Permit,
    PermitRequest,
)
from almondfield_daemon.server_limits.rate_limit import RateLimit
from almondfield_daemon.server_notices import ServerStart

__all__ = ["MAX_LIMIT_PER_S", "ServerLimits"]

MAX_LIMIT_PER_S = 10_000.0  # larger ones limit nothing
REPORT_INTERVAL_S = 0.5  # of a limit that stays; reports may be lost
PERMIT_TIMEOUT_S = 0.2  # many round trips between data centres
MIN_WAIT_S = 0.05
UNNAMED_AGE_S = 3600.0  # a router that knows of no limit must not end one


@dataclass(frozen=True)
class _KnownLimit:
    """A limit that a server has named.

    :ivar start: the start of the server that named it.
    :ivar per_s: requests a second from all routers together.
    :ivar said_s: when it last said so, in seconds of the loop's clock.
    :ivar reported_s: when the leader was last told, in seconds of the loop's clock.
    :ivar denied_until_s: until when no permit is to be had, in seconds of the loop's
        clock.
    :ivar own_part: this router's part of it, for times without a leader; None before
        it was needed.
    """

    start: ServerStart
    per_s: float
    said_s: float
    reported_s: float = float("-inf")
    denied_until_s: float = float("-inf")
    own_part: RateLimit | None = None


class ServerLimits:
    """Limits that servers have named, and permits for requests to them.

    :param peers: messages to the other hosts.
    :param leader: returns the host that leads the control group; empty if unknown.
    :param router_count: returns the number of routers.
    :param cold: cold times of the servers.
    :param bound: most requests that a cold server gets.
    """

    def __init__(
        self,
        peers: Peers,
        leader: Callable[[], str],
        router_count: Callable[[], int],
        cold: ColdServers | None = None,
        bound: ColdBound | None = None,
    ) -> None:
        self._peers = peers
        self._leader = leader
        self._router_count = router_count
        self._known_by_name: dict[str, _KnownLimit] = {}
        self._cold = ColdClient(
            cold or ColdServers(), bound or ColdBound(), router_count
        )

    def is_limited(self, server: ServerStart) -> bool:
        """Return whether a request to a server needs a permit.

        :param server: the server.
        """
        return self._known(server) is not None or self._cold.is_limited(server)

    def check(self, server: ServerStart, permit_s: float | None) -> None:
        """Return if a request to a server may be sent now.

        :param server: the server.
        :param permit_s: when its permit was asked for, in seconds of the loop's clock;
            None if it has none.
        :raises ServerClosedError: if the server is cold and the permit is too old.
        """
        self._cold.check(server, permit_s)

    def wait_s(self, server: ServerStart) -> float:
        """Return the time until a permit may be had, in seconds; 0 if now.

        :param server: the server.
        """
        known = self._known(server)
        wait_s = 0.0 if known is None else max(0.0, known.denied_until_s - now())
        return max(wait_s, self._cold.wait_s(server))

    def spread_s(self, servers: Iterable[ServerStart], wait_s: float) -> float:
        """Return when to return for a caller that is refused, in seconds from now.

        Callers return one by one if cold servers are why they are refused.

        :param servers: the servers that could have taken the request.
        :param wait_s: time until the first of them may take one, in seconds.
        """
        return self._cold.spread_s(servers, wait_s)

    def record(
        self, server: ServerStart, per_s: float | None, selected_s: float
    ) -> None:
        """Record the limit that an answer names.

        :param server: the server.
        :param per_s: requests a second; None if the answer names no limit.
        :param selected_s: when the server was selected for the request, in seconds of
            the loop's clock.
        """
        if per_s is not None and per_s > MAX_LIMIT_PER_S:
            per_s = None
        latest = self._known_by_name.get(server.name)
        if latest is not None and latest.start.born_ms > server.born_ms:
            return
        known = self._known(server)
        if per_s is None:
            if known is None or selected_s <= known.said_s:
                # It may have been answered before the limit was named.
                return
            del self._known_by_name[server.name]
            self._send((NamedLimit(*server, None, now() - selected_s),))
            eliot.log_message("server:limit-ended", server=server.name)
            return
        if known is None:
            known = _KnownLimit(server, per_s, now())
        if known.per_s != per_s:
            known = replace(known, reported_s=float("-inf"), own_part=None)
        known = replace(known, per_s=per_s, said_s=now())
        if known.reported_s + REPORT_INTERVAL_S <= now():
            known = replace(known, reported_s=now())
            self._send((NamedLimit(*server, per_s),))
        self._known_by_name[server.name] = known

    def learn(self, limits: Iterable[NamedLimit]) -> None:
        """Record limits that servers have named to other routers.

        :param limits: the limits that the leader keeps.
        """
        for limit in limits:
            start = ServerStart(limit.server, limit.born_ms)
            known = self._known_by_name.get(limit.server)
            if limit.per_s is None or (known is not None and known.start == start):
                continue
            if known is None or known.start.born_ms < start.born_ms:
                self._known_by_name[limit.server] = _KnownLimit(
                    start, limit.per_s, now(), reported_s=now()
                )

    def record_cold(
        self, server: ServerStart, left_s: float | None, selected_s: float
    ) -> None:
        """Record what an answer says of the server's cold time.

        :param server: the server.
        :param left_s: how long it stays cold, in seconds; 0 if the answer doesn't say;
            None if it says it in a way that can't be used.
        :param selected_s: when the server was selected for the request, in seconds of
            the loop's clock.
        """
        item = self._cold.record_answer(server, left_s, selected_s)
        host = self._leader()
        if item is not None and host:
            self._peers.send(host, ColdReport((item,)))

    def learn_cold(self, items: tuple[NamedCold, ...], asked_s: float) -> None:
        """Record cold times and this router's parts, as the leader tells them.

        :param items: the cold times that the leader knows.
        :param asked_s: when it was asked, in seconds of the loop's clock.
        """
        self._cold.learn(items, asked_s)

    def register_handlers(self) -> None:
        """Register the handlers of messages."""
        self._peers.register_handler(ColdReport, self._on_cold_report)

    async def _on_cold_report(self, sender: str, report: ColdReport) -> None:
        self._cold.learn(report.items, now())

    def report_all(self, host: str) -> None:
        """Tell a new leader all limits and the cold times that answers named.

        :param host: the leading host.
        """
        items = tuple(self._named(known) for known in self._known_by_name.values())
        if items:
            self._peers.send(host, LimitReport(items))
        cold = self._cold.own_statements()
        if cold:
            self._peers.send(host, ColdReport(cold))

    async def take(self, server: ServerStart) -> bool:
        """Return whether a request may be sent to a limited server, and count it.

        :param server: the server.
        """
        known = self._known(server)
        is_cold = self._cold.is_limited(server)
        if known is None and not is_cold:
            return self._cold.take_warm(server)
        if self.wait_s(server) > 0:
            return False
        host = self._leader()
        if host:
            asked_s = now()
            limit = NamedLimit(*server, None, UNNAMED_AGE_S)
            if known is not None:
                limit = self._named(known)
            request = PermitRequest(limit, is_cold, self._cold.own_statement(server))
            match await self._peers.request(host, request, PERMIT_TIMEOUT_S):
                case Ok(Permit() as permit):
                    if permit.cold is not None:
                        self._cold.learn((permit.cold,), asked_s)
                    return self._apply(server, permit)
        if is_cold and not self._cold.take_part(server):
            return False
        return self._take_own_part(server)

    def retain(self, servers: Iterable[ServerStart]) -> None:
        """Drop the limits of servers that are not known any more.

        :param servers: the known servers.
        """
        starts = frozenset(servers)
        known = self._known_by_name.items()
        self._known_by_name = {n: item for n, item in known if item.start in starts}
        self._cold.retain(starts)

    def _known(self, server: ServerStart) -> _KnownLimit | None:
        """Return the limit that a start of a server has named; None for none."""
        known = self._known_by_name.get(server.name)
        return known if known is not None and known.start == server else None

    def _apply(self, server: ServerStart, permit: Permit) -> bool:
        known = self._known(server)
        wait_s = 0.0 if permit.is_granted else max(MIN_WAIT_S, permit.wait_s)
        if self._cold.is_limited(server):
            self._cold.deny(server, wait_s)
        if known is None:
            return permit.is_granted
        if not permit.is_limited:
            del self._known_by_name[server.name]
            return permit.is_granted
        self._known_by_name[server.name] = replace(
            known, denied_until_s=now() + wait_s, own_part=None
        )
        return permit.is_granted

    def _take_own_part(self, server: ServerStart) -> bool:
        """Return whether this router's even part of a limit allows a request."""
        known = self._known(server)
        if known is None:
            return True
        part = known.own_part
        if part is None:
            part = RateLimit(known.per_s, 1 / max(1, self._router_count()))
        is_taken = part.take()
        until_s = now() + (0.0 if is_taken else max(MIN_WAIT_S, part.wait_s()))
        self._known_by_name[server.name] = replace(
            known, own_part=part, denied_until_s=until_s
        )
        return is_taken

    def _named(self, known: _KnownLimit) -> NamedLimit:
        return NamedLimit(*known.start, known.per_s, now() - known.said_s)

    def _send(self, items: tuple[NamedLimit, ...]) -> None:
        host = self._leader()
        if host:
            self._peers.send(host, LimitReport(items))
