"""Which announced servers a pool may use, and with how many slots."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from almondfield_core.clock import now
from almondfield_core.messages import (
    AnnouncementRelay,
    ServerAnnouncement,
    ServerState,
)
from almondfield_core.tables import Pool

__all__ = ["News", "PoolServers", "owner_pool", "selects_server"]

LEAVING_COUNTS_S = 0.5
"""Time around an announcement to leave in which others don't replace it, in seconds."""


def selects_server(pool: Pool, server: ServerAnnouncement) -> bool:
    """Return whether a server belongs to a pool by the pool's selector.

    :param pool: row of the pools table.
    :param server: newest announcement of the server.
    """
    wanted = pool.selects
    labels = wanted.label_by_name.items()
    return (
        pool.kind == server.kind
        and wanted.model in ("", server.model)
        and wanted.version in ("", server.version)
        and set(wanted.adapters) <= set(server.adapters)
        and all(server.label_by_name.get(name) == value for name, value in labels)
    )


def owner_pool(pools: Iterable[Pool], server: ServerAnnouncement) -> str:
    """Return the pool that may use a server: the first by name that selects it.

    A server has one owner, so its slots are never granted by two schedulers.

    :param pools: rows of the pools table.
    :param server: newest announcement of the server.
    :returns: name of the pool; empty where none selects the server.
    """
    return min((p.name for p in pools if selects_server(p, server)), default="")


@dataclass(frozen=True)
class _Heard:
    announcement: ServerAnnouncement
    at_s: float


@dataclass(frozen=True)
class News:
    """What relayed announcements told.

    :ivar newer: announcements that replaced older ones.
    :ivar changed: whether servers may be used otherwise than before.
    """

    newer: tuple[ServerAnnouncement, ...]
    changed: bool


class PoolServers:
    """Newest announcement of each server that was relayed for a pool.

    :param silence_s: seconds after which a silent server gets no new work.
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._heard_by_name: dict[str, _Heard] = {}

    def take(self, relay: AnnouncementRelay) -> News:
        """Return what a relay's announcements tell that was not known.

        :param relay: announcements with their ages.
        """
        newer = []
        changed = False
        for announcement, age_s in zip(relay.announcements, relay.age_s):
            heard = _Heard(announcement, now() - age_s)
            known = self._heard_by_name.get(announcement.name)
            if known is not None and not _is_newer(heard, known):
                continue
            self._heard_by_name[announcement.name] = heard
            newer.append(announcement)
            changed |= known is None or self._differs(heard, known)
        return News(tuple(newer), changed)

    def serving(self) -> dict[str, ServerAnnouncement]:
        """Return the servers that take new work, by name."""
        oldest_s = now() - self._silence_s
        return {
            name: heard.announcement
            for name, heard in sorted(self._heard_by_name.items())
            if heard.at_s > oldest_s and heard.announcement.state == ServerState.SERVING
        }

    def heard_at_s(self, name: str) -> float:
        """Return when a server was last heard, by the clock of the event loop."""
        return self._heard_by_name[name].at_s

    def next_silence_s(self) -> float:
        """Return the seconds until the next server counts as silent."""
        left = [
            heard.at_s + self._silence_s - now()
            for heard in self._heard_by_name.values()
        ]
        return min((left_s for left_s in left if left_s > 0), default=self._silence_s)

    def _differs(self, heard: _Heard, known: _Heard) -> bool:
        """Return whether a server may be used otherwise than before."""
        was_silent = known.at_s <= now() - self._silence_s
        before = replace(known.announcement, busy=heard.announcement.busy)
        return was_silent or before != heard.announcement


def _is_newer(heard: _Heard, known: _Heard) -> bool:
    """Return whether an announcement replaces another one of the same server.

    Announcements reach a scheduler over several hosts and may overtake one another,
    so that leaving counts for a while against one that says otherwise.
    """
    incarnation = heard.announcement.incarnation
    if incarnation != known.announcement.incarnation:
        return incarnation > known.announcement.incarnation
    leaves = heard.announcement.state == ServerState.LEAVING
    left = known.announcement.state == ServerState.LEAVING
    if leaves and not left:
        return heard.at_s > known.at_s - LEAVING_COUNTS_S
    if left and not leaves:
        return heard.at_s > known.at_s + LEAVING_COUNTS_S
    return heard.at_s > known.at_s
