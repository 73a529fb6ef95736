"""Steps of stop_signal.feature."""

import asyncio

import eliot
from behave import given, then, when

from almondfield_daemon.fleet_daemon import StopSignal
from almondfield_daemon.loop_delay import IterationTimes
from almondfield_testing import run


@given("a signal to stop, of which a part that fails and a sound one are told")
def step_impl(context):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)
    context.told_s = []

    def fail(requested_s):
        raise RuntimeError("the part fails")

    async def make():
        context.stop = StopSignal()
        context.stop.on_request(fail)
        context.stop.on_request(context.told_s.append)

    run(context, make())


@given("a signal to stop that has come")
def step_impl(context):
    async def make():
        context.stop = StopSignal()
        context.stop.set()

    run(context, make())


@when("the signal comes")
def step_impl(context):
    async def wait():
        waiting = asyncio.ensure_future(context.stop.wait())
        await asyncio.sleep(1.0)
        asyncio.get_running_loop().call_soon(context.stop.set)
        await asyncio.sleep(1.0)
        context.has_gone_on = waiting.done()

    run(context, wait())


@when("the signal comes again {seconds:g} s later")
def step_impl(context, seconds):
    async def set_again():
        await asyncio.sleep(seconds)
        context.stop.set()

    run(context, set_again())


@when("a part begins to listen for it")
def step_impl(context):
    context.told_s = []
    context.stop.on_request(context.told_s.append)


@then("a task that waits for it goes on")
def step_impl(context):
    assert context.has_gone_on


@then("the sound part was told once")
def step_impl(context):
    assert context.told_s == [context.stop.requested_s], context.told_s


@then("the failure was logged")
def step_impl(context):
    reasons = [message.get("reason", "") for message in context.messages]
    assert any("the part fails" in str(reason) for reason in reasons), context.messages


@given("an event loop that was paused for 1 s, and ran some short iterations since")
def step_impl(context):
    context.iterations = IterationTimes(0.0)
    # When the selector was called, its timeout, and when it returned.
    waits = [(9.9, 0.1, 10.0), (10.0, 0.1, 11.0)]
    waits += [(11.0 + n * 0.0002, 0, 11.0001 + n * 0.0002) for n in range(5)]
    for called_s, timeout_s, returned_s in waits:
        context.iterations.record(called_s, timeout_s, returned_s)


@then("the earliest time of a signal that it finds now lies before the pause")
def step_impl(context):
    assert context.iterations.earliest_ready_s(11.0012 - 0.02, 3) == 10.0
