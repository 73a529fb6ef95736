"""Steps of the router's features."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from result import Err, Ok

from almondfield_core.messages import (
    ClaimAnswered,
    ClaimLost,
    ClaimMismatch,
    ClaimRunning,
    ControlUnavailable,
    NotRun,
    NotRunReason,
    ServerFailure,
    StoredAnswer,
)
from almondfield_daemon.router import AnswerCutError, CallerRequest, CallFailure
from almondfield_daemon.router.tests.fakes import CallerAppFixture, FakeAnswer
from almondfield_testing import run

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]
EVENT_STREAM = ((b"content-type", b"text/event-stream"),)
ANSWER_COUNT = 1000  # more than any scenario uses
OUTCOME_BY_NAME = {
    "lost": Ok(ClaimLost()),
    "mismatch": Ok(ClaimMismatch()),
    "unavailable": Err(ControlUnavailable("no quorum")),
    "running": Ok(ClaimRunning()),
    "incomplete": Ok(ClaimAnswered(StoredAnswer(200, (), b"", complete=False))),
    "answered": Ok(ClaimAnswered(StoredAnswer(200, (), b"ok"))),
}


def stream(*parts):
    """Return an event stream of the given parts."""
    return FakeAnswer(parts, headers=EVENT_STREAM)


async def serve(fixture, method, key=""):
    """Return the parts of an answer, or the problem returned instead."""
    body = b"" if method == "GET" else b"x"
    request = CallerRequest(method, "/stock", b"/stock", (), "k1", "r1", key, body=body)
    plan = fixture.router.admit(request).unwrap()
    served = await fixture.router.serve(request, plan)
    if served.is_err():
        return served.unwrap_err()
    return [chunk async for chunk in served.unwrap().chunks()]


async def serve_to_end(context, method, key=""):
    """Serve one request and wait until its background work is done."""
    task = asyncio.ensure_future(serve(context.fixture, method, key))
    if disconnect_after_s := getattr(context, "disconnect_after_s", 0):
        await asyncio.sleep(disconnect_after_s)
        task.cancel()
    (result,) = await asyncio.gather(task, return_exceptions=True)
    while context.fixture.router.running:
        await asyncio.sleep(0.1)
    return result


@given('a router with servers "s1", "s2" and "s3"')
def step_impl(context):
    context.fixture = CallerAppFixture()


@given("the servers resume streams")
def step_impl(context):
    slots = context.fixture.slots
    slots.servers = [replace(s, resumes_streams=True) for s in slots.servers]


@given("{calls} with {failure} {when} sending")
def step_impl(context, calls, failure, when):
    count = 1 if calls.startswith("one") else ANSWER_COUNT
    may_have_run = when == "after"
    call_failure = CallFailure(ServerFailure(failure), may_have_run, "by the scenario")
    context.fixture.backends.answers = [call_failure] * count


@given("one call finds its pooled connection closed")
def step_impl(context):
    call_failure = CallFailure(ServerFailure.FIRST_BYTE, True, "closed", stale=True)
    context.fixture.backends.answers = [call_failure]


@given("no slot becomes free after the first")
def step_impl(context):
    slots = context.fixture.slots

    def refuse_second():
        if len(slots.requests) > 1:
            slots.answer = NotRun(NotRunReason.QUEUE_DEADLINE)

    slots.on_acquire = refuse_second


@given('the route changes to pool "{pool}" while the request waits')
def step_impl(context, pool):
    fixture = context.fixture

    def change_route():
        old = fixture.view.tables
        routes = (replace(old.routes[0], pool=pool), *old.routes[1:])
        fixture.view.tables = replace(old, revision=2, routes=routes)

    fixture.slots.on_acquire = change_route


@given("the tables become stale while the request waits")
def step_impl(context):
    fixture = context.fixture
    fixture.slots.on_acquire = lambda: setattr(fixture.view, "freshness_s", 0.0)


@given("the claim answers running twice, then answered")
def step_impl(context):
    names = ["running", "running", "answered"]
    context.fixture.control.outcomes = [OUTCOME_BY_NAME[name] for name in names]


@given("the claim answers {name:w}")
def step_impl(context, name):
    context.fixture.control.outcomes = [OUTCOME_BY_NAME[name]] * ANSWER_COUNT


@given("the claim is stored late")
def step_impl(context):
    context.fixture.control.replies = [Err(ControlUnavailable("no quorum")), Ok(False)]


@given("the answer has {count:d} bytes")
def step_impl(context, count):
    context.fixture.backends.answers = [FakeAnswer((bytes(count),))]


@given("the answer has {count:d} parts")
def step_impl(context, count):
    context.fixture.backends.answers = [FakeAnswer((b"x",) * count)]


@given("the caller disconnects while its request {phase}")
def step_impl(context, phase):
    context.disconnect_after_s = 1.0
    slow = context.fixture.slots if phase == "waits" else context.fixture.backends
    slow.delay_s = 2.0


@given("a stream of 3 events is cut after {count:d} bytes")
def step_impl(context, count):
    whole = b"".join(EVENTS)
    first = stream(whole[:count], ServerFailure.STREAM)
    rest = b"".join(EVENTS[whole[:count].count(b"\n\n") :])
    context.fixture.backends.answers = [first, stream(rest)]


@given("a stream without identifiers is cut")
def step_impl(context):
    cut = stream(EVENTS[0], b"data: b\n\n", ServerFailure.STREAM)
    context.fixture.backends.answers = [cut]


@given("the server answers {status:d} to the resume request")
def step_impl(context, status):
    context.fixture.backends.answers[1] = FakeAnswer((b"gone",), status=status)


@given("the server sends {what} to the resume request")
def step_impl(context, what):
    parts = {
        "no event": (),
        "an error's text": (b"overloaded\n\n",),
        "an error's text, and event 2": (b"overloaded\n\n", *EVENTS[1:]),
        "event 3": EVENTS[2:],
        "a comment": (b": overloaded\n\n",),
    }[what]
    context.fixture.backends.answers[1] = stream(*parts)


@given("every stream is cut after its first event")
def step_impl(context):
    cut = stream(EVENTS[0], ServerFailure.STREAM)
    context.fixture.backends.answers = [cut] * ANSWER_COUNT


@when("a {method:w} is served")
def step_impl(context, method):
    context.result = run(context, serve_to_end(context, method))


@when('a {method:w} with key "{key}" is served')
def step_impl(context, method, key):
    context.result = run(context, serve_to_end(context, method, key))


@when('a POST with key "{key}" is served to a caller that reads one part')
def step_impl(context, key):
    async def read_one_part():
        fixture = context.fixture
        request = CallerRequest("POST", "/stock", b"/stock", (), "k1", "r1", key)
        served = await fixture.router.serve(
            request, fixture.router.admit(request).unwrap()
        )
        answer = served.unwrap()
        assert await anext(answer.chunks()) == b"x"
        await asyncio.sleep(5.0)
        settled_before = len(fixture.control.settled)
        answer.close()
        while fixture.router.running:
            await asyncio.sleep(0.1)
        return settled_before, fixture.control.settled

    context.result = run(context, read_one_part())


@then("the key is settled once, after the caller disconnects")
def step_impl(context):
    settled_before, settled = context.result
    assert settled_before == 0
    assert [answer.body for _, answer, _ in settled] == [b"x" * 30]


@when("{count:d} GETs are served")
def step_impl(context, count):
    for _ in range(count):
        run(context, serve_to_end(context, "GET"))


@then("it is answered")
def step_impl(context):
    assert context.result == [b"ok"], context.result


@then('the problem is {status:d} with outcome "{outcome}"')
def step_impl(context, status, outcome):
    problem = context.result
    assert (problem.status, problem.outcome) == (status, outcome), problem


@then("the answer is cut")
def step_impl(context):
    assert isinstance(context.result, AnswerCutError), context.result


@then('servers "{names}" were called')
def step_impl(context, names):
    servers = context.fixture.slots.servers
    name_by_address = {server.address: server.name for server in servers}
    called = [name_by_address[call.address] for call in context.fixture.backends.calls]
    assert called == names.split(), called


@then("no server was called")
def step_impl(context):
    assert context.fixture.backends.calls == []


@then("every call used a new connection")
def step_impl(context):
    assert not any(call.pooled for call in context.fixture.backends.calls)


@then("the last call used a new connection")
def step_impl(context):
    assert not context.fixture.backends.calls[-1].pooled


@then("at most {count:d} calls were made")
def step_impl(context, count):
    assert 200 < len(context.fixture.backends.calls) <= count


@then("{count:d} calls were made")
def step_impl(context, count):
    assert len(context.fixture.backends.calls) == count


@then("every slot is released")
def step_impl(context):
    slots = context.fixture.slots
    # Where slots are delayed, the caller disconnects before its slot is granted.
    granted = len(slots.requests) - (slots.delay_s > 0)
    assert len(slots.released) == granted, slots
    assert context.fixture.router.running == 0


@then('slots of pools "{names}" were requested')
def step_impl(context, names):
    requested = [request.pool for request in context.fixture.slots.requests]
    assert requested == names.split(), requested


@then('the key is settled with answer "{body}"')
def step_impl(context, body):
    ((claim, answer, ran),) = context.fixture.control.settled
    assert claim == context.fixture.control.claims[0]
    assert (answer.body, answer.complete, ran) == (body.encode(), True, True)


@then("the key is settled with an incomplete answer")
def step_impl(context):
    ((_, answer, ran),) = context.fixture.control.settled
    assert (answer.body, answer.complete, ran) == (b"", False, True)


@then("the key is settled as not run on the third attempt")
def step_impl(context):
    settled = context.fixture.control.settled
    assert [(answer, ran) for _, answer, ran in settled] == [(None, False)] * 3


@then("the key is settled as {outcome}")
def step_impl(context, outcome):
    ((_, answer, ran),) = context.fixture.control.settled
    assert (answer, ran) == (None, outcome == "run")


@then("no key was claimed")
def step_impl(context):
    assert context.fixture.control.claims == []


@then("each of {count:d} events arrived once and complete")
def step_impl(context, count):
    assert b"".join(context.result) == b"".join(EVENTS[:count]), context.result


@then('the stream was resumed after event "{last}"')
def step_impl(context, last):
    first, second = context.fixture.backends.calls
    assert second.headers[-1] == (b"last-event-id", last.encode())
    assert second.address == first.address
    assert not second.pooled


@then("streams with random cuts and chunks deliver each event once and complete")
def step_impl(context):
    events = [b"id: %d\r\ndata: %s\r\n\r\n" % (n, b"x" * n) for n in range(1, 9)]
    whole = b"".join(events)

    @hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
    @given_values(st.integers(18, len(whole) - 1), st.integers(1, 40))
    def check(cut, size):
        fixture = CallerAppFixture()
        server = replace(fixture.slots.servers[0], resumes_streams=True)
        fixture.slots.servers = [server]
        head = [whole[i : min(i + size, cut)] for i in range(0, cut, size)]
        rest = b"".join(events[whole[:cut].count(b"\r\n\r\n") :])
        fixture.backends.answers = [stream(*head, ServerFailure.STREAM), stream(rest)]
        parts = run(context, serve(fixture, "POST"))
        assert b"".join(parts) == whole, (cut, size, parts)

    check()
