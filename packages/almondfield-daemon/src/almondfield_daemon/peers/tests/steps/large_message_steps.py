"""Steps of peers.feature about messages that fit in no frame."""

from behave import then, when

from almondfield_core.messages import DemandReport
from almondfield_testing import run

BYTES_PER_MIB = 1024 * 1024
MESSAGE_OVERHEAD_BYTES = 64 * 1024  # of small messages


@when('"{name}" sends a report of {size:d} MiB to "{target}" and awaits the reply')
def step_impl(context, name, size, target):
    report = DemandReport("x" * size * BYTES_PER_MIB, 1, 1, 1, 0)
    peers = context.nodes[name].peers
    context.reply = run(context, peers.request(target, report, 1.0))


@then('the request fails with "{reason}"')
def step_impl(context, reason):
    assert context.reply.unwrap_err().reason == reason, context.reply


@when('"{name}" sends {count:d} one-way reports of {size:d} MiB to "{target}"')
def step_impl(context, name, count, size, target):
    report = DemandReport("x" * size * BYTES_PER_MIB, 1, 1, 1, 0)

    async def send():
        for _ in range(count):
            context.nodes[name].peers.send(target, report)

    run(context, send())


@when("connections accept frames again")
def step_impl(context):
    context.network.rejects_frames = False


@then('"{name}" keeps at most {size:d} MiB for "{target}"')
def step_impl(context, name, size, target):
    queue = context.nodes[name].peers._link_by_host[target]._queue
    held = sum(len(envelope.body) for envelope in queue)
    assert held <= size * BYTES_PER_MIB + MESSAGE_OVERHEAD_BYTES, held
