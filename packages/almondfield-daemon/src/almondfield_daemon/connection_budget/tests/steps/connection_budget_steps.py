"""Steps of connection_budget.feature."""

import asyncio

import eliot
from behave import given, then, when

from almondfield_daemon.connection_budget import ConnectionBudget, Limit, Phase
from almondfield_testing import run


class FakeConnection:
    """A connection that records why it was closed, and ends at once."""

    def __init__(self, name, budget, closed):
        self.name = name
        self._budget = budget
        self._closed = closed

    def shed(self, limit):
        """Record the limit and end."""
        self._closed.append((self.name, limit))
        self._budget.disconnect(self)


def connect(context, name):
    """Return a new connection."""
    connection = FakeConnection(name, context.budget, context.closed)
    context.connection_by_name[name] = connection
    context.budget.connect(connection)
    return connection


@given("a budget of {size:d} bytes and {count:d} connections")
def step_impl(context, size, count):
    context.budget = ConnectionBudget(size, count)
    context.closed = []
    context.connection_by_name = {}
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)


@when("connections hold these bytes, one a second")
def step_impl(context):
    async def hold():
        for row in context.table:
            connection = connect(context, row["name"])
            context.budget.hold(connection, int(row["bytes"]), Phase(row["phase"]))
            await asyncio.sleep(1)

    run(context, hold())


@when("connections come at once")
def step_impl(context):
    async def come():
        for row in context.table:
            connect(context, row["name"])

    run(context, come())


@when("{count:d} connections of {size:d} bytes come within {seconds:g} s")
def step_impl(context, count, size, seconds):
    async def come():
        for number in range(count):
            connection = connect(context, str(number))
            context.budget.hold(connection, size, Phase.WAITING)
            await asyncio.sleep(seconds / count)

    run(context, come())


@when('"{name}" ends')
def step_impl(context, name):
    context.budget.disconnect(context.connection_by_name[name])


@then('"{names}" is closed for {limit}')
def step_impl(context, names, limit):
    expected = [(name, Limit(limit)) for name in names.split(",")]
    assert context.closed == expected, context.closed


@then("the budget holds {size:d} bytes")
def step_impl(context, size):
    assert context.budget.held_bytes == size, context.budget.held_bytes


@then("at most {count:d} lines are written")
def step_impl(context, count):
    lines = [
        message
        for message in context.messages
        if message["message_type"] == "connections:limited"
    ]
    assert 0 < len(lines) <= count, len(lines)


@then("the budget has counted {count:d} closed for {limit}")
def step_impl(context, count, limit):
    found = context.budget.count_by_limit[Limit(limit)]
    assert found == count, found
