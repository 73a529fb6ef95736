"""The newest announcement of each backend server."""

from collections.abc import Iterable
from dataclasses import replace

from almondfield_core.clock import now
from almondfield_daemon.fleet.messages import FleetServer, ServerPhase

__all__ = ["ServerRegistry"]

SILENCE_S = 4.5  # announcements come every second or so, at times seconds late
FORGET_SILENT_S = 30.0  # longer than a network partition of seconds
FORGET_GONE_S = 60.0  # longer than a delayed announcement may still arrive


class ServerRegistry:
    """Merges announcements that may come late, twice and from several hosts.

    A server that left stays gone until it starts anew. Of two servers at one address
    the one that started later holds it.

    :ivar version: grows with each change that routers must hear of.
    """

    def __init__(self) -> None:
        self.version = 0
        self._server_by_name: dict[str, FleetServer] = {}
        self._heard_s_by_name: dict[str, float] = {}

    def servers(self) -> tuple[FleetServer, ...]:
        """Return every server, also those that left a short time ago."""
        return tuple(self._server_by_name.values())

    def get(self, name: str) -> FleetServer | None:
        """Return a server by its name, if it is known.

        :param name: identifier of the server.
        """
        return self._server_by_name.get(name)

    def merge(self, servers: Iterable[FleetServer]) -> tuple[FleetServer, ...]:
        """Return the servers whose state changed for routers.

        :param servers: announcements, in any order.
        """
        changed = [item for server in servers for item in self._merge(server)]
        if changed:
            self.version += 1
        return tuple(changed)

    def leave(self, name: str) -> tuple[FleetServer, ...]:
        """Return the servers whose state changed because one says that it leaves.

        :param name: identifier of the server.
        """
        known = self._server_by_name.get(name)
        if known is None:
            return ()
        return self.merge((replace(known, phase=ServerPhase.GONE),))

    def leaving(self) -> tuple[FleetServer, ...]:
        """Return the servers that take no new work but were in use lately."""
        return tuple(
            server
            for server in self._server_by_name.values()
            if server.phase is not ServerPhase.SERVING
        )

    def silent(self) -> tuple[str, ...]:
        """Return the names of servers that were not heard for a while."""
        before_s = now() - SILENCE_S
        return tuple(
            name
            for name, heard_s in self._heard_s_by_name.items()
            if heard_s < before_s
            and self._server_by_name[name].phase is not ServerPhase.GONE
        )

    def forget(self) -> tuple[FleetServer, ...]:
        """Return servers that count as gone for their silence; drop old entries."""
        lost = []
        for name, heard_s in list(self._heard_s_by_name.items()):
            server = self._server_by_name[name]
            is_gone = server.phase is ServerPhase.GONE
            if is_gone and now() - heard_s > FORGET_GONE_S:
                del self._server_by_name[name], self._heard_s_by_name[name]
            elif not is_gone and now() - heard_s > FORGET_SILENT_S:
                lost.append(replace(server, phase=ServerPhase.GONE))
        return self.merge(lost)

    def _merge(self, server: FleetServer) -> list[FleetServer]:
        known = self._server_by_name.get(server.name)
        if known is not None and not _is_newer(server, known):
            return []
        changed = []
        if server.phase is not ServerPhase.GONE:
            holder = self._holder(server)
            if holder is not None and holder.born_ms > server.born_ms:
                # A late announcement of a server whose address was given away.
                return []
            if holder is not None:
                gone = replace(holder, phase=ServerPhase.GONE)
                self._put(gone)
                changed.append(gone)
        self._put(server)
        if known is None or _differs(server, known):
            changed.append(server)
        return changed

    def _holder(self, server: FleetServer) -> FleetServer | None:
        """Return the other server that is in use at the same address, if any."""
        for other in self._server_by_name.values():
            is_same = other.name == server.name
            is_gone = other.phase is ServerPhase.GONE
            if other.address == server.address and not is_same and not is_gone:
                return other
        return None

    def _put(self, server: FleetServer) -> None:
        self._server_by_name[server.name] = server
        self._heard_s_by_name[server.name] = now()


def _is_newer(server: FleetServer, known: FleetServer) -> bool:
    if server.born_ms != known.born_ms:
        return server.born_ms > known.born_ms
    if known.phase is ServerPhase.GONE:
        return False
    return server.phase is ServerPhase.GONE or server.sequence > known.sequence


def _differs(server: FleetServer, known: FleetServer) -> bool:
    """Return whether routers must hear of a newer announcement at once."""
    same = replace(known, sequence=server.sequence, cold_left_s=server.cold_left_s)
    return same != server
