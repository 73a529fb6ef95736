"""Steps of silence.feature."""

import eliot
from behave import then, when

from almondfield_daemon.forwarding.tests.requests import serve
from almondfield_testing import run


def line_of(context, kind):
    """Return the only log line of a kind."""
    (line,) = [m for m in context.messages if m["message_type"] == kind]
    return line


@when("a request is served and logged")
def step_impl(context):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)
    context.messages.clear()  # eliot delivers older lines to its first destination
    context.served = run(context, serve(context))


@then("the line of the failed attempt says that the server was {what}")
def step_impl(context, what):
    line = line_of(context, "attempt:failed")
    assert line["was_silent"] == (what == "silent"), line


@then("the line of the request has {count:d} silent attempts")
def step_impl(context, count):
    line = line_of(context, "request:ended")
    assert line["silent_attempts"] == count, line
