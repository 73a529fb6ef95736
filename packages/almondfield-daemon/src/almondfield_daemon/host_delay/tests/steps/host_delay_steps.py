"""Steps of host_delay.feature."""

import asyncio

from behave import given, then, when

from almondfield_daemon.host_delay import HostDelay
from almondfield_testing import run


@given("replies that take {times} s")
def step_impl(context, times):
    context.host_delay = HostDelay()
    record(context, times)


@when("the replies take {times} s")
def step_impl(context, times):
    record(context, times)


def record(context, times):
    """Record a reply of one host for each time."""

    async def main():
        for number, seconds in enumerate(times.split()):
            context.host_delay.record_reply(f"c{number}", float(seconds))

    run(context, main())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("the delay is {seconds:g} s, and the host is {state}")
def step_impl(context, seconds, state):
    async def query():
        return context.host_delay.seconds(), context.host_delay.is_late

    assert run(context, query()) == (seconds, state == "late")


@when("the event loop is late by {seconds:g} s")
def step_impl(context, seconds):
    async def main():
        context.host_delay.record_loop_delay(seconds)

    run(context, main())


@then("timeouts are longer by {seconds:g} s")
def step_impl(context, seconds):
    async def query():
        return context.host_delay.allowance_s()

    assert run(context, query()) == seconds
