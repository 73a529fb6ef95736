"""Steps of plans.feature."""

from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from almondfield_core.tables import (
    Pool,
    Route,
    RouteKey,
    TableIndex,
    TableRows,
    Tables,
    hash_key,
)
from almondfield_daemon.router.plans import CallerRequest, PlanIndex

TEAMS = ("foals", "mares", "colts")
PREFIXES = ("/", "/v1", "/v1/long")
INITIAL_TABLES = Tables(
    1,
    (Pool("a"), Pool("b")),
    tuple(Route(team, "/", "a", (hash_key(team),)) for team in TEAMS),
)

puts = st.builds(
    Route,
    team=st.sampled_from(TEAMS),
    path_prefix=st.sampled_from(PREFIXES),
    pool=st.sampled_from(["a", "b"]),
)
removals = st.builds(RouteKey, st.sampled_from(TEAMS), st.sampled_from(PREFIXES))
changes = st.one_of(
    st.builds(TableRows, put_routes=st.tuples(puts)),
    st.builds(TableRows, removed_routes=st.tuples(removals)),
    st.builds(TableRows, put_pools=st.tuples(st.just(Pool("a", typical_cost=2.0)))),
)


def find_plans(index, tables):
    requests = (
        CallerRequest("GET", path, path.encode(), (), team, "r1")
        for team in (*TEAMS, "nobody")
        for path in PREFIXES
    )
    return [index.plan(tables, request) for request in requests]


@then("plans after {count:d} random sequences of revisions match those of a new index")
def step_impl(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @for_all(st.lists(changes, min_size=1, max_size=6))
    def check(sequence):
        table_index, updated = TableIndex(INITIAL_TABLES), PlanIndex()
        find_plans(updated, INITIAL_TABLES)
        for revision, rows in enumerate(sequence, 2):
            table_index.apply(rows)
            tables = table_index.tables(revision)
            assert find_plans(updated, tables) == find_plans(PlanIndex(), tables)

    check()
