"""Choice of a backend server among those with a free slot."""

from collections.abc import Iterable
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.messages import ServerFailure, ServerSlots
from almondfield_fairshare.router.usage import PoolUsage

__all__ = ["ServerHealth", "choose_server"]

FAILURES_TO_EJECT = 3
"""Consecutive failed calls after which a server is ejected."""

FIRST_EJECTION_S = 1.0
"""Duration of the first ejection, in seconds; each further one doubles it."""

MAX_EJECTION_S = 30.0
"""Longest duration of an ejection, in seconds."""

MAX_EJECTED_SHARE = 1 / 3
"""Largest share of the servers that may be ejected at a time."""


@dataclass(frozen=True)
class _Ejection:
    until_s: float
    duration_s: float


class ServerHealth:
    """Failures of the servers, and ejection of those that fail repeatedly."""

    def __init__(self) -> None:
        self.failures_by_server: dict[str, int] = {}
        self._failure_streak_by_server: dict[str, int] = {}
        self._ejection_by_server: dict[str, _Ejection] = {}

    def record(
        self, server: str, failure: ServerFailure | None, known: Iterable[str]
    ) -> None:
        """Record the outcome of a call.

        :param server: name of the server.
        :param failure: how the call failed, if it did.
        :param known: names of the servers that the router may use.
        """
        if failure is None:
            self._failure_streak_by_server.pop(server, None)
            self._ejection_by_server.pop(server, None)
            return
        self.failures_by_server[server] = self.failures_by_server.get(server, 0) + 1
        streak = self._failure_streak_by_server.get(server, 0) + 1
        self._failure_streak_by_server[server] = streak
        if streak >= FAILURES_TO_EJECT and not self.is_ejected(server):
            self._eject(server, tuple(known))

    def is_ejected(self, server: str) -> bool:
        """Return whether a server is ejected now."""
        ejection = self._ejection_by_server.get(server)
        return ejection is not None and now() < ejection.until_s

    def ejected_until_s(self, server: str) -> float:
        """Return when an ejected server may be tried again."""
        return self._ejection_by_server[server].until_s

    def on_probation(self, server: str) -> bool:
        """Return whether a server was ejected and has had no success since."""
        return server in self._ejection_by_server

    def _eject(self, server: str, known: tuple[str, ...]) -> None:
        ejected = sum(self.is_ejected(other) for other in known)
        max_ejected = max(1, int(len(known) * MAX_EJECTED_SHARE))
        if len(known) < 2 or ejected >= max_ejected:
            return
        last = self._ejection_by_server.get(server)
        duration_s = FIRST_EJECTION_S
        if last is not None:
            duration_s = min(2 * last.duration_s, MAX_EJECTION_S)
        self._ejection_by_server[server] = _Ejection(now() + duration_s, duration_s)


def choose_server(
    servers: Iterable[ServerSlots],
    usage: PoolUsage,
    health: ServerHealth,
    avoid: tuple[str, ...],
) -> ServerSlots | None:
    """Return the server with the largest share of free slots; None if none is free.

    Ties are broken in favour of the least recently used server. A server on probation
    gets one request at a time.

    :param servers: servers that the router may use.
    :param usage: requests in flight.
    :param health: ejected servers, and those on probation.
    :param avoid: names of servers to choose only if no other is free.
    """
    free = []
    for server in servers:
        busy = usage.on_server(server.name)
        slots = server.slots
        if health.is_ejected(server.name):
            continue
        if health.on_probation(server.name):
            slots = min(slots, 1)
        if busy < slots:
            load = busy / server.slots
            order = (server.name in avoid, load, usage.last_start(server.name))
            free.append((order, server))
    if not free:
        return None
    return min(free, key=lambda entry: (entry[0], entry[1].name))[1]
