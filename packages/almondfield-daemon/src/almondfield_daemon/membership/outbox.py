"""News that waits to be told to neighbours."""

from almondfield_daemon.membership.messages import (
    HoldNews,
    HostDigest,
    HostNews,
    SilenceNews,
    SpareNews,
)

__all__ = ["Outbox"]


class Outbox:
    """The newest news of each subject that one neighbour has not been told."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostNews] = {}
        self._silences: dict[tuple[str, str], SilenceNews] = {}
        self._spares: dict[str, SpareNews] = {}
        self._holds: dict[str, HoldNews] = {}

    @property
    def is_urgent(self) -> bool:
        """Return whether the news should not wait for the next heartbeat."""
        return bool(self._hosts or self._silences or self._holds)

    def add(self, digest: HostDigest) -> None:
        """Add news; newer news of a subject takes the place of older.

        :param digest: the news.
        """
        self._hosts |= {news.settings.name: news for news in digest.hosts}
        self._silences |= {(n.host, n.watcher): n for n in digest.silences}
        self._spares |= {news.host: news for news in digest.spares}
        self._holds |= {news.server: news for news in digest.holds}

    def take(self) -> HostDigest | None:
        """Return all that waits and empty the outbox; None if nothing waits."""
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
