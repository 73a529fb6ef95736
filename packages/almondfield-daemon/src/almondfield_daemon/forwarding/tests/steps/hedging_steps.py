"""Steps of hedging.feature and hedged_load.feature."""

import asyncio
import itertools
import random
from dataclasses import replace

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.forwarding.tests.fakes import FakeServer, ReceivedCall
from almondfield_daemon.forwarding.tests.requests import WINDOW_S, route, serve
from almondfield_daemon.hedging import HedgeRefusal, Hedging
from almondfield_testing import in_loop


class TimedServer(FakeServer):
    """A server that takes some time before it does what its failure says."""

    def __init__(self, name, delays_s, failure):
        super().__init__(name)
        self.failure = failure
        self._delays_s = delays_s

    async def answer(self, call, request_id):
        """Return the outcome of one call after the next delay."""
        try:
            await asyncio.sleep(next(self._delays_s))
        except asyncio.CancelledError:
            self.closed_s = now()
            remaining_s = float(dict(call.headers)[b"remaining"])
            self.received.append(ReceivedCall(remaining_s, "", now()))
            raise
        return await super().answer(call, request_id)


def time_server(context, index, delays_s, failure=""):
    """Replace a server by one with delays and a failure after them."""
    server = TimedServer(f"s{index}", delays_s, failure)
    context.servers[index] = server
    context.backends.server_by_address[f"{server.name}:1"] = server


@given("slow requests are hedged within a share of {share:g}")
def step_impl(context, share):
    context.hedging = Hedging(share, WINDOW_S, context.host_delay)
    context.forwarder._hedging = context.hedging


@given('the route is "{kind}" with {attempts:d} attempts')
def step_impl(context, kind, attempts):
    context.route = route(kind, attempts)


@given("servers take {usual:g} s, the first one {slow:g} s for each request of {n:d}")
@when("servers take {usual:g} s, the first one {slow:g} s for each request of {n:d}")
def step_impl(context, usual, slow, n):
    context.placement._rng = random.Random(1)
    for index in range(1, len(context.servers)):
        time_server(context, index, itertools.repeat(usual))
    time_server(context, 0, itertools.cycle([usual] * (n - 1) + [slow]))


@given("server {number:d} takes {seconds:g} s and then {failure}")
def step_impl(context, number, seconds, failure):
    time_server(context, number - 1, itertools.repeat(seconds), failure)


@when("{count:d} requests are served in {seconds:g} s and measured")
@in_loop
async def step_impl(context, count, seconds):
    before = sum(len(server.received) for server in context.servers)
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(serve(context)))
        await asyncio.sleep(seconds / count)
    served = await asyncio.gather(*tasks)
    assert all(problem is None for problem, _, _, _ in served)
    context.took_s = sorted(took_s for _, _, _, took_s in served)
    after = sum(len(server.received) for server in context.servers)
    context.extra = after - before - count


@then("99 of 100 requests took {least:g} s to {most:g} s")
def step_impl(context, least, most):
    took_s = context.took_s[int(0.99 * len(context.took_s)) - 1]
    assert least <= took_s <= most, took_s


@then("the extra attempts are at most {share:g} of the requests")
def step_impl(context, share):
    assert 0 <= context.extra <= share * len(context.took_s), context.extra


@given("the pool took {seconds:g} s for each of {count:d} requests lately")
@in_loop
async def step_impl(context, seconds, count):
    context.window = context.forwarder._window("p")
    for _ in range(count):
        context.window.record_request()
        context.hedging.record("p", "route", seconds)


@given("{count:d} hedges were sent lately")
@in_loop
async def step_impl(context, count):
    for _ in range(count):
        context.hedging.record_sent("p")


@given("half of the retry budget is used up")
@in_loop
async def step_impl(context):
    assert sum(1 for _ in iter(context.window.reserve_spare, None)) > 1
    assert context.window.allows_repeats(2), "too little is left for retries"


@given("the servers report {running:d} running, {waiting:d} waiting")
@in_loop
async def step_impl(context, running, waiting):
    for server in context.servers:
        context.placement.record(server.name).record_load(running, waiting)


@given("the event loop is late by {seconds:g} s")
@in_loop
async def step_impl(context, seconds):
    context.host_delay.record_loop_delay(seconds)


@given("all other servers are evacuated")
def step_impl(context):
    first, *others = context.view.fleet_servers
    others = [replace(server, data_centre="west") for server in others]
    context.view.fleet_servers = (first, *others)
    context.evacuated = frozenset(("west",))


@then('the refusal of the hedge is "{refusal}"')
def step_impl(context, refusal):
    expected = {} if refusal == "none" else {HedgeRefusal(refusal): 1}
    assert context.hedging.count_by_refusal == expected


@then("the first server's call ended before the answer, with more time than the second")
def step_impl(context):
    first, second = (server.received[0] for server in context.servers[:2])
    assert context.servers[0].closed_s <= second.received_s + 0.01
    assert second.remaining_s <= first.remaining_s - 0.02, (first, second)


@then('the hedge is logged as "{result}", and its server is {state}')
@in_loop
async def step_impl(context, result, state):
    (line,) = [m for m in context.messages if m["message_type"] == "request:hedged"]
    assert line["result"] == result, line
    assert context.hedging.count_by_result == {result: 1}
    await asyncio.sleep(0)
    records = [context.placement.record(server.name) for server in context.servers]
    assert not any(record.in_flight for record in records)
    assert records[1].is_avoided == (state == "avoided")
