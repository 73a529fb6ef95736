"""Keeps the limits of servers for all routers, on the leading control host."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import eliot

from almondfield_control.publishing import TablePublisher
from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_daemon.server_limits.cold_bound import ColdBound
from almondfield_daemon.server_limits.cold_permits import ColdPermits
from almondfield_daemon.server_limits.cold_servers import ColdServers
from almondfield_daemon.server_limits.messages import (
    ColdReport,
    KeepsNoLimits,
    LimitReport,
    NamedCold,
    NamedLimit,
    Permit,
    PermitRequest,
)
from almondfield_daemon.server_limits.rate_limit import RateLimit

__all__ = ["LimitService"]

LIFETIME_S = 3600.0  # of a limit that is not named again, as its server is gone
MAX_SERVERS = 10_000
UNKNOWN_WAIT_S = 0.5  # announcements are relayed to all control hosts in this time


@dataclass(frozen=True)
class _KeptLimit:
    """The limit of one start of a server.

    :ivar born_ms: when the server started, in milliseconds since 1970.
    :ivar per_s: requests a second; None after it ended.
    :ivar said_s: when the server last said so, in seconds of the loop's clock.
    :ivar rate: what is left of it.
    """

    born_ms: int
    per_s: float | None
    said_s: float
    rate: RateLimit


class LimitService:
    """Shares the limits of servers among all routers while this host leads.

    A limit that each router keeps alone would have to be divided by their number, and a
    router may have all of a server's requests, or none. The leader gives a permit for
    each request instead; an admission by its engine scheduler is one.

    :param peers: messages to the other hosts.
    :param publisher: says whether this host leads.
    :param cold: cold times of the servers.
    :param bound: most requests that a cold server gets.

    :ivar notified_hosts: returns the hosts that are told when an answer to a router
        shows that a server has become cold.
    """

    def __init__(
        self,
        peers: Peers,
        publisher: TablePublisher,
        cold: ColdServers | None = None,
        bound: ColdBound | None = None,
    ) -> None:
        self._peers = peers
        self._publisher = publisher
        self._cold = cold or ColdServers()
        self._cold_permits = ColdPermits(self._cold, bound or ColdBound())
        self.notified_hosts: Callable[[], tuple[str, ...]] = tuple
        self._term: int | None = None
        self._limit_by_server: dict[str, _KeptLimit] = {}

    def register_handlers(self) -> None:
        """Register the handlers of messages."""
        self._peers.register_handler(LimitReport, self._on_report)
        self._peers.register_handler(ColdReport, self._on_cold_report)
        self._peers.register_handler(PermitRequest, self._on_request)

    def limits(self) -> tuple[NamedLimit, ...]:
        """Return the limits in force, for routers; none if this host does not lead."""
        if not self._update_leadership():
            return ()
        return tuple(
            NamedLimit(server, kept.born_ms, kept.per_s, now() - kept.said_s)
            for server, kept in self._limit_by_server.items()
            if kept.per_s is not None
        )

    def cold_servers(self, router: str, routers: int) -> tuple[NamedCold, ...]:
        """Return the cold times that a router is told, with its parts.

        :param router: host of the router, which has just asked.
        :param routers: number of routers.
        """
        if not self._update_leadership():
            return ()
        items = {item.server: item for item in self._cold.statements()}
        # Parts are given out in advance: the leader may be lost as servers get cold.
        for name in self._cold.names() if self._publisher.is_leader else ():
            part_s = self._cold_permits.offer_part(name, router, routers)
            item = items.get(name) or self._cold.statement(name)
            if part_s > 0 and item is not None:
                items[name] = replace(item, part_s=part_s)
        return tuple(items.values())

    def closed_servers(self) -> frozenset[str]:
        """Return the names of servers that take no further request now."""
        self._update_leadership()
        closed = self._cold_permits.closed_names()
        if not self._publisher.is_leader:
            # Another host may lead already and permit as many.
            closed |= frozenset(self._cold.cold_names())
        return closed.union(
            [
                server
                for server, kept in self._limit_by_server.items()
                if kept.per_s is not None and kept.rate.wait_s() > 0
            ]
        )

    def cold_rates_per_s(self, names: Iterable[str]) -> dict[str, float]:
        """Return the rates of those of some servers that are limited as cold.

        :param names: names of the servers.
        """
        rates = ((name, self._cold.rate_per_s(name)) for name in names)
        return {name: per_s for name, per_s in rates if per_s is not None}

    def cold_wait_s(self, names: Iterable[str]) -> float:
        """Return the time until the first of some servers takes a request, in seconds.

        :param names: names of the servers, at least one.
        """
        return min([self._cold_permits.wait_s(name) for name in names])

    def take(self, server: str) -> None:
        """Count a request that is sent to a server, if it has a limit.

        :param server: name of the server.
        """
        self._cold_permits.record_sent(server)
        kept = self._limit_by_server.get(server)
        if kept is not None and kept.per_s is not None:
            kept.rate.take()

    def record_unscheduled(self, server: str) -> None:
        """Count a request that a router sent without a permit, as its server was warm.

        :param server: name of the server.
        """
        if self._cold.rate_per_s(server) is None:
            self._cold_permits.record_sent(server)

    def _update_leadership(self) -> bool:
        """Return whether this host leads; a new leader is told the limits anew."""
        term = self._publisher.led_term
        if term != self._term:
            self._limit_by_server.clear()
            self._cold_permits.begin_term()
        self._term = term
        return term is not None

    async def _on_report(self, sender: str, report: LimitReport) -> None:
        if self._update_leadership():
            for item in report.items:
                self._record(item, sender)

    async def _on_cold_report(self, sender: str, report: ColdReport) -> None:
        before = frozenset(self._cold.cold_names())
        self._cold.learn(report.items, from_leader=False)
        if not self._update_leadership():
            return
        names = frozenset(self._cold.cold_names()) - before
        items = tuple([item for item in report.items if item.server in names])
        if items:
            # Other routers may send to the servers without a permit until they know.
            for host in self.notified_hosts():
                if host not in (sender, self._peers.host):
                    self._peers.send(host, ColdReport(items))

    async def _on_request(
        self, sender: str, request: PermitRequest
    ) -> Permit | KeepsNoLimits:
        if not self._update_leadership():
            return KeepsNoLimits()
        self._record(request.limit, sender)
        if request.cold is not None:
            self._cold.learn((request.cold,), from_leader=False)
        server = request.limit.server
        start = self._cold.start(server)
        is_known = start is not None and start.born_ms == request.limit.born_ms
        is_cold = self._cold.rate_per_s(server) is not None and is_known
        if is_cold and not self._publisher.is_leader:
            return KeepsNoLimits()
        kept = self._limit_by_server.get(server)
        rate = None if kept is None or kept.per_s is None else kept.rate
        if request.is_cold and not is_known:
            # Its announcement hasn't come yet: how much it takes is unknown.
            return Permit(is_granted=False, wait_s=UNKNOWN_WAIT_S)
        cold = self._cold.statement(server) if is_known else None
        if rate is None and not is_cold:
            return Permit(is_granted=True, is_limited=False, cold=cold)
        wait_s = 0.0 if rate is None else rate.wait_s()
        if is_cold:
            wait_s = max(wait_s, self._cold_permits.wait_s(server))
        if wait_s > 0:
            return Permit(
                is_granted=False, wait_s=wait_s, is_limited=rate is not None, cold=cold
            )
        self.take(server)
        return Permit(is_granted=True, is_limited=rate is not None, cold=cold)

    def _record(self, item: NamedLimit, sender: str) -> None:
        said_s = now() - item.age_s
        kept = self._limit_by_server.get(item.server)
        if kept is not None and (kept.born_ms, kept.said_s) > (item.born_ms, said_s):
            return
        is_same_start = kept is not None and kept.born_ms == item.born_ms
        if item.per_s is None and not is_same_start:
            return
        rate = kept.rate if kept is not None and is_same_start else RateLimit(0.0)
        if item.per_s is not None:
            rate.set_rate(item.per_s)
        if kept is None or not is_same_start or kept.per_s != item.per_s:
            self._remove_old()
            eliot.log_message(
                "server:limit", server=item.server, per_s=item.per_s, router=sender
            )
        limit = _KeptLimit(item.born_ms, item.per_s, said_s, rate)
        self._limit_by_server[item.server] = limit

    def _remove_old(self) -> None:
        items = self._limit_by_server
        before_s = now() - LIFETIME_S
        for server in [s for s, kept in items.items() if kept.said_s < before_s]:
            del items[server]
        if len(items) >= MAX_SERVERS:
            del items[min(items, key=lambda server: items[server].said_s)]
