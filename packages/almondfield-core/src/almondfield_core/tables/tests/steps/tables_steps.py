"""Steps of tables.feature."""

import dataclasses
import tempfile
from pathlib import Path

import tomlkit
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Err

from almondfield_core.findings import structure
from almondfield_core.tables import (
    Pool,
    Route,
    Selector,
    Tables,
    check_tables,
    difference,
    dump_tables,
    hash_key,
    load_tables,
)

VALID = Tables(
    revision=7,
    pools=(
        Pool("writing", selects=Selector("saga", adapters=("is",)), wanted_servers=2),
        Pool("spare", selects=Selector(label_by_name={"rack": "3"})),
    ),
    routes=(
        Route("foals", "/v1", "writing", (hash_key("a-foal"),), weight=3.0),
        Route("mares", "/v1", "writing", (hash_key("a-mare"),)),
        Route("mares", "/v1/long", "writing"),
    ),
)


def load_text(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "tables.toml"
        path.write_text(text)
        return load_tables(path)


@given("a tables file with two pools and three routes")
def step_impl(context):
    context.tables_text = dump_tables(VALID)


@given("a tables file with")
def step_impl(context):
    context.tables_text = context.text


@given("a tables file in which two teams have the same key")
def step_impl(context):
    key_hashes = (hash_key("a-foal"),)
    routes = (
        Route("foals", "/", "writing", key_hashes),
        Route("mares", "/", "writing", key_hashes),
    )
    context.tables_text = dump_tables(Tables(pools=(Pool("writing"),), routes=routes))


@when("the tables are loaded")
def step_impl(context):
    context.loaded = load_text(context.tables_text)


@when("one pool is removed, one route altered and one added")
def step_impl(context):
    foals, mares, long_route = VALID.routes
    altered = dataclasses.replace(mares, weight=2.5)
    added = Route("colts", "/", "writing")
    routes = (foals, altered, long_route, added)
    context.lines = difference(
        context.loaded.unwrap(), Tables(pools=VALID.pools[:1], routes=routes)
    )


@then("there are no findings")
def step_impl(context):
    assert context.loaded.unwrap() == VALID


@then("writing and reading them again gives the same tables")
def step_impl(context):
    tables = context.loaded.unwrap()
    assert load_text(dump_tables(tables)).unwrap() == tables


@then("the findings are")
def step_impl(context):
    found = {
        (finding.place.partition("tables.toml: ")[2], finding.problem, finding.allowed)
        for finding in context.loaded.unwrap_err()
    }
    expected = {(row["place"], row["problem"], row["allowed"]) for row in context.table}
    assert found == expected, found ^ expected


@then('the only finding is at "{place}"')
def step_impl(context, place):
    (finding,) = context.loaded.unwrap_err()
    assert finding.place.endswith(place), finding


@then('the only finding says "{text}"')
def step_impl(context, text):
    (finding,) = context.loaded.unwrap_err()
    assert text in finding.problem, finding


@then("the difference is")
def step_impl(context):
    assert "\n".join(context.lines) == context.text, context.lines


# Plain values of several types. Each pool below is invalid for any value drawn.
plain = st.one_of(
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
    st.datetimes(),
    st.none(),
)
invalid_pools = st.one_of(
    st.fixed_dictionaries({"name": plain.filter(lambda v: not isinstance(v, str))}),
    st.fixed_dictionaries({"name": st.just("")}, optional={"kind": plain}),
    st.fixed_dictionaries(
        {
            "name": st.just("p"),
            "selects": plain.filter(lambda v: v != {}),
            "timeouts": plain,
        }
    ),
    plain.filter(lambda v: not isinstance(v, dict)),
)
invalid_routes = st.fixed_dictionaries(
    {"team": plain, "path_prefix": plain, "pool": plain},
    optional={"weight": plain, "key_hashes": plain, "queue_limit": plain},
)


@then("{count:d} malformed tables each give findings")
def step_impl(context, count):
    examples = []

    @settings(derandomize=True, max_examples=count, database=None, deadline=None)
    @for_all(
        st.lists(invalid_pools, min_size=1, max_size=3),
        st.lists(invalid_routes, max_size=3),
    )
    def check(pools, routes):
        examples.append(1)
        read = structure({"pools": pools, "routes": routes}, Tables, "tables")
        if isinstance(read, Err):
            assert read.err_value
            return
        tables = read.ok_value
        assert check_tables(tables.pools, tables.routes), (pools, routes)

    check()
    assert len(examples) >= count, len(examples)
    for text in ("a = " + "[" * 5000, "a = 1e999999", "\x00", "[pools]", "pools = 3"):
        assert load_text(text).is_err(), text
    assert load_tables("/no/such/file").is_err()
    assert tomlkit.parse(dump_tables(Tables())) == {"revision": 0}
