"""Plans: the team, route and pool of a request."""

import itertools
from dataclasses import dataclass
from operator import is_not

from result import Err, Ok, Result

from almondfield_core.tables import (
    Pool,
    Route,
    RouteKey,
    TableIndex,
    TableRows,
    Tables,
    hash_key,
)
from almondfield_daemon.router.calls import Header
from almondfield_daemon.router.problems import Problem, permanent_problem

__all__ = ["CallerRequest", "Plan", "PlanIndex"]

Routes = tuple[Route, ...]


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request with its complete body.

    :ivar method: HTTP method.
    :ivar path: decoded path.
    :ivar target: path and query as sent.
    :ivar headers: headers as sent.
    :ivar key: team key that the caller presented; empty if there is none.
    :ivar request_id: identifier of the request in logs.
    :ivar idempotency_key: value of ``Idempotency-Key``; empty if there is none.
    :ivar body: the complete body.
    """

    method: str
    path: str
    target: bytes
    headers: tuple[Header, ...]
    key: str
    request_id: str
    idempotency_key: str = ""
    body: bytes = b""


@dataclass(frozen=True)
class Plan:
    """How to serve a request under one revision of the tables.

    :ivar revision: revision of the tables.
    :ivar route: the team's route with the longest matching prefix.
    :ivar pool: the route's pool.
    :ivar repeatable: whether the request may be sent more than once.
    """

    revision: int
    route: Route
    pool: Pool
    repeatable: bool


class PlanIndex:
    """Finds routes by key and path; applies only the changed rows of new tables."""

    def __init__(self) -> None:
        self._tables = Tables()
        self._index = TableIndex()
        # Routes of each team that was looked up, longest prefix first.
        self._sorted_by_team: dict[str, list[Route]] = {}
        self._pool_by_name: dict[str, Pool] = {}

    def plan(self, tables: Tables, request: CallerRequest) -> Result[Plan, Problem]:
        """Return how to serve a request.

        :param tables: the newest tables.
        :param request: the request; its body is ignored.
        """
        if tables is not self._tables:
            self._update(tables)
        if not request.key:
            detail = "no team key; allowed: authorization: Bearer KEY"
            return Err(permanent_problem(401, "no-team-key", detail))
        team = self._index.team_by_key_hash.get(hash_key(request.key))
        if team is None:
            return Err(
                permanent_problem(401, "unknown-team-key", "the key belongs to no team")
            )
        for route in self._routes_of(team):
            if request.path.startswith(route.path_prefix):
                return self._plan_with_pool(tables, route, request)
        detail = f"team {team!r} has no route for path {request.path!r}"
        return Err(permanent_problem(404, "no-route", detail))

    def _plan_with_pool(
        self, tables: Tables, route: Route, request: CallerRequest
    ) -> Result[Plan, Problem]:
        pool = self._pool_by_name.get(route.pool)
        if pool is None:
            return Err(permanent_problem(404, "no-pool", f"no pool {route.pool!r}"))
        repeatable = request.method in route.idempotent_methods
        return Ok(Plan(tables.revision, route, pool, repeatable))

    def _routes_of(self, team: str) -> list[Route]:
        routes = self._sorted_by_team.get(team)
        if routes is None:
            routes = sorted(
                self._index.routes_by_team[team].values(),
                key=lambda route: len(route.path_prefix),
                reverse=True,
            )
            self._sorted_by_team[team] = routes
        return routes

    def _update(self, tables: Tables) -> None:
        """Apply the routes that are not the same objects as before."""
        rows = _changed_routes(self._tables.routes, tables.routes)
        if len(rows.put_routes) == len(tables.routes):
            self._index = TableIndex(tables)
            self._sorted_by_team.clear()
        else:
            self._index.apply(rows)
        for row in (*rows.put_routes, *rows.removed_routes):
            self._sorted_by_team.pop(row.team, None)
        self._pool_by_name = {pool.name: pool for pool in tables.pools}
        self._tables = tables


def _changed_routes(before: Routes, after: Routes) -> TableRows:
    """Return the routes put and removed; unchanged routes must be the same objects.

    Comparing object identity is fast even for large tables.
    """
    start = _common_prefix_length(before, after)
    before, after = before[start:], after[start:]
    end = _common_prefix_length(before[::-1], after[::-1])
    old_by_id = _route_by_id(before[: len(before) - end])
    new_by_id = _route_by_id(after[: len(after) - end])
    put = tuple(new_by_id[item] for item in new_by_id.keys() - old_by_id.keys())
    old_only = (old_by_id[item] for item in old_by_id.keys() - new_by_id.keys())
    put_keys = {(route.team, route.path_prefix) for route in put}
    removed = tuple(
        RouteKey(route.team, route.path_prefix)
        for route in old_only
        if (route.team, route.path_prefix) not in put_keys
    )
    return TableRows(put_routes=put, removed_routes=removed)


def _common_prefix_length(before: Routes, after: Routes) -> int:
    """Return the number of leading routes that are the same objects."""
    differing = itertools.compress(itertools.count(), map(is_not, before, after))
    return next(differing, min(len(before), len(after)))


def _route_by_id(routes: Routes) -> dict[int, Route]:
    return dict(zip(map(id, routes), routes))
