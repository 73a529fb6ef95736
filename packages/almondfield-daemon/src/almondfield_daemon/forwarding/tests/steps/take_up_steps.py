"""Steps of take_up.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from almondfield_core.routing import PoolShare, Prompt, PromptPart
from almondfield_daemon.forwarding.tests.fakes import event, make_assignment
from almondfield_daemon.forwarding.tests.requests import serve
from almondfield_daemon.server_notices import ServerStart
from almondfield_daemon.streams import StreamOrigin
from almondfield_testing import run

CHANGE_S = 0.0005  # a server's first event comes after 0.001 s


def set_versions(context, versions):
    pairs = zip(context.view.fleet_servers, versions.split())
    context.view.fleet_servers = tuple(
        replace(server, version=version) for server, version in pairs
    )


@given('the servers have versions "{versions}"')
def step_impl(context, versions):
    set_versions(context, versions)


@given('the route leads to pools "{pools}"')
def step_impl(context, pools):
    shares = tuple(PoolShare(pool) for pool in pools.split())
    context.route = replace(context.route, shares=shares)


@given('stream "{stream}" began in pool "{pool}" at version "{version}"')
def step_impl(context, stream, pool, version):
    origin = StreamOrigin(stream, pool, "gone", version, 1.0)
    context.origins.origin_by_request[stream] = origin


@given('server "{name}" has sent no announcement lately')
def step_impl(context, name):
    context.view.unresponsive = frozenset((name,))


def call_after_choice(context, delay_s, function, *arguments):
    """Call a function some time after the next server was chosen."""
    choose = context.placement.choose

    def choose_and_call(*candidates):
        context.placement.choose = choose
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, function, *arguments)
        return choose(*candidates)

    context.placement.choose = choose_and_call


def change_versions_after(context, delay_s, versions):
    """Let the versions change some time after the next server was chosen."""
    call_after_choice(context, delay_s, set_versions, context, versions)


def record_refused(context, name):
    """Record that a server refused a connection."""
    context.refused.add(ServerStart(name, 0))


@given('server "{name}" refused a connection {seconds:g} s ago')
def step_impl(context, name, seconds):
    async def refuse():
        record_refused(context, name)
        await asyncio.sleep(seconds)

    run(context, refuse())


@given('before the first event, server "{name}" refuses a connection of another router')
def step_impl(context, name):
    call_after_choice(context, CHANGE_S, record_refused, context, name)


@given('while the router connects, the versions change to "{versions}"')
def step_impl(context, versions):
    context.backends.connect_s = 2 * CHANGE_S
    change_versions_after(context, CHANGE_S, versions)


@given('before the first event, the versions change to "{versions}"')
def step_impl(context, versions):
    change_versions_after(context, CHANGE_S, versions)


@then('the caller has events {first:d} to {last:d}, each once, from server "{name}"')
def step_impl(context, first, last, name):
    problem, sink, error, _ = context.served
    assert (problem, error) == (None, None), context.served
    expected = b"".join(event(number) for number in range(first, last + 1))
    assert sink.body == expected, sink.body
    assert context.servers[-1].name == name
    assert context.servers[-1].received[0].last_event_id == str(first - 1)


@when('a request that takes up stream "{stream}" after event {number:d} is served')
def step_impl(context, stream, number):
    served = serve(context, last_event_id=str(number), first_request_id=stream)
    context.served = run(context, served)


@then('the recorded origins are "{text}"')
def step_impl(context, text):
    origins = context.origins.recorded
    assert [f"{item.server} {item.version}" for item in origins] == [text], origins
    assert {(item.request_id, item.pool) for item in origins} == {("r", "p")}, origins


@then('the recorded origins are ""')
def step_impl(context):
    assert context.origins.recorded == []


@then('attempts "{attempts}" are recorded in pool "{pool}" at version "{version}"')
def step_impl(context, attempts, pool, version):
    origins = context.origins.recorded
    assert sorted(item.request_id for item in origins) == sorted(attempts.split())
    assert {(item.pool, item.version) for item in origins} == {(pool, version)}


@then('servers "{names}" received it')
def step_impl(context, names):
    received = [server.name for server in context.servers for _ in server.received]
    assert received == names.split(), received


@then("the answer is marked as complete")
def step_impl(context):
    assert context.served[1].is_complete


@then('pool "{pool}" got it at server "{name}"')
def step_impl(context, pool, name):
    problem, sink, _, _ = context.served
    assert problem is None, problem
    assert sink.is_complete
    assert context.view.requested_pool == pool
    received = [server.name for server in context.servers for _ in server.received]
    assert received == [name], received


@given('servers "{names}" failed lately')
def step_impl(context, names):
    async def fail():
        for name in names.split():
            context.placement.record(name).record_failure()

    run(context, fail())


@given('the scheduler assigns "{name}" while the versions change to "{versions}"')
def step_impl(context, name, versions):
    context.engines.assignment = make_assignment(name)
    context.engines.on_request = lambda: set_versions(context, versions)


@when('a request that takes up stream "" after event {number:d} is served')
def step_impl(context, number):
    unnamed = StreamOrigin("", "p", "", "v1", 0.0)
    context.origins.origin_by_request[""] = unnamed
    context.served = run(context, serve(context, last_event_id=str(number)))


@when('a request with a prompt that takes up stream "{stream}" is served')
def step_impl(context, stream):
    context.route = replace(context.route, has_prompt=True)
    prompt = Prompt("m", 3, 10, (PromptPart("a", 2), PromptPart("b", 1)))
    served = serve(context, last_event_id="4", first_request_id=stream, prompt=prompt)
    context.served = run(context, served)


@then('the scheduler was asked to exclude "{names}"')
def step_impl(context, names):
    assert sorted(context.engines.requests[0].excluded) == names.split()
