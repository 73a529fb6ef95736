"""Steps of joining.feature."""

import re

from behave import then, when

from almondfield_daemon.forwarding.tests.joining_fakes import (
    SCRIPT_BY_NAME,
    Script,
    events,
    follow,
    half_event,
)
from almondfield_daemon.forwarding.tests.requests import serve
from almondfield_daemon.streams import StreamOrigin
from almondfield_testing import run

# What the first server sends after event 2 before it breaks off.
RESTS_BY_PLACE = {
    "after event 2": (b"", b": comment\n"),
    "inside event 3": (half_event(3), b"i", b"id: 3\ndata: x\n"),
}


def start_anew(context, server_count):
    """Start with a new route and new servers, each of which may be asked once."""
    context.execute_steps(
        f'Given a "resumable" route with {server_count} attempts '
        f"and {server_count} servers"
    )


def serve_broken(context, server_count, is_split):
    """Serve streams that break off in each way; keep what their callers got."""
    context.served = []
    for rest in context.rests:
        start_anew(context, server_count)
        follow(context.servers[0], Script(events(1, 2) + rest, is_cut=True))
        follow(context.servers[1], context.script, is_split)
        served = run(context, serve(context))
        asked = [server.received for server in context.servers]
        assert asked[:2] == [[""], ["2"]], (asked, rest)
        context.served.append(served)


@when("streams break off {where}, and go on with {answer}")
def step_impl(context, where, answer):
    context.rests = [
        rest
        for place, rests in RESTS_BY_PLACE.items()
        if place in where
        for rest in rests
    ]
    context.script = SCRIPT_BY_NAME[answer]
    serve_broken(context, server_count=2, is_split=False)
    whole = context.served
    serve_broken(context, server_count=2, is_split=True)
    context.served += whole


@when("streams break off alike, and a third server may go on")
def step_impl(context):
    serve_broken(context, server_count=3, is_split=False)


@when("callers take streams up after event 2, and each server answers with {answer}")
def step_impl(context, answer):
    context.script = SCRIPT_BY_NAME[answer]
    context.served = []
    for is_split in (False, True):
        start_anew(context, 2)
        for server in context.servers:
            follow(server, context.script, is_split)
        context.served.append(run(context, serve(context, last_event_id="2")))


@when("callers take streams up after no event, and each server answers with {answer}")
def step_impl(context, answer):
    start_anew(context, 2)
    context.origins.origin_by_request["a"] = StreamOrigin("a", "p", "s0", "", 0.0)
    for server in context.servers:
        follow(server, SCRIPT_BY_NAME[answer])
    context.served = [run(context, serve(context, first_request_id="a"))]


@when("callers take streams up after event 2, and the second server is sound")
def step_impl(context):
    start_anew(context, 2)
    follow(context.servers[0], context.script)
    context.served = [run(context, serve(context, last_event_id="2"))]
    assert context.servers[1].received[0].last_event_id == "2"


@then("each caller has events {first:d} to {last:d} and {ends}")
def step_impl(context, first, last, ends):
    is_complete = ends == "a complete answer"
    assert context.served
    for problem, sink, error, _ in context.served:
        assert problem is None, problem
        assert sink.status == 200, sink.status
        assert (sink.is_complete, error is None) == (is_complete, is_complete), (
            sink.body
        )
        lines = re.sub(rb"(?m)^(?:weight-versions: 2|: \w+)\n+", b"", sink.body)
        expected = events(first, last)
        assert lines in (expected, expected[:-1] + b"\r"), sink.body


@then("each caller gets 502 and no byte of a stream")
def step_impl(context):
    assert context.served
    for problem, sink, error, _ in context.served:
        assert problem is not None, sink.body
        assert (problem.status, error) == (502, None), problem
        assert (sink.status, sink.body) == (0, b""), sink.body


def numbered(ids):
    return b"".join(b"id: %b\ndata: x\n\n" % item.encode() for item in ids.split())


@when("a stream with the numbers {first} breaks off, and goes on with {following}")
def step_impl(context, first, following):
    follow(context.servers[0], Script(numbered(first), is_cut=True))
    follow(context.servers[1], Script(numbered(following)))
    context.served = run(context, serve(context))
    assert context.servers[1].received == [first.split()[-1]]


@then("its caller has the numbers {ids} and an answer that {ends}")
def step_impl(context, ids, ends):
    _, sink, _, _ = context.served
    assert sink.body == numbered(ids), sink.body
    assert sink.is_complete == (ends == "is complete"), sink.body
