"""Backend servers that announce themselves to this host."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from almondfield_core.clock import now
from almondfield_core.messages import (
    AnnouncementRelay,
    PoolLease,
    ServerAnnouncement,
    ServerState,
)
from almondfield_core.tables import Pool
from almondfield_daemon.membership.holds import HoldDirectory
from almondfield_daemon.membership.selection import selects_server

__all__ = ["AnnouncedServer", "ServerDirectory"]


@dataclass(frozen=True)
class AnnouncedServer:
    """The newest announcement of a server.

    :ivar announcement: the announcement.
    :ivar received_s: when it was received, in seconds of the loop's clock.
    """

    announcement: ServerAnnouncement
    received_s: float


class ServerDirectory:
    """Newest announcement of each server, and those to relay to schedulers.

    :param silence_s: seconds without an announcement after which a server is removed.
    :param holds: servers that are excluded from new work.
    :param evacuated: returns the evacuated data centres, whose servers are excluded
        from new work too.
    """

    def __init__(
        self,
        silence_s: float,
        holds: HoldDirectory,
        evacuated: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._evacuated = evacuated
        self._relayed_evacuated: frozenset[str] = frozenset()
        self._silence_s = silence_s
        self._holds = holds
        self._server_by_name: dict[str, AnnouncedServer] = {}
        self._unrelayed_by_pool: dict[str, set[str]] = {}
        self._pools_by_server: dict[str, frozenset[str]] = {}
        self._lease_by_pool: dict[str, PoolLease] = {}

    def record(self, announcement: ServerAnnouncement, pools: Iterable[Pool]) -> bool:
        """Record an announcement and queue it for the schedulers.

        :param announcement: announcement of a server; one of an earlier incarnation
            is ignored.
        :param pools: rows of the pools table.
        :returns: whether to relay it at once, because the server is new or anything
            but its load changed.
        """
        name = announcement.name
        known = self._server_by_name.get(name)
        if known and known.announcement.incarnation > announcement.incarnation:
            return False
        self._server_by_name[name] = AnnouncedServer(announcement, now())
        before = self._pools_by_server.get(name, frozenset())
        selecting = frozenset(p.name for p in pools if selects_server(p, announcement))
        self._pools_by_server[name] = selecting
        for pool in selecting | before:
            self._unrelayed_by_pool.setdefault(pool, set()).add(name)
        return known is None or _differs(known.announcement, announcement)

    def queue_lease_changes(self, lease_by_pool: dict[str, PoolLease]) -> None:
        """Record the leases and queue the servers of each pool whose lease changed.

        :param lease_by_pool: current lease of each pool.
        """
        for pool, lease in lease_by_pool.items():
            if self._lease_by_pool.get(pool) == lease:
                continue
            for server, pools in self._pools_by_server.items():
                if pool in pools:
                    self._unrelayed_by_pool.setdefault(pool, set()).add(server)
        self._lease_by_pool = dict(lease_by_pool)

    def queue_hold_changes(self) -> None:
        """Queue the servers that were held or released."""
        for server in self._holds.pop_changed():
            for pool in self._pools_by_server.get(server, ()):
                self._unrelayed_by_pool.setdefault(pool, set()).add(server)

    def queue_evacuation_changes(self) -> None:
        """Queue the servers of data centres whose evacuation began or ended."""
        before, self._relayed_evacuated = self._relayed_evacuated, self._evacuated()
        changed = before ^ self._relayed_evacuated
        if not changed:
            return
        for name, server in self._server_by_name.items():
            if server.announcement.data_centre in changed:
                for pool in self._pools_by_server.get(name, ()):
                    self._unrelayed_by_pool.setdefault(pool, set()).add(name)

    def pop_relays(self) -> list[tuple[str, AnnouncementRelay]]:
        """Return and clear the queued relays of leased pools.

        :returns: pairs of scheduler host and relay.
        """
        relays = []
        for pool in [
            pool for pool in self._unrelayed_by_pool if pool in self._lease_by_pool
        ]:
            relay = self._build_relay(pool, sorted(self._unrelayed_by_pool.pop(pool)))
            if relay.announcements:
                relays.append((self._lease_by_pool[pool].host, relay))
        return relays

    def remove_unresponsive(self) -> None:
        """Remove servers without an announcement within the heartbeat timeout."""
        oldest_s = now() - self._silence_s
        for name, server in list(self._server_by_name.items()):
            if server.received_s < oldest_s:
                del self._server_by_name[name]
                self._pools_by_server.pop(name, None)

    def servers(self) -> tuple[AnnouncedServer, ...]:
        """Return the newest announcement of each server that still announces itself."""
        self.remove_unresponsive()
        return tuple(self._server_by_name.values())

    def _build_relay(self, pool: str, names: list[str]) -> AnnouncementRelay:
        servers = [self._server_by_name[n] for n in names if n in self._server_by_name]
        announcements = tuple(
            self._announcement_for(pool, server.announcement) for server in servers
        )
        ages_s = tuple(now() - server.received_s for server in servers)
        return AnnouncementRelay(pool, announcements, ages_s)

    def _announcement_for(
        self, pool: str, announcement: ServerAnnouncement
    ) -> ServerAnnouncement:
        selected = pool in self._pools_by_server.get(announcement.name, ())
        is_excluded = (
            self._holds.is_held(announcement.name)
            or announcement.data_centre in self._evacuated()
        )
        if selected and not is_excluded:
            return announcement
        # The state makes the scheduler assign it no new work.
        return replace(announcement, state=ServerState.LEAVING)


def _differs(before: ServerAnnouncement, after: ServerAnnouncement) -> bool:
    return replace(before, busy=0) != replace(after, busy=0)
