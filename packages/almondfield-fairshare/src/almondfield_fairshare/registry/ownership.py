"""Which of several pools that select a server may grant its slots."""

from collections.abc import Iterable

from almondfield_core.clock import now
from almondfield_core.findings import Finding
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.tables import Pool
from almondfield_fairshare.registry.core import owner_pool, selects_server

__all__ = ["ServerOwnership"]


class ServerOwnership:
    """Servers of one pool, and from when on their slots may be granted.

    A server passes to another pool only once the scheduler of the earlier one must
    have seen the tables, and the grants that it gave before have ended.

    :param pool: name of the pool.
    :param new: whether the pool has never had a scheduler.
    :param wait_s: seconds to wait before a server's slots are granted by this pool.
    """

    def __init__(self, pool: str, new: bool, wait_s: float) -> None:
        self._pool = pool
        self._new = new
        self._wait_s = wait_s
        self._granted_from_s: dict[str, float] = {}
        self._other_owner: dict[str, str] = {}

    def settle(
        self, pools: Iterable[Pool], servers: Iterable[ServerAnnouncement]
    ) -> set[str]:
        """Return the names of the servers whose slots may be granted now.

        :param pools: rows of the pools table.
        :param servers: announced servers.
        """
        rows = tuple(pools)
        allowed = set()
        for server in servers:
            owner = owner_pool(rows, server)
            if owner == self._pool:
                self._take(rows, server)
                if self._granted_from_s[server.name] <= now():
                    allowed.add(server.name)
            else:
                self._other_owner[server.name] = owner
                self._granted_from_s.pop(server.name, None)
        return allowed

    def findings(
        self, pool: Pool, servers: Iterable[ServerAnnouncement]
    ) -> tuple[Finding, ...]:
        """Return the servers that the pool selects and another pool uses.

        :param pool: row of the pool.
        :param servers: announced servers.
        """
        return tuple(
            Finding(
                f"pools[{self._pool}].selects",
                f"server {server.name!r} is used by pool"
                f" {self._other_owner[server.name]!r}",
                "selectors of which each server meets one; the first pool by name"
                " uses a server that meets several",
            )
            for server in servers
            if selects_server(pool, server)
            and self._other_owner.get(server.name, "") not in ("", self._pool)
        )

    def _take(self, rows: tuple[Pool, ...], server: ServerAnnouncement) -> None:
        """Note from when on a server's slots may be granted."""
        if server.name in self._granted_from_s:
            return
        selecting = sum(selects_server(row, server) for row in rows)
        before = self._other_owner.pop(server.name, "")
        shared = selecting > 1 or before
        wait_s = self._wait_s if shared or (self._new and server.busy) else 0.0
        self._granted_from_s[server.name] = now() + wait_s
