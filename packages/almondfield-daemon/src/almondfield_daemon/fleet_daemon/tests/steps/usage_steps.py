"""Steps of usage.feature."""

import asyncio

import eliot
from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.fleet_daemon import SuspendAwareLoop
from almondfield_daemon.fleet_daemon.usage import log_usage
from almondfield_daemon.peers import KindStats
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


@given(
    "{count:d} kinds of messages, each of which takes as many ms a second as its "
    "number says"
)
def step_impl(context, count):
    def stats_by_kind():
        return {
            f"kind-{number}": KindStats(
                received=round(now()), processor_s=number * now() / 1000
            )
            for number in range(1, count + 1)
        }

    context.stats_by_kind = stats_by_kind


@when("the usage is logged for {seconds:g} s")
def step_impl(context, seconds):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)

    async def log():
        stats_by_kind = getattr(context, "stats_by_kind", dict)
        task = asyncio.ensure_future(log_usage(stats_by_kind))
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


@then(
    "each line names the {count:d} with the most processor time, and their numbers in "
    "{seconds:d} s"
)
def step_impl(context, count, seconds):
    lines = [m for m in context.messages if m["message_type"] == "daemon:usage"]
    assert lines
    for line in lines:
        assert line["messages"] == [
            {
                "kind": f"kind-{number}",
                "processor_ms": float(number * seconds),
                "received": seconds,
                "sent": 0,
            }
            for number in range(10, 10 - count, -1)
        ], line["messages"]
