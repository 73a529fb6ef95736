"""Steps of stops.feature."""

import asyncio

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.forwarding.stop_limits import StopLimits, StopPlan
from almondfield_daemon.forwarding.tests.requests import route, serve
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


@then("a stop that ends after {end_s:g} s {allows} another request")
def step_impl(context, end_s, allows):
    async def ask():
        limits = stop_limits(context)
        limits.begin(StopPlan(end_s=now() + end_s))
        return limits.allows_attempt(route("idempotent", 1))

    assert run(context, ask()) == (allows == "allows")
