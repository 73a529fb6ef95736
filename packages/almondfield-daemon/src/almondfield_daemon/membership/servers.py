"""Backend servers as they announce themselves to this host."""

from collections.abc import Iterable
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

__all__ = ["HeardServer", "ServerDirectory"]


@dataclass(frozen=True)
class HeardServer:
    """A server as it announced itself.

    :ivar announcement: its newest announcement.
    :ivar heard_s: when that came, in seconds of the loop's clock.
    """

    announcement: ServerAnnouncement
    heard_s: float


class ServerDirectory:
    """Newest announcement of each server, and what schedulers must be told.

    :param silence_s: seconds after which a silent server is forgotten.
    :param holds: servers that get no new work.
    """

    def __init__(self, silence_s: float, holds: HoldDirectory) -> None:
        self._silence_s = silence_s
        self._holds = holds
        self._heard_by_server: dict[str, HeardServer] = {}
        self._untold: dict[str, set[str]] = {}
        self._pools_by_server: dict[str, frozenset[str]] = {}
        self._lease_by_pool: dict[str, PoolLease] = {}

    def note(self, announcement: ServerAnnouncement, pools: Iterable[Pool]) -> bool:
        """Return whether the schedulers must be told at once.

        :param announcement: what a server says of itself; one of an earlier
            incarnation changes nothing.
        :param pools: rows of the pools table.
        """
        name = announcement.name
        known = self._heard_by_server.get(name)
        if known and known.announcement.incarnation > announcement.incarnation:
            return False
        self._heard_by_server[name] = HeardServer(announcement, now())
        before = self._pools_by_server.get(name, frozenset())
        selecting = frozenset(p.name for p in pools if selects_server(p, announcement))
        self._pools_by_server[name] = selecting
        for pool in selecting | before:
            self._untold.setdefault(pool, set()).add(name)
        return known is None or _differs(known.announcement, announcement)

    def note_leases(self, lease_by_pool: dict[str, PoolLease]) -> None:
        """Make known servers due to the schedulers that are new.

        :param lease_by_pool: which host schedules each pool.
        """
        for pool, lease in lease_by_pool.items():
            if self._lease_by_pool.get(pool) == lease:
                continue
            for server, pools in self._pools_by_server.items():
                if pool in pools:
                    self._untold.setdefault(pool, set()).add(server)
        self._lease_by_pool = dict(lease_by_pool)

    def note_holds(self) -> None:
        """Make servers that were held or released due to their schedulers."""
        for server in self._holds.take_changed():
            for pool in self._pools_by_server.get(server, ()):
                self._untold.setdefault(pool, set()).add(server)

    def take_relays(self) -> list[tuple[str, AnnouncementRelay]]:
        """Return what is due, as (scheduler host, relay); it is due no more."""
        relays = []
        for pool in [pool for pool in self._untold if pool in self._lease_by_pool]:
            relay = self._relay(pool, sorted(self._untold.pop(pool)))
            if relay.announcements:
                relays.append((self._lease_by_pool[pool].host, relay))
        return relays

    def forget_silent(self) -> None:
        """Forget servers that have been silent for too long."""
        lost_after_s = now() - self._silence_s
        for name, heard in list(self._heard_by_server.items()):
            if heard.heard_s < lost_after_s:
                del self._heard_by_server[name]
                self._pools_by_server.pop(name, None)

    def heard(self) -> tuple[HeardServer, ...]:
        """Return the newest announcement of each server that is not silent."""
        self.forget_silent()
        return tuple(self._heard_by_server.values())

    def _relay(self, pool: str, names: list[str]) -> AnnouncementRelay:
        heard = [self._heard_by_server[n] for n in names if n in self._heard_by_server]
        announcements = tuple(self._as_seen_by(pool, h.announcement) for h in heard)
        ages_s = tuple(now() - h.heard_s for h in heard)
        return AnnouncementRelay(pool, announcements, ages_s)

    def _as_seen_by(
        self, pool: str, announcement: ServerAnnouncement
    ) -> ServerAnnouncement:
        selected = pool in self._pools_by_server.get(announcement.name, ())
        if selected and not self._holds.is_held(announcement.name):
            return announcement
        # Its scheduler is to give it no new work.
        return replace(announcement, state=ServerState.LEAVING)


def _differs(before: ServerAnnouncement, after: ServerAnnouncement) -> bool:
    return replace(before, busy=0) != replace(after, busy=0)
