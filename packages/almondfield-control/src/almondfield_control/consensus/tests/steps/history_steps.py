"""Steps that run seeded fault histories."""

import asyncio

from behave import then, when
from control_fleet import in_loop
from history import find_violations, run_history


@when("the fault histories with seeds {first:d} to {last:d} run")
@in_loop
async def step_impl(context, first, last):
    context.violations_by_seed = {}
    context.accepted = 0
    for seed in range(first, last + 1):
        fleet, record = await run_history(seed)
        context.accepted += len(record.accepted)
        found = await find_violations(fleet, record)
        if found:
            context.violations_by_seed[seed] = (found, record.faults)
        await fleet.crash(*list(fleet.node_by_host))
        await asyncio.sleep(1)


@then("each history keeps every accepted change exactly once, in one order")
def step_impl(context):
    assert not context.violations_by_seed, context.violations_by_seed


@then("more than 100 changes were accepted")
def step_impl(context):
    assert context.accepted > 100, context.accepted
