"""Steps of claims.feature."""

import asyncio

from behave import then, when
from control_fleet import in_loop

from almondfield_core.messages import (
    ClaimAnswered,
    ClaimGranted,
    ClaimRequest,
    StoredAnswer,
)


@when('{host} claims key "{key}" with fingerprint "{fingerprint}"')
@in_loop
async def step_impl(context, host, key, fingerprint):
    request = ClaimRequest("team", key, fingerprint, f"attempt-{host}")
    outcome = await context.fleet.node_by_host[host].control.claim(request)
    context.claim_by_host = getattr(context, "claim_by_host", {}) | {host: request}
    reply = outcome.ok_value if outcome.is_ok() else outcome.err_value
    context.reply_by_host = getattr(context, "reply_by_host", {}) | {host: reply}


@when("{host} settles its claim with an answer of {size:d} bytes")
@in_loop
async def step_impl(context, host, size):
    answer = StoredAnswer(200, (("a", "b"),), b"x" * size)
    control = context.fleet.node_by_host[host].control
    stored = await control.settle_claim(context.claim_by_host[host], answer, True)
    assert stored.unwrap() is True


@when("{host} releases its claim")
@in_loop
async def step_impl(context, host):
    control = context.fleet.node_by_host[host].control
    stored = await control.settle_claim(context.claim_by_host[host], None, False)
    assert stored.unwrap() is True


@when("the wall clocks advance by {hours:d} hours")
@in_loop
async def step_impl(context, hours):
    for voter in context.fleet.voters:
        replica = context.fleet.node_by_host[voter].replica
        clock = replica.wall_clock
        replica.wall_clock = type(clock)(clock.offset_s + hours * 3600)


@then("h4 receives {first} and h5 receives {second}")
@in_loop
async def step_impl(context, first, second):
    assert type(context.reply_by_host["h4"]).__name__ == first
    assert type(context.reply_by_host["h5"]).__name__ == second


@then("h5 receives ClaimAnswered without its body")
@in_loop
async def step_impl(context):
    answer = context.reply_by_host["h5"].answer
    assert answer == StoredAnswer(200, (("a", "b"),), b"", complete=False), answer


@then("{host:w} receives {name:w}")
@in_loop
async def step_impl(context, host, name):
    reply = context.reply_by_host[host]
    assert type(reply).__name__ == name, reply
    if isinstance(reply, ClaimAnswered):
        assert reply.answer.status == 200


@when("{host} makes {count:d} claims at once")
@in_loop
async def step_impl(context, host, count):
    control = context.fleet.node_by_host[host].control
    context.outcomes = await asyncio.gather(
        *(control.claim(ClaimRequest("t", f"{n}", "p", f"{n}")) for n in range(count))
    )


@then("every claim is granted, in at most {limit:d} messages")
@in_loop
async def step_impl(context, limit):
    assert all(item.unwrap() == ClaimGranted() for item in context.outcomes)
    count = context.fleet.network.count_by_kind["batch-request"]
    assert count <= limit, count


@when("{host} requests {count:d} fencing numbers")
@in_loop
async def step_impl(context, host, count):
    context.numbers = getattr(context, "numbers", [])
    for _ in range(count):
        number = await context.fleet.node_by_host[host].control.next_fencing()
        context.numbers.append(number.unwrap())


@then("the fencing numbers increase")
@in_loop
async def step_impl(context):
    numbers = context.numbers
    assert len(numbers) == 6
    assert numbers == sorted(set(numbers)), numbers
