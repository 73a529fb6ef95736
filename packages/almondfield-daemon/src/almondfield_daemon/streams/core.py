"""Table of the origins of recent streams."""

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.streams.messages import StreamOrigin

__all__ = ["OriginTable"]

MAX_ORIGINS = 30_000  # 500 streams a second for MAX_KEEP_S
MAX_KEEP_S = 60.0
UNCONFIRMED_S = 4.5  # a restart under the same name may be announced this late


@dataclass(frozen=True)
class _Entry:
    """An origin in the table.

    :ivar origin: the origin.
    :ivar began_s: when the stream began, in seconds of the loop's clock.
    :ivar expires_s: when it is dropped, in seconds of the loop's clock.
    """

    origin: StreamOrigin
    began_s: float
    expires_s: float


class OriginTable:
    """Origins of streams by the caller's attempt, until callers give the streams up."""

    def __init__(self) -> None:
        self._entry_by_request: dict[str, _Entry] = {}
        self._expiries: list[tuple[float, str]] = []
        self._server_by_name: dict[str, FleetServer] = {}
        # Since when each server is known with its present version.
        self._known_since_s_by_name: dict[str, float] = {}
        self._is_full = False

    def __len__(self) -> int:
        return len(self._entry_by_request)

    def put(self, origin: StreamOrigin) -> None:
        """Record an origin; the first one of an attempt is kept, a doubtful one isn't.

        A further one of the same attempt lets the first one be kept for longer.

        :param origin: the origin.
        """
        self._drop_expired()
        if self.is_doubtful(origin):
            return
        expires_s = now() + min(origin.keep_s, MAX_KEEP_S)
        entry = _Entry(origin, now() - origin.age_s, expires_s)
        known = self._entry_by_request.get(origin.request_id)
        if known is not None:
            if known.expires_s >= expires_s:
                return
            entry = replace(known, expires_s=expires_s)
        elif len(self._entry_by_request) >= MAX_ORIGINS:
            self._drop_oldest()
        self._entry_by_request[origin.request_id] = entry
        heapq.heappush(self._expiries, (expires_s, origin.request_id))

    def put_all(self, origins: Iterable[StreamOrigin]) -> None:
        """Record the origins that a router reports.

        :param origins: the origins.
        """
        doubtful: Counter[tuple[str, str]] = Counter()
        for origin in origins:
            if self.is_doubtful(origin):
                doubtful[origin.server, origin.version] += 1
            self.put(origin)
        for (server, version), count in doubtful.items():
            _log_dropped(server, version, count)

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it isn't known.

        :param request_id: the caller's attempt that brought the first event.
        """
        self._drop_expired()
        entry = self._entry_by_request.get(request_id)
        return _current_origin(entry) if entry else None

    def origins(self) -> tuple[StreamOrigin, ...]:
        """Return all origins, each with its age and the time it is still kept for."""
        self._drop_expired()
        return tuple(map(_current_origin, self._entry_by_request.values()))

    def is_doubtful(self, origin: StreamOrigin) -> bool:
        """Return whether another version of its server may have begun the stream.

        The router that recorded it may not have heard of the server's restart.

        :param origin: the origin, with its present age.
        """
        server = self._server_by_name.get(origin.server)
        if server is None or server.version == origin.version:
            return False
        if origin.born_ms > server.born_ms:
            # This host hasn't heard of the restart yet.
            return False
        known_since_s = self._known_since_s_by_name[server.name]
        return now() - origin.age_s > known_since_s - UNCONFIRMED_S

    def update_servers(self, servers: Iterable[FleetServer]) -> None:
        """Drop origins that a late announcement of a restart makes doubtful.

        A server may restart under its name with another version. Until that is
        announced, its streams are recorded with the version of its earlier start.

        :param servers: all known servers.
        """
        before = self._server_by_name
        since_s_by_name = self._known_since_s_by_name
        self._server_by_name = {server.name: server for server in servers}
        self._known_since_s_by_name = {}
        for name, server in self._server_by_name.items():
            known = before.get(name)
            if known is not None and known.version == server.version:
                self._known_since_s_by_name[name] = since_s_by_name[name]
                continue
            self._known_since_s_by_name[name] = now()
            if known is not None:
                self._drop_doubtful(known)

    def _drop_doubtful(self, server: FleetServer) -> None:
        doubtful = [
            request_id
            for request_id, entry in self._entry_by_request.items()
            if entry.origin.server == server.name
            and self.is_doubtful(_current_origin(entry))
        ]
        for request_id in doubtful:
            del self._entry_by_request[request_id]
        _log_dropped(server.name, server.version, len(doubtful))

    def _drop_expired(self) -> None:
        at_s = now()
        while self._expiries and self._expiries[0][0] <= at_s:
            _, request_id = heapq.heappop(self._expiries)
            entry = self._entry_by_request.get(request_id)
            if entry is not None and entry.expires_s <= at_s:
                del self._entry_by_request[request_id]
                self._is_full = False

    def _drop_oldest(self) -> None:
        del self._entry_by_request[next(iter(self._entry_by_request))]
        if not self._is_full:
            self._is_full = True
            eliot.log_message("stream:origins-full", limit=MAX_ORIGINS)


def _current_origin(entry: _Entry) -> StreamOrigin:
    keep_s = entry.expires_s - now()
    return replace(entry.origin, keep_s=keep_s, age_s=now() - entry.began_s)


def _log_dropped(server: str, version: str, count: int) -> None:
    eliot.log_message(
        "stream:origins-dropped", server=server, version=version, count=count
    )
