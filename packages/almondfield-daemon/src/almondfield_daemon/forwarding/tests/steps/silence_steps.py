"""Steps of silence.feature."""

import asyncio
import itertools
import random
from contextlib import suppress
from dataclasses import replace
from unittest import mock

import eliot
from behave import given, then, when

from almondfield_core import clock
from almondfield_core.routing import Prompt, PromptPart
from almondfield_daemon.forwarding import budget, hand_over
from almondfield_daemon.forwarding.tests.fakes import make_assignment
from almondfield_daemon.forwarding.tests.requests import serve
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_daemon.server_notices import RetryAfter, ServerStart
from almondfield_testing import run

FAILURES = 4  # after which a server is avoided for as long as requests last
REFUSAL = EngineRefusal(0.1, False, 0.5, 1)

RANDOM_FAILURES = (
    "is silent for 1.5 s after event 3",
    "is silent for 1.9 s before its first event",
    "is silent for 1.9 s before its answer",
    "is silent for 9 s after event 1",
    "never answers",
    "loses its answer",
    "loses its answer after 1.0 s",
    "fails with 500",
    "reports that it did not run it",
    "truncates its answer",
    "refuses the connection",
    "answers without signature",
)


def line_of(context, kind):
    """Return the only log line of a kind."""
    (line,) = [m for m in context.messages if m["message_type"] == kind]
    return line


@given("nothing else")
def step_impl(context):
    pass


@given("targets of {target:g} s to the first event and {gap:g} s between events")
def step_impl(context, target, gap):
    context.route = replace(
        context.route, latency_target_s=target, event_gap_target_s=gap
    )


@given("the other servers refuse as full")
def step_impl(context):
    for server in context.servers[1:]:
        server.failure = "reports that it did not run it"


@given("the other servers are avoided")
def step_impl(context):
    async def record_failures():
        for server in context.servers[1:]:
            record = context.placement.record(server.name)
            for _ in range(FAILURES):
                record.record_failure()

    run(context, record_failures())


@given("the scheduler assigns the first server and then refuses")
def step_impl(context):
    context.engines.decisions = [(make_assignment("s0"), 0.0), (REFUSAL, 0.0)]


@given("the scheduler assigns the first server, and the second after {seconds:g} s")
def step_impl(context, seconds):
    first, second = make_assignment("s0"), make_assignment("s1")
    context.engines.decisions = [(first, 0.0), (second, seconds)]


@given(
    "the scheduler assigns the first and the second server, and refuses after "
    "{seconds:g} s"
)
def step_impl(context, seconds):
    first, second = make_assignment("s0"), make_assignment("s1")
    context.engines.decisions = [(first, 0.0), (second, 0.0), (REFUSAL, seconds)]


@when("a request with a prompt is served")
def step_impl(context):
    context.route = replace(context.route, has_prompt=True)
    parts = (PromptPart("s", 10), PromptPart("o", 10))
    context.served = run(context, serve(context, prompt=Prompt("m", 20, 5, parts)))


@when("a caller with a prompt leaves after {seconds:g} s")
def step_impl(context, seconds):
    context.route = replace(context.route, has_prompt=True)
    parts = (PromptPart("s", 10), PromptPart("o", 10))

    async def leave():
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await serve(context, prompt=Prompt("m", 20, 5, parts))

    run(context, leave())


@when("a caller with a prompt leaves as the scheduler decides again")
def step_impl(context):
    context.route = replace(context.route, has_prompt=True)
    parts = (PromptPart("s", 10), PromptPart("o", 10))

    async def leave():
        served = asyncio.ensure_future(serve(context, prompt=Prompt("m", 20, 5, parts)))

        def on_request():
            if len(context.engines.requests) > 1:
                # It runs before the search that the request belongs to goes on.
                asyncio.get_running_loop().call_soon(served.cancel)

        context.engines.on_request = on_request
        await asyncio.wait([served])
        assert served.cancelled()

    run(context, leave())


@then("{count:d} of 35 repeats are left")
def step_impl(context, count):
    async def count_left():
        window = context.forwarder._window("p")
        return sum(window.allows_repeats(number) for number in range(1, 100))

    left = run(context, count_left())
    assert left == count, left


@then("the scheduler was asked {least:d} to {most:d} times")
def step_impl(context, least, most):
    requests = context.engines.requests
    assert least <= len(requests) <= most, requests


@then("no server counts the request as in flight")
def step_impl(context):
    for server in context.servers:
        assert context.placement.record(server.name).in_flight == 0, server.name


@then("the second server received it after the first was closed")
def step_impl(context):
    first, second = context.servers[:2]
    (call,) = second.received
    assert call.last_event_id == "3", call
    assert first.closed_s <= call.received_s, (first.closed_s, call)


@when("a request is served and logged")
def step_impl(context):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)
    context.messages.clear()  # eliot delivers older lines to its first destination
    context.served = run(context, serve(context))


@then("the line of the failed attempt says that the server was {what}")
def step_impl(context, what):
    line = line_of(context, "attempt:failed")
    assert line["was_silent"] == (what == "silent"), line


@then("the line of the request has {count:d} silent attempts")
def step_impl(context, count):
    line = line_of(context, "request:ended")
    assert line["silent_attempts"] == count, line


