"""Which team, route and pool a request belongs to."""

from collections import defaultdict
from dataclasses import dataclass

from almondfield_core.tables import Pool, Route, Tables, hash_key
from result import Err, Ok, Result

from almondfield_daemon.router.calls import Header
from almondfield_daemon.router.problems import Problem, refuse

__all__ = ["CallerRequest", "Plan", "PlanIndex"]


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request with its whole body.

    :ivar method: HTTP method.
    :ivar path: decoded path.
    :ivar target: path and query as sent.
    :ivar headers: headers as sent.
    :ivar key: team key that the caller presented; empty without one.
    :ivar request_id: identifier of the request in logs.
    :ivar idempotency_key: value of ``Idempotency-Key``; empty without one.
    :ivar body: the whole body.
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
    """How a request is to be served under one revision of the tables.

    :ivar revision: revision of the tables.
    :ivar route: the team's route with the longest matching prefix.
    :ivar pool: the pool that it names.
    :ivar repeatable: whether the request may be sent more than once.
    """

    revision: int
    route: Route
    pool: Pool
    repeatable: bool


class PlanIndex:
    """Finds routes by key and path; rebuilt when the tables change."""

    def __init__(self) -> None:
        self._tables: Tables | None = None
        self._team_by_key_hash: dict[str, str] = {}
        self._routes_by_team: dict[str, list[Route]] = {}
        self._pool_by_name: dict[str, Pool] = {}

    def plan(self, tables: Tables, request: CallerRequest) -> Result[Plan, Problem]:
        """Return how to serve a request.

        :param tables: the newest tables.
        :param request: the request; its body doesn't matter here.
        """
        if tables is not self._tables:
            self._rebuild(tables)
        if not request.key:
            detail = "no team key; allowed: authorization: Bearer KEY"
            return Err(refuse(401, "no-team-key", detail))
        team = self._team_by_key_hash.get(hash_key(request.key))
        if team is None:
            return Err(refuse(401, "unknown-team-key", "the key belongs to no team"))
        for route in self._routes_by_team[team]:
            if request.path.startswith(route.path_prefix):
                return self._with_pool(tables, route, request)
        detail = f"team {team!r} has no route for path {request.path!r}"
        return Err(refuse(404, "no-route", detail))

    def _with_pool(
        self, tables: Tables, route: Route, request: CallerRequest
    ) -> Result[Plan, Problem]:
        pool = self._pool_by_name.get(route.pool)
        if pool is None:
            return Err(refuse(404, "no-pool", f"no pool {route.pool!r}"))
        repeatable = request.method in route.idempotent_methods
        return Ok(Plan(tables.revision, route, pool, repeatable))

    def _rebuild(self, tables: Tables) -> None:
        routes_by_team: dict[str, list[Route]] = defaultdict(list)
        team_by_key_hash = {}
        for route in tables.routes:
            routes_by_team[route.team].append(route)
            for key_hash in route.key_hashes:
                team_by_key_hash[key_hash.lower()] = route.team
        for routes in routes_by_team.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._routes_by_team = dict(routes_by_team)
        self._team_by_key_hash = team_by_key_hash
        self._pool_by_name = {pool.name: pool for pool in tables.pools}
        self._tables = tables
