"""Steps of cold_servers.feature."""

import asyncio
from collections import Counter

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.server_limits.tests.cold_fleet import ColdFleet
from almondfield_testing import run

SETTLE_S = 3.0
FIRST_PART_S = 5.5  # a leader gives no part of a rate before


@given(
    '{routers:d} routers and {servers:d} servers of a pool of kind "{kind}", with 5.2 '
    "requests a second while cold"
)
def step_impl(context, routers, servers, kind):
    async def start():
        context.fleet = ColdFleet(routers, servers, kind)
        await asyncio.sleep(SETTLE_S + FIRST_PART_S)

    run(context, start())
    context.events = []


@when("requests come at {rate:g} a second for {seconds:g} s")
def step_impl(context, rate, seconds):
    context.load = (rate, seconds, lambda: False)


@when(
    "requests come at {rate:g} a second for {seconds:g} s, one of {part:d} to go on "
    "with a stream"
)
def step_impl(context, rate, seconds, part):
    context.load = (rate, seconds, lambda: context.fleet.random.random() < 1 / part)


@when("after {seconds:g} s all servers start again")
def step_impl(context, seconds):
    async def restart():
        await asyncio.sleep(seconds)
        for server in context.fleet.servers.values():
            context.fleet.restart(server)

    context.events.append(restart)


@when('after {seconds:g} s no host leads for {gap:g} s, then "{host}"')
def step_impl(context, seconds, gap, host):
    async def change():
        await asyncio.sleep(seconds)
        if gap:
            context.fleet.lead("")
            await asyncio.sleep(gap)
        context.fleet.lead(host)

    context.events.append(change)


@when("after {seconds:g} s {count:d} routers lose contact with the control hosts")
def step_impl(context, seconds, count):
    async def cut():
        await asyncio.sleep(seconds)
        for router in list(context.fleet.selector_by_router)[:count]:
            context.fleet.network.isolate(router)

    context.events.append(cut)


@when("after {seconds:g} s no router sends anything for {stall:g} s")
def step_impl(context, seconds, stall):
    async def delay():
        await asyncio.sleep(seconds)
        context.fleet.stalled_until_s = now() + stall

    context.events.append(delay)


@when("each server becomes cold every {seconds:g} s without a word")
def step_impl(context, seconds):
    async def cool():
        servers = list(context.fleet.servers.values())
        for number in range(7 * len(servers)):
            await asyncio.sleep(seconds / len(servers))
            server = servers[number % len(servers)]
            server.cold_until_s = now() + seconds / 2

    context.events.append(cool)


def play(context):
    """Run the load and the events, once."""
    if hasattr(context, "began_s"):
        return

    async def generate():
        context.began_s = now()
        context.fleet.sent_s.clear()
        await asyncio.gather(
            context.fleet.generate(*context.load),
            *(event() for event in context.events),
        )

    run(context, generate())


@then("no cold server got more than {most:d} requests in any second")
def step_impl(context, most):
    play(context)
    counts = [server.most_while_cold for server in context.fleet.servers.values()]
    assert max(counts) <= most, counts
    assert max(counts) > 0, "no cold server got any request"


@then(
    "all servers together got {least:g} to {most:g} requests a second from {start:g} "
    "to {end:g} s"
)
def step_impl(context, least, most, start, end):
    play(context)
    sent_s = [at_s - context.began_s for at_s in context.fleet.sent_s]
    rate = sum(start <= at_s < end for at_s in sent_s) / (end - start)
    seconds = sorted(Counter(int(at_s) for at_s in sent_s).items())
    assert least <= rate <= most, (rate, seconds)


@then("the servers got over {least:g} requests a second each while warm")
def step_impl(context, least):
    fleet = context.fleet
    rate = len(fleet.sent_s) / context.load[1] / len(fleet.servers)
    # Each is cold for half of the time.
    assert rate > (least + 4) / 2, rate


@then(
    "of the streams a larger part was served than of the others by a factor of "
    "{factor:g}"
)
def step_impl(context, factor):
    play(context)
    sent = context.fleet.sent_by_kind
    cold = {
        kind: sum(3 <= at_s - context.began_s < 8 for at_s in times)
        for kind, times in sent.items()
    }
    assert cold[True] * 9 >= factor * cold[False], cold


@then(
    "no tenth of a second from {start:g} to {end:g} s has over {share:g} of the "
    "returns of the callers refused in a second"
)
def step_impl(context, start, end, share):
    fleet = context.fleet
    tenths = Counter(int((at_s - context.began_s) * 10) for at_s in fleet.retries_s)
    counts = [tenths[tenth] for tenth in range(round(start * 10), round(end * 10))]
    assert max(counts) <= share * sum(counts) / (end - start), counts
