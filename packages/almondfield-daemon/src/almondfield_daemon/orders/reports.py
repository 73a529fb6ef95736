"""Reports of servers and pools from the hosts to the issuer of orders."""

from collections.abc import Iterable
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.wire import wire_message

__all__ = ["REPORT_REFRESH_S", "PoolLoad", "PoolLoads", "ReportedState", "ServerReport"]

REPORT_REFRESH_S = 10.0
SERVER_TIMEOUT_S = 2.5 * REPORT_REFRESH_S
LOAD_TIMEOUT_S = 5.0


@wire_message("server-report")
@dataclass(frozen=True)
class ServerReport:
    """Servers that announce themselves to a host, for the issuer of orders.

    :ivar announcements: newest announcement of each server.
    :ivar age_s: age of each announcement in seconds, in the same order.
    """

    announcements: tuple[ServerAnnouncement, ...]
    age_s: tuple[float, ...]


@dataclass(frozen=True)
class PoolLoad:
    """Number of requests that wait for a pool.

    :ivar pool: name of the pool.
    :ivar epoch: epoch of the pool lease of the reporting scheduler.
    :ivar waiting: number of waiting requests.
    """

    pool: str
    epoch: int
    waiting: int


@wire_message("pool-loads")
@dataclass(frozen=True)
class PoolLoads:
    """Loads of the pools that a host schedules, for the issuer of orders.

    :ivar loads: one load per pool.
    """

    loads: tuple[PoolLoad, ...]


@dataclass(frozen=True)
class _ReportedServer:
    announcement: ServerAnnouncement
    received_s: float

    @property
    def recency(self) -> tuple[int, float]:
        return self.announcement.incarnation, self.received_s


@dataclass(frozen=True)
class _Backlog:
    load: PoolLoad
    since_s: float
    received_s: float


class ReportedState:
    """Newest announcement of every server, and how long pools have been backlogged."""

    def __init__(self) -> None:
        self._server_by_name: dict[str, _ReportedServer] = {}
        self._backlog_by_pool: dict[str, _Backlog] = {}

    def record_servers(self, report: ServerReport) -> None:
        """Record announcements; those that are not newer are ignored.

        :param report: report of one host.
        """
        for announcement, age_s in zip(
            report.announcements, report.age_s, strict=False
        ):
            reported = _ReportedServer(announcement, now() - age_s)
            known = self._server_by_name.get(announcement.name)
            if known is None or known.recency < reported.recency:
                self._server_by_name[announcement.name] = reported

    def record_loads(self, loads: Iterable[PoolLoad]) -> None:
        """Record loads; those of an earlier epoch are ignored.

        :param loads: loads that one host reports of the pools that it schedules.
        """
        for load in loads:
            known = self._backlog_by_pool.get(load.pool)
            if known is not None and known.load.epoch > load.epoch:
                continue
            continues = (
                known is not None and known.load.waiting and self._is_current(known)
            )
            since_s = known.since_s if continues else now()
            self._backlog_by_pool[load.pool] = _Backlog(load, since_s, now())

    def servers(self) -> tuple[ServerAnnouncement, ...]:
        """Return the newest announcement of each server that has not timed out."""
        oldest_s = now() - SERVER_TIMEOUT_S
        for name, reported in list(self._server_by_name.items()):
            if reported.received_s < oldest_s:
                del self._server_by_name[name]
        return tuple(
            reported.announcement for reported in self._server_by_name.values()
        )

    def server(self, name: str, after_s: float) -> ServerAnnouncement | None:
        """Return the announcement of a server if it was received after a time.

        :param name: name of the server.
        :param after_s: the time, in seconds of the loop's clock.
        """
        reported = self._server_by_name.get(name)
        if reported is None or reported.received_s <= after_s:
            return None
        return reported.announcement

    def backlogged_pools(self, min_duration_s: float) -> frozenset[str]:
        """Return the pools that have had waiting requests without interruption.

        :param min_duration_s: least duration of the backlog in seconds.
        """
        return frozenset(
            pool
            for pool, backlog in self._backlog_by_pool.items()
            if backlog.load.waiting
            and self._is_current(backlog)
            and backlog.received_s - backlog.since_s >= min_duration_s
        )

    def _is_current(self, backlog: _Backlog) -> bool:
        return now() - backlog.received_s < LOAD_TIMEOUT_S
