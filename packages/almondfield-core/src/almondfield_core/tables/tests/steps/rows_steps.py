"""Steps of rows.feature."""

from dataclasses import replace

from behave import then, when
from hypothesis import assume, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from almondfield_core.tables import (
    Pool,
    Route,
    RouteKey,
    TableIndex,
    TableRows,
    Tables,
    check_rows,
    check_tables,
    hash_key,
    rows_between,
)

FOALS = Route("foals", "/v1", "writing", (hash_key("foal"),))
MARES = Route("mares", "/v1", "writing", (hash_key("mare"),))
VALID = Tables(
    revision=7,
    pools=(Pool("writing"), Pool("spare")),
    routes=(FOALS, MARES, Route("mares", "/v2", "writing")),
)
ROWS_BY_CHANGE = {
    "removes a pool in use": TableRows(removed_pools=("writing",)),
    "removes a missing pool": TableRows(removed_pools=("gone",)),
    "removes a route twice": TableRows(
        removed_routes=(RouteKey("foals", "/v1"), RouteKey("foals", "/v1"))
    ),
    "puts a route to a missing pool": TableRows(
        put_routes=(Route("colts", "/", "gone"),)
    ),
    "uses the key of another team": TableRows(
        put_routes=(replace(MARES, key_hashes=FOALS.key_hashes),)
    ),
}

NAMES = ("a", "b", "c")
pools = st.lists(
    st.builds(Pool, st.sampled_from(NAMES), typical_cost=st.sampled_from([1.0, 2.0])),
    unique_by=lambda pool: pool.name,
)
routes = st.lists(
    st.builds(
        Route,
        team=st.sampled_from(NAMES),
        path_prefix=st.sampled_from(["/", "/v1"]),
        pool=st.sampled_from(NAMES),
        key_hashes=st.lists(
            st.sampled_from([hash_key(name) for name in NAMES]),
            max_size=1,
        ).map(tuple),
        weight=st.sampled_from([1.0, 1.0, 2.0]),
    ),
    unique_by=lambda route: (route.team, route.path_prefix),
    max_size=4,
)
tables = st.builds(Tables, st.just(1), pools.map(tuple), routes.map(tuple))


def contents(index):
    return (
        index.pool_by_name,
        index.routes_by_team,
        index.team_by_key_hash,
        index.route_count_by_pool,
        index.route_count,
    )


def is_valid(candidate):
    return not check_tables(candidate.pools, candidate.routes)


@then("for {count:d} pairs of tables the changes of rows turn one into the other")
def step_impl(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @for_all(tables.filter(is_valid), tables.filter(is_valid))
    def check(old, new):
        index = TableIndex(old)
        index.apply(rows_between(old, new))
        assert contents(index) == contents(TableIndex(new))
        assert not len(rows_between(index.tables(1), new))

    check()


@then("{count:d} changes of rows have findings exactly if the resulting tables have")
def step_impl(context, count):
    outcomes = set()

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @for_all(tables.filter(is_valid), tables)
    def check(old, new):
        assume(old.routes)
        findings = check_rows(TableIndex(old), rows_between(old, new))
        assert bool(findings) == (not is_valid(new)), findings
        outcomes.add(bool(findings))

    check()
    assert outcomes == {True, False}


@when("a change {change}")
def step_impl(context, change):
    context.findings = check_rows(TableIndex(VALID), ROWS_BY_CHANGE[change])


@then('the findings of the change are "{finding}"')
def step_impl(context, finding):
    found = "\n".join(map(str, context.findings))
    assert found == finding, found
