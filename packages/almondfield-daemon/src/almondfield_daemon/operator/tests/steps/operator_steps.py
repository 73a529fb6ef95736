"""Steps of operator.feature."""

import threading
from unittest import mock

import eliot
import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from almondfield_core.findings import structure
from almondfield_core.messages import ControlUnavailable, TableChange
from almondfield_core.tables import Pool, Route
from almondfield_daemon.operator import build_operator_app, coding
from almondfield_testing import run
from almondfield_testing.operators import (
    OPERATOR_TOKEN,
    FakeControl,
    call_app,
    make_node,
)

BODY_LIMIT = 16 * 1024 * 1024


def post(context, path, body):
    context.response = run(context, call_app(context.app, "POST", path, body))


def get(context, path):
    return run(context, call_app(context.app, "GET", path))


@given("the operator interface of a host")
def step_impl(context):
    context.control = FakeControl()
    context.app = build_operator_app(make_node(context.control), OPERATOR_TOKEN)
    context.log = []
    eliot.add_destinations(context.log.append)
    context.add_cleanup(eliot.remove_destination, context.log.append)


@given("no quorum can be reached")
def step_impl(context):
    context.control.unavailable = ControlUnavailable("no leader", True)


@given("changes do not come into force")
def step_impl(context):
    context.control.in_force = False


@given("the tables of the host are stale")
def step_impl(context):
    context.control.freshness_s = 0.0


@when(
    'a change "{change_id}" against revision {revision:d} is posted with wait {wait:d}'
)
def step_impl(context, change_id, revision, wait):
    change = TableChange(
        change_id, "ann", revision, (Pool("p"),), (Route("t", "/", "p"),)
    )
    post(context, f"/v1/changes?wait={wait}", msgspec.json.encode(change))


@when('the rows of change "{change_id}" against revision {revision:d} are posted')
def step_impl(context, change_id, revision):
    metadata = f'"change_id":"{change_id}","author":"bob","expect_revision":{revision}'
    body = f'{{{metadata},"rows":{context.text}}}'
    post(context, "/v1/row-changes", body.encode())


@then('the tables have the pools "{pools}" and routes of "{teams}"')
def step_impl(context, pools, teams):
    tables = context.control.tables
    assert " ".join(pool.name for pool in tables.pools) == pools, tables
    assert " ".join(route.team for route in tables.routes) == teams, tables


@then('the response is {status:d} and its body contains "{text}"')
def step_impl(context, status, text):
    assert context.response.status == status, context.response
    assert text in context.response.body.decode(), context.response


@when("a change with a route to an unknown pool is posted")
def step_impl(context):
    change = TableChange("c1", "ann", 0, (), (Route("t", "/", "none"),))
    post(context, "/v1/changes", msgspec.json.encode(change))


@when("a change with {count:d} routes is posted")
def step_impl(context, count):
    routes = tuple(Route(f"team-{number}", "/", "p") for number in range(count))
    context.parsing_threads = set()

    def record_thread(*args):
        context.parsing_threads.add(threading.get_ident())
        return structure(*args)

    with mock.patch.object(coding, "structure", record_thread):
        change = TableChange("c1", "ann", 0, (Pool("p"),), routes)
        post(context, "/v1/changes", msgspec.json.encode(change))


@then("the body was parsed outside the thread of the event loop")
def step_impl(context):
    assert len(context.parsing_threads) == 1
    assert threading.get_ident() not in context.parsing_threads


@then("the body was parsed in the event loop")
def step_impl(context):
    assert context.parsing_threads == {threading.get_ident()}


@when('"{path}" is requested with the authorization "{authorization}"')
def step_impl(context, path, authorization):
    headers = {} if authorization == "none" else {"authorization": authorization}
    call = call_app(context.app, "GET", path, headers=headers)
    context.response = run(context, call)


@when('the host receives a request to drain "{host}"')
def step_impl(context, host):
    post(context, "/v1/drain", msgspec.json.encode({"host": host}))


@when('"{operation}" is requested for the voter on "{host}"')
def step_impl(context, operation, host):
    post(context, f"/v1/voters/{operation}", msgspec.json.encode({"host": host}))


@then("the response is {status:d} with the body")
def step_impl(context, status):
    assert context.response.status == status, context.response
    assert context.response.body.decode() == context.text, context.response


@then("the response status is {status:d}")
def step_impl(context, status):
    assert context.response.status == status, context.response


@then('the header "{name}" is "{value}"')
def step_impl(context, name, value):
    assert context.response.headers[name] == value


@then("the tables are at revision {revision:d}")
def step_impl(context, revision):
    body = msgspec.json.decode(get(context, "/v1/tables").body)
    assert body["revision"] == revision, body


@then("the log entries are")
def step_impl(context):
    logged = [
        (message["message_type"], str(message["done"]), message["result"])
        for message in context.log
    ]
    expected = [(row["message"], row["done"], row["result"]) for row in context.table]
    assert logged == expected, logged
    assert OPERATOR_TOKEN not in str(context.log)


@then("{seconds:d} seconds have passed")
def step_impl(context, seconds):
    assert context.loop.time() >= seconds


@then('"{path}" returns {status:d}')
def step_impl(context, path, status):
    response = get(context, path)
    assert response.status == status, response


json_values = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=6)),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=6,
)
change_objects = st.fixed_dictionaries(
    {},
    optional={
        "change_id": json_values,
        "author": json_values,
        "expect_revision": json_values,
        "pools": st.lists(json_values, min_size=1, max_size=2),
        "routes": json_values,
    },
)
bodies = st.one_of(
    st.binary(max_size=40),
    json_values.map(msgspec.json.encode),
    change_objects.map(msgspec.json.encode),
)


@then("{count:d} malformed bodies are each refused")
def step_impl(context, count):
    statuses = []

    @settings(derandomize=True, max_examples=count, database=None, deadline=None)
    @for_all(bodies, st.sampled_from(["/v1/changes", "/v1/drain", "/v1/voters/admit"]))
    def check(body, path):
        post(context, path, body)
        statuses.append(context.response.status)
        assert context.response.status in (400, 422), (path, body, context.response)
        findings = msgspec.json.decode(context.response.body)["findings"]
        assert findings, context.response

    check()
    assert len(statuses) >= count, len(statuses)
    post(context, "/v1/changes", b"[" * 100_000)
    assert context.response.status == 400, context.response
    post(context, "/v1/changes", b" " * (BODY_LIMIT + 1))
    assert context.response.status == 413, context.response
