"""Checks a change of rows against the tables that it changes."""

from collections import Counter
from collections.abc import Iterator

from almondfield_core.findings import Finding, format_value
from almondfield_core.tables.checking import check_named_rows, check_row_counts
from almondfield_core.tables.core import Pool, Route
from almondfield_core.tables.index import TableIndex
from almondfield_core.tables.rows import RouteKey, TableRows

__all__ = ["check_rows"]


def check_rows(index: TableIndex, rows: TableRows) -> tuple[Finding, ...]:
    """Return a finding for each problem with the tables after a change of rows.

    Only rows that the change can make invalid are checked: those that it puts, the
    other routes of their teams, and routes that have the same keys or removed pools.

    :param index: the tables before the change, which have no findings.
    :param rows: the change.
    """
    findings = (*_check_keys(index, rows), *_check_counts(index, rows))
    if findings:
        return findings
    routes = _affected_routes(index, rows)
    pools = _affected_pools(index, rows, routes)
    return (
        *check_named_rows(
            pools,
            routes,
            lambda position: _place_of_pool(pools[position].name),
            lambda position: _place_of_route(routes[position]),
        ),
        *_find_pools_in_use(index, rows),
    )


def _place_of_pool(name: str) -> str:
    return f"pool {format_value(name)}"


def _place_of_route(route: Route | RouteKey) -> str:
    return f"route {format_value(route.team)} {route.path_prefix}"


def _check_keys(index: TableIndex, rows: TableRows) -> Iterator[Finding]:
    """Return findings of rows named more than once and of missing rows to remove."""
    names = [*(pool.name for pool in rows.put_pools), *rows.removed_pools]
    for name, count in Counter(names).items():
        if count > 1:
            yield Finding(_place_of_pool(name), f"is named {count} times", "once")
    for name in rows.removed_pools:
        if name not in index.pool_by_name:
            yield Finding(
                _place_of_pool(name), "does not exist, so it cannot be removed"
            )
    put = [RouteKey(route.team, route.path_prefix) for route in rows.put_routes]
    for key, count in Counter((*put, *rows.removed_routes)).items():
        if count > 1:
            yield Finding(_place_of_route(key), f"is named {count} times", "once")
    for key in rows.removed_routes:
        if index.route_of(key.team, key.path_prefix) is None:
            yield Finding(
                _place_of_route(key), "does not exist, so it cannot be removed"
            )


def _check_counts(index: TableIndex, rows: TableRows) -> Iterator[Finding]:
    replaced = index.replaced_by(rows)
    pools = len(index.pool_by_name) + len(rows.put_pools) - len(replaced.put_pools)
    routes = index.route_count + len(rows.put_routes) - len(replaced.put_routes)
    return check_row_counts(pools, routes)


def _affected_routes(index: TableIndex, rows: TableRows) -> list[Route]:
    """Return the routes after the change that share a team or key with those put.

    The routes that the change puts come last, so that conflicts are reported there.
    """
    teams = {route.team: None for route in rows.put_routes}
    for route in rows.put_routes:
        for key_hash in route.key_hashes:
            owner = index.team_by_key_hash.get(key_hash)
            if owner is not None:
                teams[owner] = None
    changed = {
        (key.team, key.path_prefix) for key in (*rows.put_routes, *rows.removed_routes)
    }
    kept = [
        route
        for team in teams
        for route in index.routes_by_team.get(team, {}).values()
        if (route.team, route.path_prefix) not in changed
    ]
    return [*kept, *rows.put_routes]


def _affected_pools(
    index: TableIndex, rows: TableRows, routes: list[Route]
) -> list[Pool]:
    """Return the pools that the change puts and those that the routes use."""
    pool_by_name = {pool.name: pool for pool in rows.put_pools}
    removed = set(rows.removed_pools)
    for route in routes:
        pool = index.pool_by_name.get(route.pool)
        if pool is not None and pool.name not in removed:
            pool_by_name.setdefault(pool.name, pool)
    return list(pool_by_name.values())


def _find_pools_in_use(index: TableIndex, rows: TableRows) -> Iterator[Finding]:
    if not rows.removed_pools:
        return
    replaced = Counter(route.pool for route in index.replaced_by(rows).put_routes)
    for name in rows.removed_pools:
        count = index.route_count_by_pool[name] - replaced[name]
        if count:
            problem = f"is removed, but {count} routes name it"
            yield Finding(_place_of_pool(name), problem, "remove or move them too")
