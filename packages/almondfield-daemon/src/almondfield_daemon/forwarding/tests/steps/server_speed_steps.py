"""Steps of server_speed.feature."""

from behave import given, then

from almondfield_daemon.forwarding import ServerLoad
from almondfield_daemon.forwarding.tests.fakes import FakeReports, make_assignment


@given("answers of the first server report a slowdown of {slowdown:g}")
def step_impl(context, slowdown):
    context.servers[0].load = ServerLoad(0, 0, 8, slowdown)


@given("the scheduler assigns requests to the first server")
def step_impl(context):
    context.reports = FakeReports()
    name = context.servers[0].name
    context.engines.assignment = make_assignment(name, context.reports)


@then("the first server received at most {most:d} requests")
def step_impl(context, most):
    assert len(context.servers[0].received) <= most, len(context.servers[0].received)


@then(
    "it is told of a slowdown of {slowdown:g} that is new, and then of one that isn't"
)
def step_impl(context, slowdown):
    expected = [(slowdown, True), (slowdown, False)]
    assert context.reports.slowdowns == expected, context.reports.slowdowns
