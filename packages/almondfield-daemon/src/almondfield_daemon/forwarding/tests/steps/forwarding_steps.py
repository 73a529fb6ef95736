"""Steps of forwarding.feature."""

import asyncio
import random
import re
from contextlib import suppress
from dataclasses import replace

import eliot
from behave import given, then, when

from almondfield_core.clock import now
from almondfield_core.routing import (
    PoolShare,
    Prompt,
    PromptPart,
)
from almondfield_core.settings import AnswerSettings
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding import (
    AttemptSender,
    Forwarder,
    RetryWindow,
    ServerHomes,
    ServerSelector,
)
from almondfield_daemon.forwarding.deadlines import TypicalDeadlines
from almondfield_daemon.forwarding.split import choose_pool
from almondfield_daemon.forwarding.tests.fakes import (
    EVENTS,
    FakeBackends,
    FakeCodec,
    FakeEngines,
    FakeLimits,
    FakeOrigins,
    FakeServer,
    FakeSink,
    FakeView,
    RefusalRecord,
)
from almondfield_daemon.forwarding.tests.requests import (
    SHARE,
    SLACK,
    WINDOW_S,
    make_request,
    route,
    serve,
)
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.quarantine.refused import RefusedStarts
from almondfield_daemon.server_notices import ServerNotices
from almondfield_daemon.streams import StreamOrigin
from almondfield_fairshare.prefix_placement import Placement
from almondfield_testing import run


class ZeroRandom(random.Random):
    """A generator of zeros, so that ties resolve in server order."""

    def random(self):
        """Return 0."""
        return 0.0


@given('a "{kind}" route with {attempts:d} attempts and {count:d} servers')
def step_impl(context, kind, attempts, count):
    context.route = route(kind, attempts)
    context.servers = [FakeServer(f"s{number}") for number in range(count)]
    context.routers = 1
    fleet_servers = tuple(
        FleetServer(server.name, "p", f"{server.name}:1", "east", 8)
        for server in context.servers
    )

    context.evacuated = frozenset()
    context.refused = RefusedStarts()
    context.engines = FakeEngines()
    context.host_delay = HostDelay()
    context.origins = FakeOrigins()
    # What callers take up without naming an attempt began at the only version.
    context.origins.origin_by_request[""] = StreamOrigin("", "p", "s0", "", 0.0)

    async def make():
        context.view = FakeView(fleet_servers, lambda: context.routers)
        context.placement = Placement(ZeroRandom())
        selector = ServerSelector(
            context.view,
            context.placement,
            "east",
            context.engines,
            context.host_delay,
            ServerNotices(),
            FakeLimits(),
            quarantine=RefusalRecord(context.refused),
            evacuated=lambda: context.evacuated,
            homes=ServerHomes({"east": "north", "west": "south"}),
        )
        context.backends = FakeBackends(context.servers)
        attempts = AttemptSender(
            context.backends,
            FakeCodec(),
            context.host_delay,
            AnswerSettings().max_discarded_bytes,
        )
        context.forwarder = Forwarder(
            attempts,
            selector,
            context.origins,
            lambda: RetryWindow(WINDOW_S, SHARE, SLACK, lambda: context.routers),
            AnswerSettings(),
        )

    run(context, make())


@given("the first server {failure}")
def step_impl(context, failure):
    context.servers[0].failure = failure


@given("the second server {failure}")
def step_impl(context, failure):
    context.servers[1].failure = failure


@given("every server {failure}")
def step_impl(context, failure):
    for server in context.servers:
        server.failure = failure


@given("the replies of {count:d} other hosts take {seconds:g} s")
def step_impl(context, count, seconds):
    async def record():
        for number in range(count):
            context.host_delay.record_reply(f"c{number}", seconds)

    run(context, record())


@then("the first server is {state}")
def step_impl(context, state):
    async def query():
        return context.placement.record(context.servers[0].name).is_avoided

    assert run(context, query()) == (state == "avoided")


