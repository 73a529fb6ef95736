"""Choice of a backend server among those with a free slot."""

from collections.abc import Iterable
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.messages import ServerFailure, ServerSlots
from almondfield_fairshare.router.usage import PoolUsage

__all__ = ["ServerHealth", "choose_server"]

FAILURES_TO_EJECT = 3
"""Calls in a row that must fail before a server is left out."""

FIRST_EJECTION_S = 1.0
"""Time for which a server is left out at first, in seconds."""

LONGEST_EJECTION_S = 30.0
"""Time for which a server is left out at most, in seconds."""

MOST_EJECTED = 1 / 3
"""Share of the servers that may be left out at a time."""


@dataclass(frozen=True)
class _Ejection:
    until_s: float
    length_s: float


class ServerHealth:
    """Which servers fail, and which are left out for now."""

    def __init__(self) -> None:
        self.failures_by_server: dict[str, int] = {}
        self._row_by_server: dict[str, int] = {}
        self._ejection_by_server: dict[str, _Ejection] = {}

    def note(
        self, server: str, failure: ServerFailure | None, known: Iterable[str]
    ) -> None:
        """Note how a call ended.

        :param server: name of the server.
        :param failure: how the call failed, if it did.
        :param known: names of the servers that the router may use.
        """
        if failure is None:
            self._row_by_server.pop(server, None)
            self._ejection_by_server.pop(server, None)
            return
        self.failures_by_server[server] = self.failures_by_server.get(server, 0) + 1
        row = self._row_by_server.get(server, 0) + 1
        self._row_by_server[server] = row
        if row >= FAILURES_TO_EJECT and not self.is_ejected(server):
            self._eject(server, tuple(known))

    def is_ejected(self, server: str) -> bool:
        """Return whether a server is left out now."""
        ejection = self._ejection_by_server.get(server)
        return ejection is not None and now() < ejection.until_s

    def ejected_until_s(self, server: str) -> float:
        """Return when a server that is left out may be tried again."""
        return self._ejection_by_server[server].until_s

    def on_probation(self, server: str) -> bool:
        """Return whether a server was left out and has not succeeded since."""
        return server in self._ejection_by_server

    def _eject(self, server: str, known: tuple[str, ...]) -> None:
        ejected = sum(self.is_ejected(other) for other in known)
        most = max(1, int(len(known) * MOST_EJECTED))
        if len(known) < 2 or ejected >= most:
            return
        last = self._ejection_by_server.get(server)
        length_s = FIRST_EJECTION_S
        if last is not None:
            length_s = min(2 * last.length_s, LONGEST_EJECTION_S)
        self._ejection_by_server[server] = _Ejection(now() + length_s, length_s)


def choose_server(
    servers: Iterable[ServerSlots],
    usage: PoolUsage,
    health: ServerHealth,
    avoid: tuple[str, ...],
) -> ServerSlots | None:
    """Return the server with the largest share of free slots; None if none is free.

    Of several, the one that was used longest ago is taken.

    :param servers: servers that the router may use.
    :param usage: requests in flight.
    :param health: servers that fail.
    :param avoid: names of servers to take last.
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
