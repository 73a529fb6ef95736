"""Lookup of the routes, pools and teams of one routing table."""

from almondfield_core.routing.core import (
    RouteRule,
    RoutingTable,
    ServerPool,
    TeamKeys,
)

__all__ = ["RoutingIndex"]


class RoutingIndex:
    """Index of one routing table by the keys of its rows.

    :param table: the table.

    :ivar table: the table.
    :ivar pool_by_name: the pools of the table by name.
    """

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self.pool_by_name: dict[str, ServerPool] = {p.name: p for p in table.pools}
        self._team_by_key_hash: dict[str, TeamKeys] = {
            key_hash: team for team in table.teams for key_hash in team.key_hashes
        }
        self._route_by_prefix_by_domain: dict[str, dict[str, RouteRule]] = {}
        for route in table.routes:
            by_prefix = self._route_by_prefix_by_domain.setdefault(route.domain, {})
            by_prefix[route.path_prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that are not public need a key."""
        return bool(self.table.teams)

    def route(self, domain: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix that matches the path, if any.

        :param domain: domain name that the request is addressed to, without a port.
        :param path: path of the request.
        """
        by_prefix = self._route_by_prefix_by_domain.get(domain)
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def team(self, key_hash: str) -> TeamKeys | None:
        """Return the team that a key belongs to, if any.

        :param key_hash: SHA-256 of the key, in hexadecimal.
        """
        return self._team_by_key_hash.get(key_hash)
