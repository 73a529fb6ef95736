"""Steps that play seeded histories."""

import asyncio

from behave import then, when
from control_fleet import in_loop
from history import play, violations


@when("the histories of seeds {first:d} to {last:d} are played")
@in_loop
async def step_impl(context, first, last):
    context.violations_by_seed = {}
    context.accepted = 0
    for seed in range(first, last + 1):
        fleet, record = await play(seed)
        context.accepted += len(record.accepted)
        found = await violations(fleet, record)
        if found:
            context.violations_by_seed[seed] = (found, record.faults)
        await fleet.crash(*list(fleet.node_by_host))
        await asyncio.sleep(1)


@then("each keeps every accepted change, in one order, once")
def step_impl(context):
    assert not context.violations_by_seed, context.violations_by_seed


@then("the histories had work to do")
def step_impl(context):
    assert context.accepted > 100, context.accepted
