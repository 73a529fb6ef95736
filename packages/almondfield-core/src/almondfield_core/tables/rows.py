"""Changes of rows between two revisions of the tables."""

from dataclasses import dataclass

from almondfield_core.tables.core import Pool, Route, Tables

__all__ = ["RouteKey", "TableRows", "rows_between"]


@dataclass(frozen=True, order=True)
class RouteKey:
    """Identifies one row of the routes table.

    :ivar team: name of the team.
    :ivar path_prefix: prefix of the request's path.
    """

    team: str
    path_prefix: str


@dataclass(frozen=True)
class TableRows:
    """Rows to put into the tables and keys of rows to remove; no key is in both.

    :ivar put_pools: pools that are new or replace the row of the same name.
    :ivar removed_pools: names of pools to remove.
    :ivar put_routes: routes that are new or replace the row of the same key.
    :ivar removed_routes: keys of routes to remove.
    """

    put_pools: tuple[Pool, ...] = ()
    removed_pools: tuple[str, ...] = ()
    put_routes: tuple[Route, ...] = ()
    removed_routes: tuple[RouteKey, ...] = ()

    def __len__(self) -> int:
        """Return the number of rows that are put or removed."""
        put = len(self.put_pools) + len(self.put_routes)
        return put + len(self.removed_pools) + len(self.removed_routes)


def rows_between(old: Tables, new: Tables) -> TableRows:
    """Return the changes of rows that turn one version of the tables into another.

    The order of the rows has no meaning and is not compared.

    :param old: the tables before.
    :param new: the tables after.
    """
    old_pools = {pool.name: pool for pool in old.pools}
    new_pools = {pool.name: pool for pool in new.pools}
    old_routes = {(route.team, route.path_prefix): route for route in old.routes}
    new_routes = {(route.team, route.path_prefix): route for route in new.routes}
    return TableRows(
        put_pools=tuple(
            pool for name, pool in new_pools.items() if old_pools.get(name) != pool
        ),
        removed_pools=tuple(name for name in old_pools if name not in new_pools),
        put_routes=tuple(
            route for key, route in new_routes.items() if old_routes.get(key) != route
        ),
        removed_routes=tuple(
            RouteKey(*key) for key in old_routes if key not in new_routes
        ),
    )
