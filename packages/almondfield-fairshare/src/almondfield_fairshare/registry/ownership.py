"""Ownership of servers that several pools select."""

from collections.abc import Iterable

from almondfield_core.clock import now
from almondfield_core.findings import Finding
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.tables import Pool
from almondfield_fairshare.registry.core import owner_pool, selects_server

__all__ = ["ServerOwnership"]


class ServerOwnership:
    """Servers that one pool owns, and the times from which it may grant their slots.

    After a change of owner, the new owner waits so long that the scheduler of the
    earlier owner has received the new tables and its grants have expired.

    :param pool: name of the pool.
    :param is_new: whether the pool has never had a scheduler.
    :param wait_s: seconds from acquiring a server to granting its slots.
    """

    def __init__(self, pool: str, is_new: bool, wait_s: float) -> None:
        self._pool = pool
        self._is_new = is_new
        self._wait_s = wait_s
        self._grantable_from_s: dict[str, float] = {}
        self._other_owner_by_server: dict[str, str] = {}

    def refresh(
        self, pools: Iterable[Pool], servers: Iterable[ServerAnnouncement]
    ) -> set[str]:
        """Update the owners; return the names of the servers that may be granted now.

        :param pools: rows of the pools table.
        :param servers: announced servers.
        """
        rows = tuple(pools)
        grantable = set()
        for server in servers:
            owner = owner_pool(rows, server)
            if owner == self._pool:
                self._acquire(rows, server)
                if self._grantable_from_s[server.name] <= now():
                    grantable.add(server.name)
            else:
                self._other_owner_by_server[server.name] = owner
                self._grantable_from_s.pop(server.name, None)
        return grantable

    def findings(
        self, pool: Pool, servers: Iterable[ServerAnnouncement]
    ) -> tuple[Finding, ...]:
        """Return a finding for each server that the pool selects but another one owns.

        :param pool: row of the pool.
        :param servers: announced servers.
        """
        return tuple(
            Finding(
                f"pools[{self._pool}].selects",
                f"server {server.name!r} is used by pool"
                f" {self._other_owner_by_server[server.name]!r}",
                "selectors that do not overlap; a server that several pools"
                " select is used by the first of them by name",
            )
            for server in servers
            if selects_server(pool, server)
            and self._other_owner_by_server.get(server.name, "") not in ("", self._pool)
        )

    def _acquire(self, rows: tuple[Pool, ...], server: ServerAnnouncement) -> None:
        """Set the time from which the slots of a server may be granted."""
        if server.name in self._grantable_from_s:
            return
        selecting_pools = sum(selects_server(row, server) for row in rows)
        previous_owner = self._other_owner_by_server.pop(server.name, "")
        is_contested = selecting_pools > 1 or previous_owner
        wait_s = self._wait_s if is_contested or (self._is_new and server.busy) else 0.0
        self._grantable_from_s[server.name] = now() + wait_s
