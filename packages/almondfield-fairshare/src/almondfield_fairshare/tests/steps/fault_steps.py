"""Steps on faults of an in-memory fleet."""

import asyncio

from behave import then, when

from almondfield_testing import run

LEASE_MARGIN_S = 0.02


@when(
    "the scheduler's host is {fault} and host {host:d} gets the lease"
    " when it has expired"
)
def step_impl(context, fault, host):
    async def fail():
        fleet = context.fleet
        holder = fleet.holder("pool")
        left_s = fleet.view_by_host[holder].pool_lease_left_s("pool")
        if fault == "lost":
            fleet.stop_host(holder)
        else:
            fleet.isolate(holder)
        await asyncio.sleep(left_s + LEASE_MARGIN_S)
        fleet.lease("pool", f"host-{host}")
        fleet.relay_all("pool")

    run(context, fail())


@when("host {host:d} restarts")
def step_impl(context, host):
    async def restart():
        context.fleet.stop_host(f"host-{host}")
        await asyncio.sleep(0.3)
        context.fleet.start_host(f"host-{host}")

    run(context, restart())


@then("host {host:d} has no slots")
def step_impl(context, host):
    async def read():
        return context.fleet.share_by_host[f"host-{host}"].stats().slots_by_pool

    slots = run(context, read())
    assert slots == {"pool": 0}, slots
