"""Steps of periodic_timer.feature."""

import asyncio
import math

from behave import given, then, when

from almondfield_core.clock import PeriodicTimer, now

TIMES_S = [number * 0.017 for number in range(400)]
TOLERANCE_S = 1e-6


@given('a timer of host "{host}" with interval {interval:g} s')
def step_impl(context, host, interval):
    context.host = host
    context.interval = interval
    context.timer = PeriodicTimer(host, interval)


@when("tasks start to wait at {first:g} s, {second:g} s and {third:g} s")
def step_impl(context, first, second, third):
    async def task(start_s):
        await asyncio.sleep(start_s - now())
        await context.timer.wait()
        return now()

    async def run():
        return await asyncio.gather(*map(task, (first, second, third)))

    context.wake_times_s = context.loop.run_until_complete(run())


@then("they wake a whole number of intervals apart")
def step_impl(context):
    tick_numbers = {wake_s / context.interval for wake_s in context.wake_times_s}
    gaps = [abs(a - b) for a in tick_numbers for b in tick_numbers]
    assert all(math.isclose(gap, round(gap), abs_tol=TOLERANCE_S) for gap in gaps), (
        tick_numbers
    )


@then("after any time the next tick is {min_s:g} s to {max_s:g} s later")
def step_impl(context, min_s, max_s):
    gaps = [context.timer.next_tick_s(time_s) - time_s for time_s in TIMES_S]
    assert min(gaps) >= min_s - TOLERANCE_S, gaps
    assert max(gaps) <= max_s + TOLERANCE_S, gaps


@then("after any tick the next one is {gap:g} s later")
def step_impl(context, gap):
    for time_s in TIMES_S:
        tick_s = context.timer.next_tick_s(time_s)
        assert math.isclose(context.timer.next_tick_s(tick_s) - tick_s, gap)


@then("each tick is also a tick of a timer with interval {interval:g} s")
def step_impl(context, interval):
    finer = PeriodicTimer(context.host, interval)
    for tick_s in map(context.timer.next_tick_s, TIMES_S):
        before_s = tick_s - interval / 2
        assert math.isclose(finer.next_tick_s(before_s), tick_s), tick_s


@then("every second tick is a tick of a timer with interval {interval:g} s")
def step_impl(context, interval):
    coarser = PeriodicTimer(context.host, interval)
    for tick_s in map(coarser.next_tick_s, TIMES_S):
        before_s = tick_s - context.interval / 2
        assert math.isclose(context.timer.next_tick_s(before_s), tick_s), tick_s


@then('the ticks of host "{other}" fall between them')
def step_impl(context, other):
    phase_difference_s = context.timer.next_tick_s(0.0) - PeriodicTimer(
        other, context.interval
    ).next_tick_s(0.0)
    assert abs(phase_difference_s) > TOLERANCE_S, phase_difference_s
