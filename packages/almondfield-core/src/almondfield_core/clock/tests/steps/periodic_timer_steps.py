"""Steps of periodic_timer.feature."""

import asyncio
import math

from behave import given, then, when

from almondfield_core.clock import Beat, now

TIMES_S = [number * 0.017 for number in range(400)]
CLOSE_S = 1e-6


@given('beats of host "{host}" every {interval:g} s')
def step_impl(context, host, interval):
    context.host = host
    context.interval = interval
    context.beat = Beat(host, interval)


@when("parts wait from {first:g} s, {second:g} s and {third:g} s on")
def step_impl(context, first, second, third):
    async def part(start_s):
        await asyncio.sleep(start_s - now())
        await context.beat.wait()
        return now()

    async def run():
        return await asyncio.gather(*map(part, (first, second, third)))

    context.woke_s = context.loop.run_until_complete(run())


@then("they wake whole intervals apart")
def step_impl(context):
    numbers = {woke / context.interval for woke in context.woke_s}
    gaps = [abs(a - b) for a in numbers for b in numbers]
    assert all(math.isclose(gap, round(gap), abs_tol=CLOSE_S) for gap in gaps), numbers


@then("after any time the next beat is {least:g} s to {most:g} s later")
def step_impl(context, least, most):
    gaps = [context.beat.next_s(time_s) - time_s for time_s in TIMES_S]
    assert min(gaps) >= least - CLOSE_S, gaps
    assert max(gaps) <= most + CLOSE_S, gaps


@then("after any beat the next one is {gap:g} s later")
def step_impl(context, gap):
    for time_s in TIMES_S:
        beat_s = context.beat.next_s(time_s)
        assert math.isclose(context.beat.next_s(beat_s) - beat_s, gap)


@then("each is a beat every {interval:g} s, too")
def step_impl(context, interval):
    finer = Beat(context.host, interval)
    for beat_s in map(context.beat.next_s, TIMES_S):
        before_s = beat_s - interval / 2
        assert math.isclose(finer.next_s(before_s), beat_s), beat_s


@then("each second one is a beat every {interval:g} s")
def step_impl(context, interval):
    coarser = Beat(context.host, interval)
    for beat_s in map(coarser.next_s, TIMES_S):
        before_s = beat_s - context.interval / 2
        assert math.isclose(context.beat.next_s(before_s), beat_s), beat_s


@then('the beats of host "{other}" lie between them')
def step_impl(context, other):
    phase = context.beat.next_s(0.0) - Beat(other, context.interval).next_s(0.0)
    assert abs(phase) > CLOSE_S, phase
