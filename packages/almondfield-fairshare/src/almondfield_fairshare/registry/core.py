"""Announced servers of a pool, and which of them take new work."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from almondfield_core.clock import now
from almondfield_core.messages import (
    AnnouncementRelay,
    ServerAnnouncement,
    ServerState,
)
from almondfield_core.tables import Pool

__all__ = ["PoolServers", "RegistryUpdate", "owner_pool", "selects_server"]

LEAVING_PRECEDENCE_S = 0.5
"""Time for which a leaving announcement takes precedence, in seconds.

It applies to announcements sent up to that long before or after it.
"""


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
    """Return the pool that owns a server: the first by name that selects it.

    Each server has one owner, so that two schedulers never grant the same slots.

    :param pools: rows of the pools table.
    :param server: newest announcement of the server.
    :returns: name of the pool; empty where none selects the server.
    """
    return min((p.name for p in pools if selects_server(p, server)), default="")


@dataclass(frozen=True)
class _ReceivedAnnouncement:
    announcement: ServerAnnouncement
    announced_s: float


@dataclass(frozen=True)
class RegistryUpdate:
    """Effect of a relay of announcements on the registry.

    :ivar newer: announcements that replaced older ones.
    :ivar changed: whether the usable servers or their properties may have changed.
    """

    newer: tuple[ServerAnnouncement, ...]
    changed: bool


class PoolServers:
    """Newest announcement of each server that was relayed for a pool.

    :param heartbeat_timeout_s: seconds without an announcement after which a server
        gets no new work.
    """

    def __init__(self, heartbeat_timeout_s: float) -> None:
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._received_by_name: dict[str, _ReceivedAnnouncement] = {}

    def update(self, relay: AnnouncementRelay) -> RegistryUpdate:
        """Return what changed, after storing the newer announcements of a relay.

        :param relay: announcements with their ages.
        """
        newer = []
        changed = False
        for announcement, age_s in zip(relay.announcements, relay.age_s):
            received = _ReceivedAnnouncement(announcement, now() - age_s)
            previous = self._received_by_name.get(announcement.name)
            if previous is not None and not _is_newer(received, previous):
                continue
            self._received_by_name[announcement.name] = received
            newer.append(announcement)
            changed |= previous is None or self._differs(received, previous)
        return RegistryUpdate(tuple(newer), changed)

    def serving(self) -> dict[str, ServerAnnouncement]:
        """Return the servers that take new work, by name."""
        oldest_s = now() - self._heartbeat_timeout_s
        return {
            name: received.announcement
            for name, received in sorted(self._received_by_name.items())
            if received.announced_s > oldest_s
            and received.announcement.state == ServerState.SERVING
        }

    def last_seen_s(self, name: str) -> float:
        """Return when a server was last seen, by the clock of the event loop."""
        return self._received_by_name[name].announced_s

    def next_timeout_s(self) -> float:
        """Return the seconds until the next server becomes unresponsive."""
        remaining_s = [
            received.announced_s + self._heartbeat_timeout_s - now()
            for received in self._received_by_name.values()
        ]
        return min(
            (left_s for left_s in remaining_s if left_s > 0),
            default=self._heartbeat_timeout_s,
        )

    def _differs(
        self, received: _ReceivedAnnouncement, previous: _ReceivedAnnouncement
    ) -> bool:
        """Return whether a server was unresponsive or announces another state.

        The number of busy slots is left out of the comparison.
        """
        was_unresponsive = previous.announced_s <= now() - self._heartbeat_timeout_s
        before = replace(previous.announcement, busy=received.announcement.busy)
        return was_unresponsive or before != received.announcement


def _is_newer(received: _ReceivedAnnouncement, previous: _ReceivedAnnouncement) -> bool:
    """Return whether an announcement replaces another one of the same server.

    Announcements reach a scheduler through several hosts and may arrive out of
    order. One that says that the server leaves therefore takes precedence over others
    of about the same time.
    """
    incarnation = received.announcement.incarnation
    if incarnation != previous.announcement.incarnation:
        return incarnation > previous.announcement.incarnation
    is_leaving = received.announcement.state == ServerState.LEAVING
    was_leaving = previous.announcement.state == ServerState.LEAVING
    if is_leaving and not was_leaving:
        return received.announced_s > previous.announced_s - LEAVING_PRECEDENCE_S
    if was_leaving and not is_leaving:
        return received.announced_s > previous.announced_s + LEAVING_PRECEDENCE_S
    return received.announced_s > previous.announced_s
