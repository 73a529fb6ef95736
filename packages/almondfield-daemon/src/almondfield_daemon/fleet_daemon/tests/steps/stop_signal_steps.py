"""Steps of stop_signal.feature."""

import asyncio

import eliot
from behave import given, then, when

from almondfield_daemon.fleet_daemon import StopSignal
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