@given("connections take {seconds:g} s")
def step_impl(context, seconds):
    context.backends.connect_s = seconds


@when("a caller leaves unnoticed {seconds:g} s after its request")
def step_impl(context, seconds):
    async def leave():
        sink = FakeSink()
        served = asyncio.ensure_future(
            context.forwarder.serve(make_request(context, 1.5), sink)
        )
        await asyncio.sleep(seconds)
        sink.has_left = True
        await asyncio.gather(served, return_exceptions=True)

    run(context, leave())


@then("the server is told that at most {seconds:g} s are left")
def step_impl(context, seconds):
    (call,) = context.servers[0].received
    assert 0 < call.remaining_s <= seconds + 0.001, call


@given("{count:d} routers share the budget")
def step_impl(context, count):
    context.routers = count


@when("a request is served")
def step_impl(context):
    context.served = run(context, serve(context))


@when("a request that resumes after event {number:d} is served")
def step_impl(context, number):
    context.served = run(context, serve(context, last_event_id=str(number)))


@when("a request with a deadline of {deadline:g} s is served")
def step_impl(context, deadline):
    context.served = run(context, serve(context, deadline))


@when("{count:d} requests are served in {seconds:g} s")
def step_impl(context, count, seconds):
    async def load():
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.ensure_future(serve(context)))
            await asyncio.sleep(seconds / count)
        await asyncio.gather(*tasks)

    run(context, load())


@when("{count:d} more requests are served")
def step_impl(context, count):
    async def load():
        for _ in range(count):
            await serve(context)

    run(context, load())


@when("a caller disconnects {seconds:g} s after its request")
def step_impl(context, seconds):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)
    context.messages.clear()  # eliot delivers older lines to its first destination

    async def disconnect():
        task = asyncio.ensure_future(serve(context))
        await asyncio.sleep(seconds)
        context.disconnected_s = now()
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    run(context, disconnect())


@then("{count:d} servers received it")
def step_impl(context, count):
    received = [server.name for server in context.servers for _ in server.received]
    assert len(received) == count, received


@then("the caller gets a truncated answer")
def step_impl(context):
    _, sink, error, _ = context.served
    assert error is not None, sink.body
    assert not sink.is_complete


@then("the caller gets {status:d} {outcome} within {seconds:g} s")
def step_impl(context, status, outcome, seconds):
    problem, _, _, took_s = context.served
    assert (problem.status, problem.outcome.value) == (status, outcome), problem
    assert took_s <= seconds, took_s


@then("the caller gets {status:d} {outcome}")
def step_impl(context, status, outcome):
    problem, sink, _, _ = context.served
    assert problem is not None, sink.status
    assert (problem.status, problem.outcome.value) == (status, outcome), problem


@then("the caller gets {status:d}")
def step_impl(context, status):
    problem, sink, error, _ = context.served
    assert problem is None, problem
    assert error is None, error
    assert sink.status == status, sink.status
    assert sink.is_complete
    if status == 200:
        ids = [int(i) for i in re.findall(rb"id: (\d+)", sink.body)]
        assert ids == list(range(1, EVENTS + 1)), sink.body


@then("the caller has events {first:d} to {last:d}, each once")
def step_impl(context, first, last):
    _, sink, _, _ = context.served
    ids = [int(i) for i in re.findall(rb"id: (\d+)", sink.body)]
    assert ids == list(range(first, last + 1)), sink.body
    assert sink.is_complete


@then("the {which} server was asked to resume after event {number:d}")
def step_impl(context, which, number):
    server = context.servers[("first", "second").index(which)]
    assert server.received[-1].last_event_id == str(number), server.received


@then("the answer took at most {seconds:g} s")
def step_impl(context, seconds):
    assert context.served[3] <= seconds, context.served[3]


@then("the answer took at least {seconds:g} s")
def step_impl(context, seconds):
    assert context.served[3] >= seconds, context.served[3]


