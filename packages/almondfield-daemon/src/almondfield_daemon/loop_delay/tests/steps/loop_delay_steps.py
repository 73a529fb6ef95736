"""Steps of loop_delay.feature."""

import asyncio
import time

import eliot
from behave import given, then, when

from almondfield_daemon.fleet_daemon import SuspendAwareLoop
from almondfield_daemon.loop_delay import (
    ArrivalTracker,
    IterationTimes,
    LongestDelay,
    LoopMonitor,
)
from almondfield_testing import run


class _FixedIterations:
    """Iterations of which each interval has the same delays."""

    def __init__(self, seconds, late_count):
        self._longest = LongestDelay(seconds, late_count)

    def take_longest(self):
        return self._longest


def begin_iterations(context, *begun):
    for begun_s in begun:
        context.iterations.record(begun_s, 0, begun_s)


@given("iterations that began at 0.0, 0.5 and 1.0 s, and a connection made in the last")
def step_impl(context):
    context.iterations = IterationTimes(0.0)
    begin_iterations(context, 0.5, 1.0)
    context.arrivals = ArrivalTracker(context.iterations)


@given("a connection in an event loop that records no iterations")
def step_impl(context):
    context.arrivals = ArrivalTracker(None)


def read_request(context):
    context.arrival = context.arrivals.next_arrival()


@when("its first request is read")
def step_impl(context):
    read_request(context)


@when("its first request is read two iterations later, at 2.0 s")
def step_impl(context):
    begin_iterations(context, 1.5, 2.0)
    read_request(context)


@when("its first request is read three iterations later, at 2.6 s")
def step_impl(context):
    begin_iterations(context, 1.5, 2.0, 2.6)
    read_request(context)


@when("its next request is read in the next iteration, at 2.6 s")
def step_impl(context):
    begin_iterations(context, 2.6)
    read_request(context)


@then("that request arrived between {earliest:g} and {latest:g} s and is the first")
def step_impl(context, earliest, latest):
    arrival = context.arrival
    assert (arrival.earliest_s, arrival.latest_s) == (earliest, latest), arrival
    assert arrival.is_first, arrival


@then("that request arrived between {earliest:g} and {latest:g} s and is not the first")
def step_impl(context, earliest, latest):
    arrival = context.arrival
    assert (arrival.earliest_s, arrival.latest_s) == (earliest, latest), arrival
    assert not arrival.is_first, arrival


@then("it is unknown when that request arrived")
def step_impl(context):
    assert context.arrival is None, context.arrival


@given("an iteration whose callbacks take {seconds:g} s")
def step_impl(context, seconds):
    context.iterations = IterationTimes(0.0)
    context.called_s = seconds


@when("the selector is asked to wait for {timeout} s and returns after {wait:g} s")
def step_impl(context, timeout, wait):
    timeout_s = None if timeout == "none" else float(timeout)
    called_s = context.called_s
    context.iterations.record(called_s, timeout_s, called_s + wait)


@then("the longest delay is {seconds:g} s, with {count:d} late iterations")
@then("the longest delay after that is {seconds:g} s, with {count:d} late iterations")
def step_impl(context, seconds, count):
    longest = context.iterations.take_longest()
    found = (round(longest.seconds, 6), longest.late_count)
    assert found == (seconds, count), longest


@given(
    "an event loop whose longest delay is {seconds:g} s, in {count:d} late iterations "
    "of each interval"
)
def step_impl(context, seconds, count):
    context.loop.iterations = _FixedIterations(seconds, count)
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)


@when("it is monitored for {seconds:g} s")
def step_impl(context, seconds):
    context.delays_s = []

    async def monitor():
        task = asyncio.ensure_future(LoopMonitor(context.delays_s.append).run())
        await asyncio.sleep(seconds)
        task.cancel()

    run(context, monitor())


@given("the event loop of a daemon")
def step_impl(context):
    context.daemon_loop = SuspendAwareLoop()
    context.add_cleanup(context.daemon_loop.close)


@when("each of its next {count:d} iterations lasts {seconds:g} s while it is monitored")
def step_impl(context, count, seconds):
    context.delays_s = []

    async def monitor():
        task = asyncio.ensure_future(LoopMonitor(context.delays_s.append).run())
        for _ in range(count):
            await asyncio.sleep(0)
            time.sleep(seconds)
        task.cancel()

    context.daemon_loop.run_until_complete(monitor())


@then("each measured delay is between {least:g} and {most:g} s")
def step_impl(context, least, most):
    assert context.delays_s
    assert all(least <= delay_s < most for delay_s in context.delays_s), (
        context.delays_s
    )


def late_lines(context):
    return [m for m in context.messages if m["message_type"] == "loop:late"]


@then("there are {lines:d} lines of {count:d} late iterations and {delay_ms:d} ms")
def step_impl(context, lines, count, delay_ms):
    found = [(m["late_iterations"], m["longest_ms"]) for m in late_lines(context)]
    assert found == [(count, delay_ms)] * lines, found


@then("there are no lines")
def step_impl(context):
    assert not late_lines(context), late_lines(context)


@then("{count:d} intervals of {seconds:g} s were measured")
def step_impl(context, count, seconds):
    assert context.delays_s == [seconds] * count, context.delays_s
