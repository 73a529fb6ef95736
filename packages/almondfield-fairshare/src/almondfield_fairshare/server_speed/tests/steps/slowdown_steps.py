"""Steps of slowdown.feature."""

import asyncio

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_fairshare.server_speed import Slowdown, largest_slowdowns
from almondfield_testing import run


async def report(context, slowdown):
    if not hasattr(context, "slowdown"):
        context.slowdown = Slowdown()
    context.slowdown.record(slowdown, now())


async def lost_s(context, seconds):
    return context.slowdown.loss_s(now() - seconds, now())


@when("a server reports {slowdown:S}")
def step_impl(context, slowdown):
    run(context, report(context, float(slowdown)))


@when("a server reports {slowdown:g} each {gap:g} s for {seconds:g} s")
def step_impl(context, slowdown, gap, seconds):
    async def report_all():
        for _ in range(round(seconds / gap)):
            await report(context, slowdown)
            await asyncio.sleep(gap)

    run(context, report_all())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("its slowdown is between {least:g} and {most:g}")
def step_impl(context, least, most):
    async def factor():
        return context.slowdown.factor(now())

    value = run(context, factor())
    assert least - 1e-9 <= value <= most + 1e-9, value


@then("it lost at most {most:g} s in the last {seconds:g} s")
def step_impl(context, most, seconds):
    value = run(context, lost_s(context, seconds))
    assert value <= most, value


@then("it lost at least {least:g} s in the last {seconds:g} s")
def step_impl(context, least, seconds):
    value = run(context, lost_s(context, seconds))
    assert value >= least, value


@given('servers "{first:d}" to "{last:d}" whose slowdown is their number')
def step_impl(context, first, last):
    context.slowdowns = {str(n): float(n) for n in range(first, last + 1)}


@then('a log line names "{first:d}" to "{last:d}"')
def step_impl(context, first, last):
    named = largest_slowdowns(context.slowdowns)
    assert list(named) == [str(n) for n in range(first, last - 1, -1)], named
