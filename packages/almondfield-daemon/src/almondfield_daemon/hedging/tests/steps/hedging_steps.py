"""Steps of hedging.feature."""

import asyncio

from behave import given, then, when

from almondfield_daemon.forwarding.budget import SAFETY_FACTOR, RetryWindow
from almondfield_daemon.hedging import Hedging, PoolLoad
from almondfield_daemon.host_delay import HostDelay
from almondfield_testing import in_loop, run

WINDOW_S = 10.0
DELAY_S = 0.1
ENOUGH_REQUESTS = 1000
IDLE = PoolLoad(0, 10)


@given("hedging within a share of {share:g}")
def step_impl(context, share):
    context.host_delay = HostDelay()
    context.hedging = Hedging(share, WINDOW_S, context.host_delay)


@given("{count:d} durations from {least:g} s to {most:g} s")
@in_loop
async def step_impl(context, count, least, most):
    for number in range(count):
        duration_s = least + (most - least) * number / (count - 1)
        context.hedging.record("p", "r", duration_s)


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("the delay is {delay} s")
@in_loop
async def step_impl(context, delay):
    delay_s = context.hedging.delay_s("p", "r")
    if delay == "none":
        assert delay_s is None, delay_s
    else:
        assert abs(delay_s - float(delay)) < 0.0015, delay_s


@then("the delay of another route is unknown")
@in_loop
async def step_impl(context):
    assert context.hedging.delay_s("p", "r") is not None
    assert context.hedging.delay_s("p", "other") is None


@when("{routes:d} routes have {count:d} durations each")
@in_loop
async def step_impl(context, routes, count):
    for number in range(routes):
        for _ in range(count):
            context.hedging.record("p", f"r{number}", 0.1)


@then("at most {routes:d} routes with {count:d} durations are kept")
def step_impl(context, routes, count):
    kept = context.hedging._pool_by_name["p"]._durations_by_route
    assert len(kept) <= routes, len(kept)
    assert all(len(durations._samples) <= count for durations in kept.values())


@then("{count:d} hedges of {requests:d} requests are allowed")
@in_loop
async def step_impl(context, count, requests):
    sent = 0
    while context.hedging.refusal("p", DELAY_S, DELAY_S, requests, IDLE) is None:
        context.hedging.record_sent("p")
        sent += 1
    assert sent == count, sent


@given("{busy:d} of {slots:d} slots are busy")
def step_impl(context, busy, slots):
    context.load = PoolLoad(busy, slots)


@given("the wait is noticed after {waited:g} s instead of {delay:g} s")
def step_impl(context, waited, delay):
    context.waited_s, context.delay_s = waited, delay


@given("the event loop was late by {seconds:g} s")
@in_loop
async def step_impl(context, seconds):
    context.host_delay.record_loop_delay(seconds)


@then('the refusal is "{refusal}"')
@in_loop
async def step_impl(context, refusal):
    found = context.hedging.refusal(
        "p", context.delay_s, context.waited_s, ENOUGH_REQUESTS, context.load
    )
    assert (found or "none") == refusal, found


@given("a retry budget of {count:d} repeats")
def step_impl(context, count):
    slack = (count + 0.5) / SAFETY_FACTOR
    context.window = RetryWindow(WINDOW_S, 0.0, slack, lambda: 1)


@then("{hedges:d} hedges are allowed, and {retries:d} retries after them")
@in_loop
async def step_impl(context, hedges, retries):
    assert sum(1 for _ in iter(context.window.reserve_spare, None)) == hedges
    assert sum(1 for _ in iter(lambda: context.window.reserve(1), ())) == retries
