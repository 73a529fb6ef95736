"""Steps of notices.feature."""

import asyncio
import math

import eliot
from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.server_notices import (
    InvalidRetryAfter,
    Leaving,
    RetryAfter,
    ServerClosedError,
    ServerNotices,
    ServerStart,
)
from almondfield_testing import run

EVENT = "server:retry-after-ignored"


@given('servers "{first}" and "{second}"')
def step_impl(context, first, second):
    context.notices = ServerNotices()
    context.start_by_name = {name: ServerStart(name, 1) for name in (first, second)}
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.add_cleanup(eliot.remove_destination, context.lines.append)


def record(context, name, notices, was_refused, handled_after_s=0.0):
    """Record an answer of a server that arrived some seconds ago."""

    async def main():
        received_s = now() - handled_after_s
        server = context.start_by_name[name]
        context.notices.record(server, notices, received_s, "r")
        if not was_refused:
            context.notices.record_served(server)

    run(context, main())


def refuse(context, name, notice, handled_after_s=0.0):
    record(context, name, (notice,), True, handled_after_s)


@when('"{name}" answers that it leaves')
def step_impl(context, name):
    record(context, name, (Leaving(),), False)


@when('"{name}" answers')
def step_impl(context, name):
    record(context, name, (), False)


@when('"{name}" refuses with a retry time of {seconds:g} s')
def step_impl(context, name, seconds):
    refuse(context, name, RetryAfter(seconds))


@when(
    '"{name}" refuses with a retry time of {seconds:g} s, which is handled {late:g} s '
    "later"
)
def step_impl(context, name, seconds, late):
    refuse(context, name, RetryAfter(seconds), late)


@when('"{name}" refuses with a retry time of {seconds:g} s, twice')
def step_impl(context, name, seconds):
    for _ in range(2):
        refuse(context, name, RetryAfter(seconds))


@when('"{name}" refuses with a retry time of "{text}", twice')
def step_impl(context, name, text):
    for _ in range(2):
        refuse(context, name, InvalidRetryAfter(text))


@when('"{name}" restarts')
def step_impl(context, name):
    start = context.start_by_name[name]
    context.start_by_name[name] = ServerStart(name, start.born_ms + 1)


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('a request is selected for "{name}"')
def step_impl(context, name):
    async def select():
        start = context.start_by_name[name]
        assert context.notices.accepts(start)
        return start, context.notices.begin_trial(start)

    context.selected = run(context, select())


@when("the selected request ends without an answer")
def step_impl(context):
    context.notices.end_trial(*context.selected)


@when("the selected request is refused without a retry time")
def step_impl(context):
    start, trial = context.selected
    record(context, start.name, (), True)
    context.notices.end_trial(start, trial)


@when('only "{name}" is known')
def step_impl(context, name):
    async def retain():
        context.notices.retain([context.start_by_name[name]])

    run(context, retain())


def may_send(context):
    async def check():
        try:
            context.notices.check(*context.selected)
        except ServerClosedError:
            return False
        return True

    return run(context, check())


@then("the selected request may be sent")
def step_impl(context):
    assert may_send(context)


@then("the selected request may not be sent")
def step_impl(context):
    assert not may_send(context)


@then('"{name}" takes {what}')
def step_impl(context, name, what):
    async def query():
        return context.notices.accepts(context.start_by_name[name])

    assert run(context, query()) == (what == "work")


def wait_s(context):
    async def query():
        return context.notices.wait_s(context.start_by_name.values())

    return run(context, query())


@then("work is taken in {seconds:g} s")
def step_impl(context, seconds):
    assert math.isclose(wait_s(context), seconds), wait_s(context)


@then("work is never taken")
def step_impl(context):
    assert wait_s(context) == math.inf, wait_s(context)


@then('{count:d} line says that the retry time "{text}" was ignored')
def step_impl(context, count, text):
    values = [line["value"] for line in context.lines if line["message_type"] == EVENT]
    assert values == [text] * count, values