@then("the answer is not marked as complete")
def step_impl(context):
    assert not context.served[1].is_complete


@then("the second server gets a shorter deadline than the first")
def step_impl(context):
    first, second = (server.received[0].remaining_s for server in context.servers[:2])
    assert second < first - 0.5, (first, second)


@then("the servers received at most {base:d} + {share:g} x {of:d} + {slack:g} attempts")
def step_impl(context, base, share, of, slack):
    received = sum(len(server.received) for server in context.servers)
    assert received <= base + share * of + slack, received
    assert received > base, "no request was repeated"


@then("the call to the first server was cancelled within {seconds:g} s")
def step_impl(context, seconds):
    server = context.servers[0]
    assert server.closed_s is not None
    assert server.closed_s - context.disconnected_s <= seconds


@then("the line of the request has its first attempt after {count:g} ms")
def step_impl(context, count):
    (line,) = [m for m in context.messages if m["message_type"] == "request:ended"]
    assert line["first_attempt_ms"] == count, line


@then("the first server received at most {count:d} of them")
def step_impl(context, count):
    assert len(context.servers[0].received) <= 1 + count, context.servers[0].received


@given('a route that sends {x:d} of 100 requests to "{a}" and {y:d} to "{b}"')
def step_impl(context, x, a, y, b):
    context.route = route("idempotent", 1, (PoolShare(a, x), PoolShare(b, y)))
    context.second = b


@then('of {count:d} requests {least:d} to {most:d} in 100 go to "{pool}"')
def step_impl(context, count, least, most, pool):
    chosen = [choose_pool(context.route, f"request-{n}") for n in range(count)]
    share = 100 * chosen.count(pool) / count
    assert least <= share <= most, share


@then("a pool with weight 0 gets no request")
def step_impl(context):
    shares = (PoolShare("a", 1.0), PoolShare("b", 0.0))
    rule = route("idempotent", 1, shares)
    chosen = {choose_pool(rule, f"request-{n}") for n in range(500)}
    assert chosen == {"a"}, chosen


@given("{count:d} requests with deadlines of {typical} s")
def step_impl(context, count, typical):
    context.deadlines = TypicalDeadlines()
    first, _, last = typical.partition(" to ")
    for number in range(count):
        part = number / count
        deadline_s = float(first) + (float(last or first) - float(first)) * part
        context.deadlines.waited_s("route", deadline_s)


@then("a deadline of {deadline:g} s means a wait of {waited:g} s")
def step_impl(context, deadline, waited):
    assert context.deadlines.waited_s("route", deadline) == waited
    assert context.deadlines.waited_s("route", None) == 0


@when('a request with a prompt that resumes after event "{event}" is served')
@when('a request with a prompt that resumes after event "" is served')
def step_impl(context, event=""):
    context.route = replace(context.route, has_prompt=True)
    parts = (PromptPart("s", 10), PromptPart("o", 10))
    served = serve(context, last_event_id=event, prompt=Prompt("m", 20, 5, parts))
    context.served = run(context, served)


@then("the scheduler received {what}")
def step_impl(context, what):
    assert context.engines.requests[0].is_repeat == (what == "a repeat")


@then("the last request to the scheduler was {what}")
def step_impl(context, what):
    assert len(context.engines.requests) == 2, context.engines.requests
    assert context.engines.requests[-1].is_repeat == (what == "a repeat")


@when("{count:d} requests with prompts are served at once")
def step_impl(context, count):
    context.route = replace(context.route, has_prompt=True)
    parts = (PromptPart("s", 10), PromptPart("o", 10))

    async def all_at_once():
        prompt = Prompt("m", 20, 5, parts)
        calls = [serve(context, prompt=prompt) for _ in range(count)]
        await asyncio.gather(*calls)

    run(context, all_at_once())


@then("{count:d} of them were sent to servers")
def step_impl(context, count):
    sent = sum(len(server.received) for server in context.servers)
    assert sent == count, sent
