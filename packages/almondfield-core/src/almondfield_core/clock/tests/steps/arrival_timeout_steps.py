"""Steps of arrival_timeout.feature.

Callbacks that become due while the loop is busy run in one iteration, the timer of the
timeout first: so do those of sockets and timers in a loop that is late.
"""

import asyncio

from behave import given, then, when

from almondfield_core.clock import ArrivalTimeout, now
from almondfield_testing import run

TOLERANCE_S = 0.001


async def wait(context, future, timeout_s):
    """Record how a wait ends, and when."""
    started_s = now()
    try:
        async with ArrivalTimeout(timeout_s):
            await future
            context.outcome = "the data"
    except TimeoutError:
        context.outcome = "a timeout"
    except asyncio.CancelledError:
        context.outcome = "a cancellation"
    context.waited_s = now() - started_s


@given("data that arrives after {seconds:g} s")
def step_impl(context, seconds):
    context.arrival_s = seconds


@when(
    "a task waits for it for {timeout_s:g} s, and the loop is busy until {busy_s:g} s"
)
def step_impl(context, timeout_s, busy_s):
    async def main():
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        schedule = loop.call_later

        # The loop runs what falls due while it is busy when it is no longer busy.
        def call_later(delay_s, callback, *args):
            is_delayed = delay_s < busy_s
            return schedule(busy_s if is_delayed else delay_s, callback, *args)

        loop.call_later = call_later
        waiting = asyncio.ensure_future(wait(context, future, timeout_s))
        await asyncio.sleep(0)
        loop.call_later(context.arrival_s, future.set_result, None)
        await waiting

    run(context, main())


@when("a task waits for {timeout_s:g} s for data that never arrives")
def step_impl(context, timeout_s):
    async def main():
        await wait(context, asyncio.get_running_loop().create_future(), timeout_s)

    run(context, main())


@when("a task that waits for {timeout_s:g} s is cancelled after {seconds:g} s")
def step_impl(context, timeout_s, seconds):
    async def main():
        future = asyncio.get_running_loop().create_future()
        waiting = asyncio.ensure_future(wait(context, future, timeout_s))
        await asyncio.sleep(seconds)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    run(context, main())


@then("the wait ends with {outcome} after {seconds:g} s")
def step_impl(context, outcome, seconds):
    assert context.outcome == outcome, context.outcome
    assert abs(context.waited_s - seconds) < TOLERANCE_S, context.waited_s


@then("the wait ends with {outcome}")
def step_impl(context, outcome):
    assert context.outcome == outcome, context.outcome
