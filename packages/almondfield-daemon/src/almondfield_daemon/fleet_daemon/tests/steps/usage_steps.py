"""Steps of usage.feature."""

import asyncio

import eliot
from behave import given, then, when

from almondfield_daemon.fleet_daemon import SuspendAwareLoop
from almondfield_daemon.fleet_daemon.usage import log_usage
from almondfield_testing import run


@given("the event loop of a fleet daemon")
def step_impl(context):
    context.daemon_loop = SuspendAwareLoop()
    context.add_cleanup(context.daemon_loop.close)


@when("it waits {count:d} times for {seconds:g} s")
def step_impl(context, count, seconds):
    async def wait():
        for _ in range(count):
            await asyncio.sleep(seconds)

    context.daemon_loop.run_until_complete(wait())


@when("it yields {count:d} times without waiting")
def step_impl(context, count):
    async def wait():
        for _ in range(count):
            await asyncio.sleep(0)

    context.daemon_loop.run_until_complete(wait())


@then("it has woken up between {least:d} and {most:d} times")
def step_impl(context, least, most):
    assert least <= context.daemon_loop.wake_ups <= most, context.daemon_loop.wake_ups


@when("the usage is logged for {seconds:g} s")
def step_impl(context, seconds):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)

    async def log():
        task = asyncio.ensure_future(log_usage())
        await asyncio.sleep(seconds)
        task.cancel()

    run(context, log())


@then("there are {count:d} lines with processor time, wake-ups and memory")
def step_impl(context, count):
    lines = [m for m in context.messages if m["message_type"] == "daemon:usage"]
    assert len(lines) == count, lines
    for line in lines:
        assert {"cores", "wake_ups_per_s", "peak_mib"} <= set(line), line
        assert line["peak_mib"] > 0, line
