"""Registry of backend servers, with the latest announcement of each."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet.checking import check_server
from almondfield_daemon.fleet.messages import FleetServer, ServerPhase
from almondfield_daemon.server_limits import ColdServers
from almondfield_daemon.server_notices import ServerStart

__all__ = ["PoolServers", "ServerRegistry"]

HEARTBEAT_TIMEOUT_S = 4.5  # announcements come about every second, some seconds late
MAX_EXPIRY_GAP_S = 2.0
UNRESPONSIVE_EXPIRY_S = 30.0  # outlasts network partitions of a few seconds
GONE_RETENTION_S = 60.0  # outlasts the delay of a late announcement


@dataclass(frozen=True)
class PoolServers:
    """The servers of one pool.

    :ivar serving: those that take new work.
    :ivar not_serving_names: names of those that leave or left recently.
    """

    serving: tuple[FleetServer, ...]
    not_serving_names: frozenset[str]


class ServerRegistry:
    """Backend servers by name, merged from announcements.

    Announcements may arrive late, repeatedly and from several hosts. A server that
    left stays gone until it restarts. Of two servers that announce the same address,
    the one that started later keeps it.

    :param hears_all: whether all announcements of servers come here, not only changes.

    :ivar version: increases with each change that routers must be notified of.
    :ivar cold: which servers are cold.
    """

    def __init__(self, hears_all: bool = False) -> None:
        self.version = 0
        self.cold = ColdServers(hears_all)
        self._server_by_name: dict[str, FleetServer] = {}
        self._last_seen_s_by_name: dict[str, float] = {}
        # Routers ask several times for each request; announcements are far fewer.
        self._servers_by_pool: dict[str, PoolServers] = {}
        self._expired_s: float | None = None

    def servers(self) -> tuple[FleetServer, ...]:
        """Return all servers, including those that left recently."""
        return tuple(self._server_by_name.values())

    def pool(self, name: str) -> PoolServers:
        """Return the servers of a pool.

        :param name: name of the pool.
        """
        servers = self._servers_by_pool.get(name)
        if servers is None:
            servers = self._servers_by_pool[name] = self._select_pool(name)
        return servers

    def get(self, name: str) -> FleetServer | None:
        """Return a server by its name, or None if it is not registered.

        :param name: identifier of the server.
        """
        return self._server_by_name.get(name)

    def with_cold_times(
        self, servers: Iterable[FleetServer]
    ) -> tuple[FleetServer, ...]:
        """Return servers with their cold times as of now, to be sent to other hosts.

        :param servers: the servers; those of pools without a warm-up rate are returned
            as they were announced.
        """
        return tuple([self._with_cold_time(server) for server in servers])

    def _with_cold_time(self, server: FleetServer) -> FleetServer:
        item = self.cold.statement(server.name)
        if item is None or item.born_ms != server.born_ms:
            return server
        if self.cold.warm_up_pool(server.name) is None:
            return server
        return replace(
            server,
            cold_left_s=item.left_s,
            has_cold_time=True,
            cold_age_s=item.age_s,
        )

    def merge(
        self, servers: Iterable[FleetServer], source: str = ""
    ) -> tuple[FleetServer, ...]:
        """Merge announcements; return the servers whose change concerns routers.

        An announcement with values that can't be used is ignored, and only this one.

        :param servers: announcements, in any order.
        :param source: where they come from, for the log.
        """
        changed = [item for server in servers for item in self._merge(server, source)]
        if changed:
            self.version += 1
        return tuple(changed)

    def mark_gone(self, name: str) -> tuple[FleetServer, ...]:
        """Mark a server as gone; return it if that changed its phase.

        :param name: identifier of the server.
        """
        known = self._server_by_name.get(name)
        if known is None:
            return ()
        return self.merge((replace(known, phase=ServerPhase.GONE),))

    def not_serving(self) -> tuple[FleetServer, ...]:
        """Return the servers that are leaving or recently gone."""
        return tuple(
            server
            for server in self._server_by_name.values()
            if server.phase is not ServerPhase.SERVING
        )

    def unresponsive(self) -> tuple[str, ...]:
        """Return the names of servers beyond the heartbeat timeout."""
        cutoff_s = now() - HEARTBEAT_TIMEOUT_S
        return tuple(
            name
            for name, last_seen_s in self._last_seen_s_by_name.items()
            if last_seen_s < cutoff_s
            and self._server_by_name[name].phase is not ServerPhase.GONE
        )

    def expire(self) -> tuple[FleetServer, ...]:
        """Mark long unresponsive servers as gone and return them; drop old entries.

        It is called at intervals. A host that calls it late was suspended or busy, and
        has not handled the announcements that arrived meanwhile.
        """
        gap_s = 0.0 if self._expired_s is None else now() - self._expired_s
        self._expired_s = now()
        if gap_s > MAX_EXPIRY_GAP_S:
            for name in self._last_seen_s_by_name:
                self._last_seen_s_by_name[name] += gap_s
        expired = []
        for name, last_seen_s in list(self._last_seen_s_by_name.items()):
            server = self._server_by_name[name]
            is_gone = server.phase is ServerPhase.GONE
            if is_gone and now() - last_seen_s > GONE_RETENTION_S:
                del self._server_by_name[name], self._last_seen_s_by_name[name]
                self._servers_by_pool.clear()
                self.cold.retain(
                    ServerStart(other.name, other.born_ms)
                    for other in self._server_by_name.values()
                )
            elif not is_gone and now() - last_seen_s > UNRESPONSIVE_EXPIRY_S:
                expired.append(replace(server, phase=ServerPhase.GONE))
        return self.merge(expired)

    def _select_pool(self, name: str) -> PoolServers:
        servers = [s for s in self._server_by_name.values() if s.pool == name]
        serving = [s for s in servers if s.phase is ServerPhase.SERVING]
        others = [s for s in servers if s.phase is not ServerPhase.SERVING]
        return PoolServers(tuple(serving), frozenset(s.name for s in others))

    def _merge(self, server: FleetServer, source: str) -> list[FleetServer]:
        known = self._server_by_name.get(server.name)
        if known is not None and not _is_newer(server, known):
            return []
        concerns_routers = known is None or _concerns_routers(server, known)
        # What doesn't concern them is a newer number of a server that was checked.
        findings = check_server(server) if concerns_routers else ()
        if findings:
            texts = [str(finding) for finding in findings]
            eliot.log_message("server:ignored", source=source, findings=texts)
            return []
        changed = []
        if server.phase is not ServerPhase.GONE:
            owner = self._address_owner(server)
            if owner is not None and owner.born_ms > server.born_ms:
                # A late announcement of a server whose address was reassigned.
                return []
            if owner is not None:
                gone = replace(owner, phase=ServerPhase.GONE)
                self._put(gone)
                changed.append(gone)
        became_cold = self._record_cold_time(server)
        self._put(server)
        if concerns_routers or became_cold:
            changed.append(server)
        return changed

    def _record_cold_time(self, server: FleetServer) -> bool:
        """Return whether an announcement makes its server cold."""
        if server.phase is ServerPhase.GONE:
            return False
        seen_s = self._last_seen_s_by_name.get(server.name, now())
        was_silent = now() - seen_s > HEARTBEAT_TIMEOUT_S
        return self.cold.record_announcement(server, server.cold_age_s, was_silent)

    def _address_owner(self, server: FleetServer) -> FleetServer | None:
        """Return another server at the same address that is not gone, if any."""
        for other in self._server_by_name.values():
            is_same = other.name == server.name
            is_gone = other.phase is ServerPhase.GONE
            if other.address == server.address and not is_same and not is_gone:
                return other
        return None

    def _put(self, server: FleetServer) -> None:
        self._server_by_name[server.name] = server
        self._servers_by_pool.clear()
        self._last_seen_s_by_name[server.name] = now()


def _is_newer(server: FleetServer, known: FleetServer) -> bool:
    if server.born_ms != known.born_ms:
        return server.born_ms > known.born_ms
    if known.phase is ServerPhase.GONE:
        return False
    return server.phase is ServerPhase.GONE or server.sequence > known.sequence


def _concerns_routers(server: FleetServer, known: FleetServer) -> bool:
    """Return whether routers must be notified of a newer announcement at once."""
    same = replace(
        known,
        sequence=server.sequence,
        cold_left_s=server.cold_left_s,
        has_cold_time=server.has_cold_time,
        cold_age_s=server.cold_age_s,
    )
    return same != server
