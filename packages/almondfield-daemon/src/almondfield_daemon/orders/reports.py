"""What the issuer of orders knows of servers and pools, as hosts report it."""

from collections.abc import Iterable
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.wire import wire_message

__all__ = ["REPORT_REFRESH_S", "PoolLoad", "PoolLoads", "ServerBoard", "ServerReport"]

REPORT_REFRESH_S = 10.0
SERVER_LOST_S = 2.5 * REPORT_REFRESH_S
LOAD_LOST_S = 5.0


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
    """Work that waits for a pool.

    :ivar pool: name of the pool.
    :ivar epoch: epoch of the pool lease of the reporting scheduler.
    :ivar waiting: requests that wait.
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
class _Seen:
    announcement: ServerAnnouncement
    heard_s: float

    @property
    def order(self) -> tuple[int, float]:
        return self.announcement.incarnation, self.heard_s


@dataclass(frozen=True)
class _Backlog:
    load: PoolLoad
    since_s: float
    heard_s: float


class ServerBoard:
    """Newest state of every server, and how long pools have been backlogged."""

    def __init__(self) -> None:
        self._seen_by_server: dict[str, _Seen] = {}
        self._backlog_by_pool: dict[str, _Backlog] = {}

    def note_servers(self, report: ServerReport) -> None:
        """Take note of servers.

        :param report: what one host heard.
        """
        for announcement, age_s in zip(
            report.announcements, report.age_s, strict=False
        ):
            seen = _Seen(announcement, now() - age_s)
            known = self._seen_by_server.get(announcement.name)
            if known is None or known.order < seen.order:
                self._seen_by_server[announcement.name] = seen

    def note_loads(self, loads: Iterable[PoolLoad]) -> None:
        """Take note of loads; one of an earlier epoch changes nothing.

        :param loads: what one scheduler host knows.
        """
        for load in loads:
            known = self._backlog_by_pool.get(load.pool)
            if known is not None and known.load.epoch > load.epoch:
                continue
            lasting = known is not None and known.load.waiting and self._is_heard(known)
            since_s = known.since_s if lasting else now()
            self._backlog_by_pool[load.pool] = _Backlog(load, since_s, now())

    def servers(self) -> tuple[ServerAnnouncement, ...]:
        """Return the newest announcement of each server that is not lost."""
        lost_after_s = now() - SERVER_LOST_S
        for name, seen in list(self._seen_by_server.items()):
            if seen.heard_s < lost_after_s:
                del self._seen_by_server[name]
        return tuple(seen.announcement for seen in self._seen_by_server.values())

    def server(self, name: str, after_s: float) -> ServerAnnouncement | None:
        """Return the announcement of a server, if one came after a time.

        :param name: name of the server.
        :param after_s: seconds of the loop's clock.
        """
        seen = self._seen_by_server.get(name)
        if seen is None or seen.heard_s <= after_s:
            return None
        return seen.announcement

    def backlogged(self, for_s: float) -> frozenset[str]:
        """Return the pools where work has waited for some time without a break.

        :param for_s: the time in seconds.
        """
        return frozenset(
            pool
            for pool, backlog in self._backlog_by_pool.items()
            if backlog.load.waiting
            and self._is_heard(backlog)
            and backlog.heard_s - backlog.since_s >= for_s
        )

    def _is_heard(self, backlog: _Backlog) -> bool:
        return now() - backlog.heard_s < LOAD_LOST_S
