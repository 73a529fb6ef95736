"""Updates that are queued for a neighbour."""

from almondfield_daemon.membership.messages import (
    HoldUpdate,
    HostDigest,
    HostUpdate,
    ReachabilityUpdate,
    SpareSlotsUpdate,
)

__all__ = ["Outbox"]


class Outbox:
    """The newest update about each subject that is queued for one neighbour."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostUpdate] = {}
        self._silences: dict[tuple[str, str], ReachabilityUpdate] = {}
        self._spares: dict[str, SpareSlotsUpdate] = {}
        self._holds: dict[str, HoldUpdate] = {}

    @property
    def is_urgent(self) -> bool:
        """Return whether the updates should not wait for the next heartbeat."""
        return bool(self._hosts or self._silences or self._holds)

    def add(self, digest: HostDigest) -> None:
        """Add updates; each replaces the queued one about the same subject.

        :param digest: the updates.
        """
        self._hosts |= {update.settings.name: update for update in digest.hosts}
        self._silences |= {
            (update.host, update.watcher): update for update in digest.silences
        }
        self._spares |= {update.host: update for update in digest.spares}
        self._holds |= {update.server: update for update in digest.holds}

    def pop_all(self) -> HostDigest | None:
        """Return and clear the queued updates; None if there are none."""
        if not (self.is_urgent or self._spares):
            return None
        digest = HostDigest(
            tuple(self._hosts.values()),
            tuple(self._silences.values()),
            tuple(self._spares.values()),
            tuple(self._holds.values()),
        )
        self._hosts, self._silences, self._spares, self._holds = {}, {}, {}, {}
        return digest
