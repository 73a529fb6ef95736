"""Index of the tables by the keys of their rows, updated row by row."""

from collections import Counter

from almondfield_core.tables.core import Pool, Route, Tables
from almondfield_core.tables.rows import RouteKey, TableRows

__all__ = ["TableIndex"]

_EMPTY = Tables()


class TableIndex:
    """Index of the rows by their keys; an update does not iterate over all rows.

    :param tables: the initial tables, in which no key is repeated.

    :ivar pool_by_name: rows of the pools table by name.
    :ivar routes_by_team: each team's routes by path prefix.
    :ivar team_by_key_hash: the team that each key belongs to.
    :ivar route_count_by_pool: number of routes that name each pool.
    """

    def __init__(self, tables: Tables = _EMPTY) -> None:
        self.pool_by_name: dict[str, Pool] = {pool.name: pool for pool in tables.pools}
        self.routes_by_team: dict[str, dict[str, Route]] = {}
        self.team_by_key_hash = {
            key_hash: route.team
            for route in tables.routes
            for key_hash in route.key_hashes
        }
        self.route_count_by_pool = Counter(route.pool for route in tables.routes)
        self._route_by_key = {
            (route.team, route.path_prefix): route for route in tables.routes
        }
        for route in tables.routes:
            self.routes_by_team.setdefault(route.team, {})[route.path_prefix] = route

    @property
    def route_count(self) -> int:
        """Return the number of rows of the routes table."""
        return len(self._route_by_key)

    def route_of(self, team: str, path_prefix: str) -> Route | None:
        """Return a row of the routes table, or None if there is none.

        :param team: name of the team.
        :param path_prefix: prefix of the request's path.
        """
        return self._route_by_key.get((team, path_prefix))

    def tables(self, revision: int) -> Tables:
        """Return the whole tables.

        Rows keep their order and new ones come last; the rows are not copied.

        :param revision: revision of the tables.
        """
        pools = tuple(self.pool_by_name.values())
        return Tables(revision, pools, tuple(self._route_by_key.values()))

    def replaced_by(self, rows: TableRows) -> TableRows:
        """Return the rows that a change replaces or removes, as rows to put.

        :param rows: the change.
        """
        names = (*(pool.name for pool in rows.put_pools), *rows.removed_pools)
        keys = (*rows.put_routes, *rows.removed_routes)
        routes = (self.route_of(key.team, key.path_prefix) for key in keys)
        return TableRows(
            put_pools=tuple(
                self.pool_by_name[name] for name in names if name in self.pool_by_name
            ),
            put_routes=tuple(route for route in routes if route is not None),
        )

    def apply(self, rows: TableRows) -> None:
        """Put and remove rows.

        :param rows: the change; keys of missing rows to remove are ignored.
        """
        for name in rows.removed_pools:
            self.pool_by_name.pop(name, None)
        for key in rows.removed_routes:
            self._remove_route(key)
        for pool in rows.put_pools:
            self.pool_by_name[pool.name] = pool
        # A key may move to another team. All replaced rows are removed from the
        # indexes first, so that the key then belongs to the new team.
        for route in rows.put_routes:
            if (route.team, route.path_prefix) in self._route_by_key:
                self._unindex_route(route.team, route.path_prefix)
        for route in rows.put_routes:
            self._put_route(route)

    def _put_route(self, route: Route) -> None:
        self._route_by_key[(route.team, route.path_prefix)] = route
        self.routes_by_team.setdefault(route.team, {})[route.path_prefix] = route
        self.route_count_by_pool[route.pool] += 1
        for key_hash in route.key_hashes:
            self.team_by_key_hash[key_hash] = route.team

    def _remove_route(self, key: RouteKey) -> None:
        self._unindex_route(key.team, key.path_prefix)
        self._route_by_key.pop((key.team, key.path_prefix), None)

    def _unindex_route(self, team: str, path_prefix: str) -> None:
        """Remove a route from every index except the one that keeps the row order."""
        route = self.routes_by_team.get(team, {}).pop(path_prefix, None)
        if route is None:
            return
        self.route_count_by_pool[route.pool] -= 1
        if not self.route_count_by_pool[route.pool]:
            del self.route_count_by_pool[route.pool]
        others = self.routes_by_team[team].values()
        if not others:
            del self.routes_by_team[team]
        kept = {key_hash for other in others for key_hash in other.key_hashes}
        for key_hash in route.key_hashes:
            if key_hash not in kept:
                self.team_by_key_hash.pop(key_hash, None)
