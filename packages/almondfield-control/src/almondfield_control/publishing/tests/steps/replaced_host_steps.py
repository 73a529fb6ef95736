"""Steps of publishing.feature about hosts that are replaced at other addresses."""

import asyncio

from behave import then, when

from almondfield_testing import run

SUCCESSOR_DELAY_S = 1.0
RESTART_S = 0.5
REPLACED_S = 6.0  # until the successor votes


def members(context):
    """Return the members in the log of the leader."""

    async def query():
        return context.fleet.members()

    return run(context, query())


async def find_host(fleet, leads):
    """Return the leader, or a running host that doesn't lead."""
    await fleet.wait_until(fleet.leader, 10.0)
    leader = fleet.leader()
    if leads:
        return leader
    return next(host for host in sorted(fleet.replica_by_host) if host != leader)


async def replace(fleet, lost, successor):
    await fleet.stop(lost)
    await asyncio.sleep(SUCCESSOR_DELAY_S)
    fleet.start(successor, may_form=False)


@when('the leader is replaced by "{successor}", then {seconds:g} s pass')
def step_impl(context, successor, seconds):
    async def replace_leader():
        fleet = context.fleet
        await replace(fleet, await find_host(fleet, leads=True), successor)
        await asyncio.sleep(seconds)

    run(context, replace_leader())


@when('a host that doesn\'t lead is replaced by "{successor}"')
def step_impl(context, successor):
    async def replace_follower():
        fleet = context.fleet
        await replace(fleet, await find_host(fleet, leads=False), successor)

    run(context, replace_follower())


@when(
    'a host that doesn\'t lead is replaced by "{successor}", while another one loses '
    "its disk"
)
def step_impl(context, successor):
    async def lose_both():
        fleet = context.fleet
        lost = await find_host(fleet, leads=False)
        await fleet.stop(lost)
        wiped = await find_host(fleet, leads=False)
        await fleet.stop(wiped, wipe=True)
        await asyncio.sleep(RESTART_S)
        fleet.start(wiped, may_form=False)
        await asyncio.sleep(SUCCESSOR_DELAY_S)
        fleet.start(successor, may_form=False)

    run(context, lose_both())


@when('"{host}" is replaced by "{successor}", whose seeds are "{seeds}"')
def step_impl(context, host, successor, seeds):
    async def replace_host():
        fleet = context.fleet
        fleet.seeds = tuple(seeds.split(", "))
        await replace(fleet, host, successor)
        await asyncio.sleep(REPLACED_S)

    run(context, replace_host())


@when('"{host}" loses its disk and restarts with the seeds "{seeds}"')
def step_impl(context, host, seeds):
    async def restart():
        fleet = context.fleet
        fleet.seeds = tuple(seeds.split(", "))
        await fleet.stop(host, wipe=True)
        await asyncio.sleep(RESTART_S)
        fleet.start(host, may_form=False)

    run(context, restart())


@when("the leader restarts every {seconds:g} s, {times:d} times")
def step_impl(context, seconds, times):
    async def restart():
        fleet = context.fleet
        for _ in range(times):
            leader = await find_host(fleet, leads=True)
            await fleet.stop(leader)
            await asyncio.sleep(RESTART_S)
            fleet.start(leader, may_form=False)
            await asyncio.sleep(seconds - RESTART_S)

    run(context, restart())


@when("a host that doesn't lead loses its disk and restarts")
def step_impl(context):
    async def restart():
        fleet = context.fleet
        host = await find_host(fleet, leads=False)
        await fleet.stop(host, wipe=True)
        await asyncio.sleep(RESTART_S)
        fleet.start(host, may_form=False)

    run(context, restart())


@when("a host that doesn't lead is cut off")
def step_impl(context):
    async def isolate():
        fleet = context.fleet
        context.cut_off = await find_host(fleet, leads=False)
        fleet.network.isolate(context.cut_off)

    run(context, isolate())


@when('a host that doesn\'t lead is cut off, and "{successor}" starts')
def step_impl(context, successor):
    async def isolate():
        fleet = context.fleet
        context.cut_off = await find_host(fleet, leads=False)
        fleet.start(successor, may_form=False)
        fleet.network.isolate(context.cut_off)

    run(context, isolate())


@when("it is connected again")
def step_impl(context):
    context.fleet.network.heal()


@when('"{host}" is permanently lost')
def step_impl(context, host):
    run(context, context.fleet.stop(host))


@then("only hosts that run vote")
def step_impl(context):
    voters = {m.host for m in members(context) if m.votes}
    assert voters == set(context.fleet.replica_by_host), voters


@then("the host that was cut off doesn't vote")
def step_impl(context):
    voters = {m.host for m in members(context) if m.votes}
    assert context.cut_off not in voters, voters


@then("{count:d} hosts vote, each with its newest identity")
def step_impl(context, count):
    replica_by_host = context.fleet.replica_by_host
    voter_ids = {m.voter_id for m in members(context) if m.votes}
    assert voter_ids == {r.voter_id for r in replica_by_host.values()}, voter_ids
    assert len(voter_ids) == count, voter_ids


@then("the group has {count:d} members")
def step_impl(context, count):
    assert len(members(context)) == count, members(context)


@then("memberships have differed by one voter at most")
def step_impl(context):
    jumps = context.fleet.membership_jumps()
    assert not jumps, (jumps, context.fleet.voter_ids_by_index)
