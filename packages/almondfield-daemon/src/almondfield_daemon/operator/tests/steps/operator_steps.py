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
    context.answer = run(context, call_app(context.app, "POST", path, body))


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


@given("changes do not come in force")
def step_impl(context):
    context.control.in_force = False


@given("the tables of the host are stale")
def step_impl(context):
    context.control.fresh_s = 0.0


@when('a change "{change_id}" against revision {revision:d} is posted with wait {s:d}')
def step_impl(context, change_id, revision, s):
    change = TableChange(
        change_id, "ann", revision, (Pool("p"),), (Route("t", "/", "p"),)
    )
    post(context, f"/v1/changes?wait={s}", msgspec.json.encode(change))


@when('the rows of change "{change_id}" against revision {revision:d} are posted')
def step_impl(context, change_id, revision):
    head = f'"change_id":"{change_id}","author":"bob","expect_revision":{revision}'
    body = f'{{{head},"rows":{context.text}}}'
    post(context, "/v1/row-changes", body.encode())


@then('the tables hold the pools "{pools}" and routes of "{teams}"')
def step_impl(context, pools, teams):
    tables = context.control.tables
    assert " ".join(pool.name for pool in tables.pools) == pools, tables
    assert " ".join(route.team for route in tables.routes) == teams, tables


@then('the answer is {status:d} and its body holds "{words}"')
def step_impl(context, status, words):
    assert context.answer.status == status, context.answer
    assert words in context.answer.body.decode(), context.answer


@when("a change with a route to no pool is posted")
def step_impl(context):
    change = TableChange("c1", "ann", 0, (), (Route("t", "/", "none"),))
    post(context, "/v1/changes", msgspec.json.encode(change))


@when("a change with {count:d} routes is posted")
def step_impl(context, count):
    routes = tuple(Route(f"team-{number}", "/", "p") for number in range(count))
    context.reading_threads = set()

    def watched(*args):
        context.reading_threads.add(threading.get_ident())
        return structure(*args)

    with mock.patch.object(coding, "structure", watched):
        change = TableChange("c1", "ann", 0, (Pool("p"),), routes)
        post(context, "/v1/changes", msgspec.json.encode(change))


@then("the body was read in a thread beside the event loop")
def step_impl(context):
    assert len(context.reading_threads) == 1
    assert threading.get_ident() not in context.reading_threads


@then("the body was read in the event loop")
def step_impl(context):
    assert context.reading_threads == {threading.get_ident()}


@when('"{path}" is asked for with the authorization "{authorization}"')
def step_impl(context, path, authorization):
    headers = {} if authorization == "none" else {"authorization": authorization}
    call = call_app(context.app, "GET", path, headers=headers)
    context.answer = run(context, call)


@when('the host is told to drain "{host}"')
def step_impl(context, host):
    post(context, "/v1/drain", msgspec.json.encode({"host": host}))


@when('"{operation}" of the voter on "{host}" is asked for')
def step_impl(context, operation, host):
    post(context, f"/v1/voters/{operation}", msgspec.json.encode({"host": host}))


@then("the answer is {status:d} and holds")
def step_impl(context, status):
    assert context.answer.status == status, context.answer
    assert context.answer.body.decode() == context.text, context.answer


@then("the status is {status:d}")
def step_impl(context, status):
    assert context.answer.status == status, context.answer


@then('the header "{name}" is "{value}"')
def step_impl(context, name, value):
    assert context.answer.headers[name] == value


@then("the tables are at revision {revision:d}")
def step_impl(context, revision):
    body = msgspec.json.decode(get(context, "/v1/tables").body)
    assert body["revision"] == revision, body


@then("the log holds")
def step_impl(context):
    logged = [
        (message["message_type"], str(message["done"]), message["result"])
        for message in context.log
    ]
    wanted = [(row["message"], row["done"], row["result"]) for row in context.table]
    assert logged == wanted, logged
    assert OPERATOR_TOKEN not in str(context.log)


@then("{seconds:d} seconds have passed")
def step_impl(context, seconds):
    assert context.loop.time() >= seconds


@then('"{path}" answers {status:d}')
def step_impl(context, path, status):
    answer = get(context, path)
    assert answer.status == status, answer


plain = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=6)),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
change_like = st.fixed_dictionaries(
    {},
    optional={
        "change_id": plain,
        "author": plain,
        "expect_revision": plain,
        "pools": st.lists(plain, min_size=1, max_size=2),
        "routes": plain,
    },
)
bodies = st.one_of(
    st.binary(max_size=40),
    plain.map(msgspec.json.encode),
    change_like.map(msgspec.json.encode),
)


@then("{count:d} malformed bodies are each refused")
def step_impl(context, count):
    statuses = []

    @settings(derandomize=True, max_examples=count, database=None, deadline=None)
    @for_all(bodies, st.sampled_from(["/v1/changes", "/v1/drain", "/v1/voters/admit"]))
    def check(body, path):
        post(context, path, body)
        statuses.append(context.answer.status)
        assert context.answer.status in (400, 422), (path, body, context.answer)
        findings = msgspec.json.decode(context.answer.body)["findings"]
        assert findings, context.answer

    check()
    assert len(statuses) >= count, len(statuses)
    post(context, "/v1/changes", b"[" * 100_000)
    assert context.answer.status == 400, context.answer
    post(context, "/v1/changes", b" " * (BODY_LIMIT + 1))
    assert context.answer.status == 413, context.answer
