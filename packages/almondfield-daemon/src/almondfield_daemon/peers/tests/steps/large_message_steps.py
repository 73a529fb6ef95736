"""Steps of peers.feature about messages that fit in no frame."""

from behave import then, when

from almondfield_core.messages import DemandReport
from almondfield_testing import run

BYTES_PER_MIB = 1024 * 1024


@when('"{name}" sends a report of {size:d} MiB to "{target}" and awaits the reply')
def step_impl(context, name, size, target):
    report = DemandReport("x" * size * BYTES_PER_MIB, 1, 1, 1, 0)
    peers = context.nodes[name].peers
    context.reply = run(context, peers.request(target, report, 1.0))


@then('the request fails with "{reason}"')
def step_impl(context, reason):
    assert context.reply.unwrap_err().reason == reason, context.reply
