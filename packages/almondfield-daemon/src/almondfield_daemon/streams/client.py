"""A router's client for the origins of streams."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

import eliot
import xxhash
from result import Ok

from almondfield_core.ports import Peers
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.streams.core import OriginTable
from almondfield_daemon.streams.messages import (
    OriginQuery,
    OriginReply,
    OriginReport,
    StreamOrigin,
)
from almondfield_daemon.streams.versions import MIN_LOOKBACK_S, VersionHistory

__all__ = ["OriginClient"]

COPIES = 2  # control hosts that keep an origin; one may be lost
REPORT_DELAY_S = 0.005  # batches reports; shorter than the way of a caller's next try
QUERY_TIMEOUT_S = 0.5  # replies to a router at its limits are late, but count
MAX_ORIGINS_PER_MESSAGE = 300  # about 50 KB


class OriginClient:
    """Reports the origins of this router's streams and finds those of other streams.

    :param peers: messages to the other hosts.
    :param control_hosts: returns the hosts of the control group.
    :param responsive_hosts: returns those of them that answered recently.
    :param leader: returns the host that leads the control group; empty if unknown.
    """

    def __init__(
        self,
        peers: Peers,
        control_hosts: Callable[[], tuple[str, ...]],
        responsive_hosts: Callable[[], tuple[str, ...]],
        leader: Callable[[], str],
    ) -> None:
        self._peers = peers
        self._control_hosts = control_hosts
        self._responsive_hosts = responsive_hosts
        self._leader = leader
        self._table = OriginTable()
        self._history = VersionHistory()
        self._unreported: list[StreamOrigin] = []
        self._report_timer: asyncio.TimerHandle | None = None

    def record(self, origin: StreamOrigin) -> None:
        """Record and report where a stream of this router began.

        :param origin: the origin.
        """
        self._table.put(origin)
        self._unreported.append(origin)
        if self._report_timer is None:
            loop = asyncio.get_running_loop()
            self._report_timer = loop.call_later(REPORT_DELAY_S, self._send_reports)

    def report_all(self, host: str) -> None:
        """Report all origins to a control host that may have lost them.

        :param host: a host that replies again, or has restarted.
        """
        origins = self._table.origins()
        for start in range(0, len(origins), MAX_ORIGINS_PER_MESSAGE):
            part = origins[start : start + MAX_ORIGINS_PER_MESSAGE]
            self._peers.send(host, OriginReport(part))

    def update_servers(self, servers: Iterable[FleetServer]) -> None:
        """Record the servers that this router knows.

        :param servers: all known servers.
        """
        servers = tuple(servers)
        self._table.update_servers(servers)
        self._history.update(servers)

    async def find(
        self, request_id: str, pool: str, lookback_s: float = MIN_LOOKBACK_S
    ) -> StreamOrigin | None:
        """Return where a stream began; None if that isn't known.

        The origin of an unknown stream is known all the same if only one version
        served in its pool recently, as a majority of the control group confirms whose
        hosts have been up for that time. If the caller names its attempt, all hosts of
        the group have to reply: the report of its origin is missing, so its router was
        out of touch with them, and its server may have been so too.

        :param request_id: the caller's attempt that brought the first event; empty if
            the caller named none.
        :param pool: pool that the stream probably began in.
        :param lookback_s: longest time since the stream may have begun, in seconds.
        """
        known = self._table.get(request_id)
        if known is not None:
            return known
        hosts = self._responsive_hosts()
        replies: list[OriginReply] = []
        doubtful: StreamOrigin | None = None
        query = OriginQuery(request_id, pool, max(lookback_s, MIN_LOOKBACK_S))
        tasks = [asyncio.create_task(self._query(host, query)) for host in hosts]
        try:
            for task in asyncio.as_completed(tasks):
                reply = await task
                if reply is None:
                    continue
                if reply.origin is not None:
                    if not self._table.is_doubtful(reply.origin):
                        return reply.origin
                    doubtful = reply.origin
                replies.append(reply)
        finally:
            for task in tasks:
                task.cancel()
        if doubtful is not None:
            eliot.log_message(
                "stream:origin-doubtful",
                first_request_id=query.request_id,
                server=doubtful.server,
                version=doubtful.version,
            )
            return None
        return self._infer(query, replies)

    async def _query(self, host: str, query: OriginQuery) -> OriginReply | None:
        match await self._peers.request(host, query, QUERY_TIMEOUT_S):
            case Ok(OriginReply() as reply):
                return reply
            case _:
                return None

    def _infer(
        self, query: OriginQuery, replies: list[OriginReply]
    ) -> StreamOrigin | None:
        """Return the only version that can have begun a stream, if there is one."""
        known = self._history.versions(query.pool, query.lookback_s)
        versions = known.union(*(reply.versions for reply in replies))
        complete = sum(reply.is_complete for reply in replies)
        hosts = len(self._control_hosts())
        # A router, or a host alone, may have been cut off while others knew more.
        is_complete = 2 * complete > hosts
        if query.request_id:
            is_complete = is_complete and len(replies) == hosts
        is_certain = is_complete and len(versions) == 1
        eliot.log_message(
            "stream:origin-unknown",
            first_request_id=query.request_id,
            pool=query.pool,
            replies=len(replies),
            control_hosts=hosts,
            versions=sorted(versions),
            lookback_s=round(query.lookback_s, 3),
            is_complete=is_complete,
            outcome="only version" if is_certain else "refused",
        )
        if not is_certain:
            return None
        (version,) = versions
        return StreamOrigin(query.request_id, query.pool, "", version, 0.0)

    def _send_reports(self) -> None:
        self._report_timer = None
        origins_by_host: dict[str, list[StreamOrigin]] = defaultdict(list)
        hosts = self._reported_hosts()
        for origin in self._unreported:
            for host in _keepers(hosts, origin.request_id):
                origins_by_host[host].append(origin)
        self._unreported.clear()
        for host, origins in origins_by_host.items():
            self._peers.send(host, OriginReport(tuple(origins)))

    def _reported_hosts(self) -> tuple[str, ...]:
        """Return the control hosts that origins are reported to.

        The leader schedules engines; the others have processor time to spare.
        """
        hosts = self._responsive_hosts() or self._control_hosts()
        others = tuple(host for host in hosts if host != self._leader())
        return others if len(others) >= COPIES else hosts


def _keepers(hosts: tuple[str, ...], request_id: str) -> list[str]:
    """Return the control hosts that keep an origin, by rendezvous hashing."""

    def score(host: str) -> int:
        return xxhash.xxh64_intdigest(f"{request_id}/{host}".encode())

    return sorted(hosts, key=score, reverse=True)[:COPIES]
