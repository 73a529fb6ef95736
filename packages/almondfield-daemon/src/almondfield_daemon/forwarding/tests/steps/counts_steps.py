"""Steps of counts.feature."""

import asyncio

import eliot
from behave import given, then, when

from almondfield_daemon.forwarding import RequestCounts, log_request_counts
from almondfield_testing import run


@given("the counts of a router, logged once a second")
def step_impl(context):
    context.counts = RequestCounts()
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)

    async def start():
        logged = log_request_counts(context.counts, lambda: 7, lambda: 9, lambda: 1)
        context.task = asyncio.ensure_future(logged)

    run(context, start())


@when('team "{team}" is refused {count:d} times for "{cause}"')
def step_impl(context, team, count, cause):
    for _ in range(count):
        context.counts.record_refusal(team, cause)


@when('team "{team}" gets {count:d} answers with status {status:d}')
def step_impl(context, team, count, status):
    for _ in range(count):
        context.counts.record_answer(team, status)


@when("{count:d} bytes of bodies are read")
def step_impl(context, count):
    context.counts.record_body(count)


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@then(
    "{lines:d} line is logged, with {requests:d} requests and {size:d} bytes of bodies"
)
def step_impl(context, lines, requests, size):
    assert len(context.messages) == lines, context.messages
    line = context.messages[0]
    assert line["message_type"] == "request:counts", line
    assert (line["requests"], line["body_bytes"]) == (requests, size), line


@then('its first team is "{team}" with {count:d} refusals for "{cause}"')
def step_impl(context, team, count, cause):
    first = context.messages[0]["teams"][0]
    assert first == {"team": team, "answers": {}, "refusals": {cause: count}}, first


@then("{count:d} lines are logged")
def step_impl(context, count):
    assert len(context.messages) == count, context.messages


@when(
    'teams "{first:d}" to "{last:d}" are each refused as often as their number says '
    'for "{cause}"'
)
def step_impl(context, first, last, cause):
    for number in range(first, last + 1):
        for _ in range(number):
            context.counts.record_refusal(str(number), cause)


@then('it names teams "{first:d}" to "{last:d}"')
def step_impl(context, first, last):
    named = [team["team"] for team in context.messages[0]["teams"]]
    assert named == [str(number) for number in range(first, last - 1, -1)], named
