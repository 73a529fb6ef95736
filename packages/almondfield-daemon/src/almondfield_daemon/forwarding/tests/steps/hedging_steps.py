"""Steps of hedging.feature."""

import asyncio
import itertools
import random
from dataclasses import replace

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.forwarding.tests.fakes import FakeServer, ReceivedCall
from almondfield_daemon.forwarding.tests.requests import WINDOW_S, serve
from almondfield_daemon.hedging import HedgeRefusal, Hedging
from almondfield_testing import run


class TimedServer(FakeServer):
    """A server that takes some time before it does what its failure says."""

    def __init__(self, name):
        super().__init__(name)
        self.calls = 0
        self.delays_s = itertools.repeat(0.0)

    async def answer(self, call, request_id):
        """Return the outcome of one call after the next delay."""
        self.calls += 1
        try:
            await asyncio.sleep(next(self.delays_s))
        except asyncio.CancelledError:
            self.closed_s = now()
            remaining_s = float(dict(call.headers)[b"remaining"])
            self.received.append(ReceivedCall(remaining_s, "", now()))
            raise
        return await super().answer(call, request_id)


def time_server(context, index, delays_s, failure=""):
    """Give a server delays and a failure after them."""
    server = context.servers[index]
    if not isinstance(server, TimedServer):
        server = context.servers[index] = TimedServer(server.name)
        context.backends.server_by_address[f"{server.name}:1"] = server
    server.delays_s = delays_s
    server.failure = failure


@given("slow requests are hedged within a share of {share:g}")
def step_impl(context, share):
    context.hedging = Hedging(share, WINDOW_S, context.host_delay)
    context.forwarder._hedging = context.hedging


@given("ties between servers are broken at random")
def step_impl(context):
    context.placement._rng = random.Random(1)


@given("servers take {usual:g} s, the first one {slow:g} s for each request of {n:d}")
@when("servers take {usual:g} s, the first one {slow:g} s for each request of {n:d}")
def step_impl(context, usual, slow, n):
    for index in range(1, len(context.servers)):
        time_server(context, index, itertools.repeat(usual))
    time_server(context, 0, itertools.cycle([usual] * (n - 1) + [slow]))


@when("{count:d} requests are served in {seconds:g} s and measured")
def step_impl(context, count, seconds):
    before = sum(server.calls for server in context.servers)

    async def load():
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.ensure_future(serve(context)))
            await asyncio.sleep(seconds / count)
        return await asyncio.gather(*tasks)

    served = run(context, load())
    assert all(problem is None for problem, _, _, _ in served)
    context.took_s = sorted(took_s for _, _, _, took_s in served)
    context.extra = sum(server.calls for server in context.servers) - before - count


@then("99 of 100 requests took at {bound} {seconds:g} s")
def step_impl(context, bound, seconds):
    took_s = context.took_s[int(0.99 * len(context.took_s)) - 1]
    assert took_s <= seconds if bound == "most" else took_s >= seconds, took_s


@then("the extra attempts are at most {share:g} of the requests")
def step_impl(context, share):
    assert context.extra <= share * len(context.took_s), context.extra


@then("there are {count:d} extra attempts")
def step_impl(context, count):
    assert context.extra == count, context.extra


@given("the pool took {seconds:g} s for each of {count:d} requests lately")
def step_impl(context, seconds, count):
    async def record():
        context.began_s = now()
        for _ in range(count):
            context.forwarder._window("p").record_request()
            context.hedging.record("p", "route", seconds)

    run(context, record())


@given("{count:d} hedges were sent lately")
def step_impl(context, count):
    async def record():
        for _ in range(count):
            context.hedging.record_sent("p")

    run(context, record())


@given("half of the retry budget is used up")
def step_impl(context):
    async def reserve():
        window = context.forwarder._window("p")
        count = sum(1 for _ in iter(window.reserve_spare, None))
        assert window.reserve(count - 1), "nothing is left for retries"

    run(context, reserve())


@given("the servers report {running:d} running, {waiting:d} waiting")
def step_impl(context, running, waiting):
    async def record():
        for server in context.servers:
            record = context.placement.record(server.name)
            record.record_load(running, waiting)

    run(context, record())


@given("the event loop is late by {seconds:g} s")
def step_impl(context, seconds):
    async def record():
        context.host_delay.record_loop_delay(seconds)

    run(context, record())


@given("all other servers are evacuated")
def step_impl(context):
    first, *others = context.view.fleet_servers
    others = [replace(server, data_centre="west") for server in others]
    context.view.fleet_servers = (first, *others)
    context.evacuated = frozenset(("west",))


@given("server {number:d} takes {seconds:g} s and then {failure}")
def step_impl(context, number, seconds, failure):
    time_server(context, number - 1, itertools.repeat(seconds), failure)


@then('the refusal of the hedge is "{refusal}"')
@then('the refusal of the hedge is ""')
def step_impl(context, refusal=""):
    expected = {HedgeRefusal(refusal): 1} if refusal else {}
    assert context.hedging.count_by_refusal == expected


@then("the call to the first server ended within {seconds:g} s of the request")
def step_impl(context, seconds):
    closed_s = context.servers[0].closed_s
    assert closed_s is not None
    assert closed_s - context.began_s <= seconds, closed_s - context.began_s


@then("server {number:d} is {state}")
def step_impl(context, number, state):
    async def query():
        return context.placement.record(f"s{number - 1}").is_avoided

    assert run(context, query()) == (state == "avoided")


@then("the second server has less time than the first")
def step_impl(context):
    first, second = (server.received[0].remaining_s for server in context.servers[:2])
    assert second <= first - 0.02, (first, second)


@then('the hedge is logged as "{result}"')
def step_impl(context, result):
    (line,) = [m for m in context.messages if m["message_type"] == "request:hedged"]
    assert line["result"] == result, line
    assert {r.value: n for r, n in context.hedging.count_by_result.items()} == {
        result: 1
    }


@then("no server has a request in flight")
def step_impl(context):
    async def query():
        await asyncio.sleep(0)
        return [context.placement.record(s.name).in_flight for s in context.servers]

    in_flight = run(context, query())
    assert not any(in_flight), in_flight