@given("the second and third server {failure}")
def step_impl(context, failure):
    for server in context.servers[1:]:
        server.failure = failure


@given("each look at the clock takes 1 us")
def step_impl(context):
    looks = itertools.count()

    def moving_now():
        return clock.now() + 1e-6 * next(looks)

    for module in (budget, hand_over):
        patch = mock.patch.object(module, "now", moving_now)
        patch.start()
        context.add_cleanup(patch.stop)


@when("a stream is served and its announcements stop meanwhile")
def step_impl(context):
    def stop_announcements():
        context.view.unresponsive = frozenset(("s0",))

    async def serve_meanwhile():
        asyncio.get_running_loop().call_later(1.0, stop_announcements)
        return await serve(context)

    context.served = run(context, serve_meanwhile())


@then("the first server received it {count:d} times")
def step_impl(context, count):
    assert len(context.servers[0].received) == count, context.servers[0].received


@then("the second server received it {count:d} times")
def step_impl(context, count):
    assert len(context.servers[1].received) == count, context.servers[1].received


@then("the first server received it again after the second was closed")
def step_impl(context):
    first, second = context.servers[:2]
    _, call = first.received
    assert call.last_event_id == "3", call
    assert second.closed_s <= call.received_s, (second.closed_s, call)


@when("a stream is served and the scheduler has no room when it is to go back")
def step_impl(context):
    first, second = make_assignment("s0"), make_assignment("s1")
    context.engines.decisions = [(first, 0.0), (second, 0.0), (REFUSAL, 0.0)]
    context.execute_steps("When a request with a prompt is served")


def remove_server(context, name):
    """Take a server from the view, which lists no server that is draining."""
    servers = context.view.fleet_servers
    context.view.fleet_servers = tuple(s for s in servers if s.name != name)


@given("an earlier request was refused for {seconds:g} s by the first server")
def step_impl(context, seconds):
    async def refuse():
        start = ServerStart("s0", context.view.fleet_servers[0].born_ms)
        notices = context.forwarder._servers._notices
        refused = (RetryAfter(seconds),)
        notices.record(start, refused, clock.now(), "earlier")
        await asyncio.sleep(2 * seconds)

    run(context, refuse())


def broken_limits(context):
    """Return the limits that the only request of a scenario has broken."""
    servers = [
        server.name
        for server in context.servers
        for call in server.received
        if call is not None
    ]

    async def count_repeats():
        window = context.forwarder._window("p")
        return len(window._repeats)

    most = context.route.max_attempts
    repeats = max(0, len(servers) - 1)
    limits = {
        "repeats": run(context, count_repeats()) == repeats,
        "servers": len(set(servers)) <= most,
        "attempts": len(servers) <= 2 * most,
        "places": not any(
            context.placement.record(server.name).in_flight
            for server in context.servers
        ),
    }
    return [name for name, is_kept in limits.items() if not is_kept]


@when("{count:d} requests meet servers that fail at random")
def step_impl(context, count):
    context.broken = {}
    for seed in range(count):
        generator = random.Random(seed)
        kind = generator.choice(("resumable", "idempotent"))
        attempts, servers = generator.choice((1, 2, 3)), generator.choice((1, 2, 3, 4))
        routers = generator.choice((1, 1, 15, 20))
        context.execute_steps(
            f'''
            Given a "{kind}" route with {attempts} attempts and {servers} servers
            And {routers} routers share the budget
            '''
        )
        for server in context.servers:
            if generator.random() < 0.9:
                server.failure = generator.choice(RANDOM_FAILURES)
        leaves_s = generator.choice((None, None, 1.4, 1.402, 1.6, 3.0))

        async def leave(seconds=leaves_s):
            with suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await serve(context)

        run(context, leave())
        broken = broken_limits(context)
        if broken:
            context.broken[seed] = broken


@then("none of them broke a limit")
def step_impl(context):
    assert not context.broken, context.broken


def serve_while_leaving(context, name, seconds):
    """Serve a stream with a prompt while a server leaves after some seconds."""
    context.route = replace(context.route, has_prompt=True)
    parts = (PromptPart("s", 10), PromptPart("o", 10))

    async def serve_meanwhile():
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, remove_server, context, name)
        return await serve(context, prompt=Prompt("m", 20, 5, parts))

    context.served = run(context, serve_meanwhile())


@when("a stream with a prompt is served and its server leaves after {seconds:g} s")
def step_impl(context, seconds):
    serve_while_leaving(context, "s0", seconds)


@when("a stream with a prompt is served and its next server leaves after {seconds:g} s")
def step_impl(context, seconds):
    serve_while_leaving(context, "s1", seconds)


@when("a stream is served and the first server leaves and is unresponsive")
def step_impl(context):
    def leave():
        remove_server(context, "s0")
        context.view.unresponsive = frozenset(("s0",))

    async def serve_meanwhile():
        asyncio.get_running_loop().call_later(1.0, leave)
        return await serve(context)

    context.served = run(context, serve_meanwhile())


@when("a stream is served and it says meanwhile that it leaves")
def step_impl(context):
    def leave():
        remove_server(context, "s0")

    async def serve_meanwhile():
        asyncio.get_running_loop().call_later(1.0, leave)
        return await serve(context)

    context.served = run(context, serve_meanwhile())
