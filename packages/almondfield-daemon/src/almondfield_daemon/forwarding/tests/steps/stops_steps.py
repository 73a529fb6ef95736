"""Steps of stops.feature."""

import asyncio

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.forwarding.stop_limits import StopLimits, StopPlan
from almondfield_daemon.forwarding.tests.fakes import FakeSink
from almondfield_daemon.forwarding.tests.requests import (
    TIMEOUT_S,
    make_request,
    route,
    serve,
)
from almondfield_testing import run


def stop_limits(context):
    """Return the limits of the scenario's forwarder, or of none."""
    if "forwarder" in context:
        return context.forwarder.stop_limits
    if "limits" not in context:
        context.limits = StopLimits()
    return context.limits


@given("{count:d} requests of the route that took {seconds:g} s")
def step_impl(context, count, seconds):
    for _ in range(count):
        stop_limits(context).record_duration("route", seconds)


async def serve_and_stop(context, end_s, after_s, accept_s):
    served = asyncio.ensure_future(serve(context))
    await asyncio.sleep(after_s)
    plan = StopPlan(now() + accept_s, now() + accept_s, now() + end_s)
    context.forwarder.stop_limits.begin(plan)
    return await served


@when(
    "a request is served, and a stop that ends after {end_s:g} s is requested "
    "{after_s:g} s later"
)
def step_impl(context, end_s, after_s):
    context.served = run(context, serve_and_stop(context, end_s, after_s, end_s))


@when(
    "a request is served, and a stop that ends after {end_s:g} s and takes in nothing "
    "is requested {after_s:g} s later"
)
def step_impl(context, end_s, after_s):
    context.served = run(context, serve_and_stop(context, end_s, after_s, 0.0))


@when("{count:d} requests are served whose callers took {seconds:g} s to send them")
def step_impl(context, count, seconds):
    async def serve_late():
        for _ in range(count):
            request = make_request(context, TIMEOUT_S)
            await asyncio.sleep(seconds)
            assert await context.forwarder.serve(request, FakeSink()) is None

    run(context, serve_late())


@then("a stop that ends after {end_s:g} s {allows} another request")
def step_impl(context, end_s, allows):
    async def ask():
        limits = stop_limits(context)
        limits.begin(StopPlan(end_s=now() + end_s))
        return limits.allows_attempt(route("idempotent", 1))

    assert run(context, ask()) == (allows == "allows")


@given(
    "a part of a request with {limit_s:g} s, which takes {release_s:g} s to release "
    "what it holds"
)
def step_impl(context, limit_s, release_s):
    async def part():
        began_s = now()
        try:
            async with stop_limits(context).limit(began_s + limit_s):
                try:
                    await asyncio.sleep(2 * limit_s)
                finally:
                    await asyncio.sleep(release_s)
        except TimeoutError:
            return now() - began_s

    context.part = part


@when("a stop that ended after {end_s:g} s is learned of after {late_s:g} s")
def step_impl(context, end_s, late_s):
    async def stop():
        part = asyncio.ensure_future(context.part())
        end_of_stop_s = now() + end_s
        await asyncio.sleep(late_s)
        stop_limits(context).begin(StopPlan(end_s=end_of_stop_s))
        return await part

    context.took_s = run(context, stop())


@then("the part ends with its timeout after {seconds:g} s")
def step_impl(context, seconds):
    assert context.took_s == seconds, context.took_s
