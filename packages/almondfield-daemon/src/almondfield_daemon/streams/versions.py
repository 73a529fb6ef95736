"""Software versions that served in each pool recently."""

from collections.abc import Iterable

from almondfield_core.clock import now
from almondfield_daemon.fleet import FleetServer, ServerPhase

__all__ = ["MAX_LOOKBACK_S", "MIN_LOOKBACK_S", "VersionHistory"]

MIN_LOOKBACK_S = 20.0  # longer than most callers wait for a stream
MAX_LOOKBACK_S = 120.0


class VersionHistory:
    """Versions by pool, with the last time at which a server of each was known."""

    def __init__(self) -> None:
        self._started_s = now()
        self._serving: frozenset[tuple[str, str]] = frozenset()
        self._last_seen_s: dict[tuple[str, str], float] = {}

    def is_complete(self, lookback_s: float) -> bool:
        """Return whether the history reaches as far back as it is asked for.

        :param lookback_s: seconds to look back.
        """
        return min(now() - self._started_s, MAX_LOOKBACK_S) >= lookback_s

    def update(self, servers: Iterable[FleetServer]) -> None:
        """Record the servers that are known now.

        :param servers: all known servers.
        """
        serving = frozenset(
            (server.pool, server.version)
            for server in servers
            if server.phase is not ServerPhase.GONE
        )
        for key in self._serving | serving:
            self._last_seen_s[key] = now()
        self._serving = serving

    def versions(self, pool: str, lookback_s: float) -> frozenset[str]:
        """Return the versions that served in a pool recently.

        :param pool: name of the pool.
        :param lookback_s: seconds to look back.
        """
        self._drop_old()
        cutoff_s = now() - lookback_s
        return frozenset(
            version
            for (name, version), last_seen_s in self._last_seen_s.items()
            if name == pool
            and (last_seen_s >= cutoff_s or (name, version) in self._serving)
        )

    def _drop_old(self) -> None:
        cutoff_s = now() - MAX_LOOKBACK_S
        for key, last_seen_s in list(self._last_seen_s.items()):
            if key not in self._serving and last_seen_s < cutoff_s:
                del self._last_seen_s[key]
