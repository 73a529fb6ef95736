"""Steps of voters.feature."""

import asyncio

from behave import given, then, when
from control_fleet import Fleet, in_loop
from result import Ok

from almondfield_control.consensus import Role


@given(
    "a fleet of {hosts:d} hosts with {voters:d} voters of which {hosts_to_start} start"
)
@in_loop
async def step_impl(context, hosts, voters, hosts_to_start):
    context.fleet = Fleet(hosts, voters)
    context.fleet.start(*hosts_to_start.split(", "))


@when("{host} makes {count:d} changes")
@when("{host} makes {count:d} more changes")
@in_loop
async def step_impl(context, host, count):
    await context.fleet.make_changes(host, count)


@when("{host} makes {count:d} changes of {size:d} bytes")
@in_loop
async def step_impl(context, host, count, size):
    await context.fleet.make_changes(host, count, size)


@when("{host} crashes and its data folder is wiped")
@in_loop
async def step_impl(context, host):
    await context.fleet.crash(host)
    context.fleet.disk_by_host[host].wipe()


@when("h1 and h2 crash and their data folders are wiped")
@in_loop
async def step_impl(context):
    await context.fleet.crash("h1", "h2")
    context.fleet.disk_by_host["h1"].wipe()
    context.fleet.disk_by_host["h2"].wipe()


@when("{host} starts")
@in_loop
async def step_impl(context, host):
    context.fleet.start(host)


@when("h1 and h2 start")
@in_loop
async def step_impl(context):
    context.fleet.start("h1", "h2")


@when("{seconds:d} seconds pass")
@in_loop
async def step_impl(context, seconds):
    await asyncio.sleep(seconds)


@when("the group reports that it tolerates {losses:d} loss")
@in_loop
async def step_impl(context, losses):
    async with asyncio.timeout(30):
        while (await context.fleet.status()).losses_tolerated < losses:
            await asyncio.sleep(0.1)


@then("{host} received a snapshot and has the leader's state")
@in_loop
async def step_impl(context, host):
    replica = context.fleet.node_by_host[host].replica
    leader = context.fleet.node_by_host[context.fleet.leader()].replica
    assert replica.snapshots.latest.index > 0
    await asyncio.sleep(1)
    assert replica.state.image() == leader.state.image()


@then("there is no leader")
@in_loop
async def step_impl(context):
    assert context.fleet.leader() is None


@then("h1 and h2 are not voters and have not voted")
@in_loop
async def step_impl(context):
    for host in ("h1", "h2"):
        replica = context.fleet.node_by_host[host].replica
        assert not replica.is_voter, host
        assert replica.role in (Role.UNFORMED, Role.LEARNER), replica.role
        assert replica.hard_state.voted_for == "", replica.hard_state


@then("all hosts become ready")
@in_loop
async def step_impl(context):
    await context.fleet.wait_ready()


@when("an operator removes a voter that does not lead")
@in_loop
async def step_impl(context):
    fleet = context.fleet
    leader = fleet.leader()
    context.removed = next(host for host in fleet.voters if host != leader)
    answer = await fleet.node_by_host["h4"].remove_voter(context.removed)
    assert answer == Ok(context.removed), answer


@when("the removed voter restarts with an empty folder")
@in_loop
async def step_impl(context):
    await context.fleet.crash(context.removed)
    context.fleet.disk_by_host[context.removed].wipe()
    context.fleet.start(context.removed)


@when("an operator admits it")
@in_loop
async def step_impl(context):
    answer = await context.fleet.node_by_host["h4"].admit_voter(context.removed)
    assert answer == Ok(context.removed), answer


@then("{count:d} voters remain")
@in_loop
async def step_impl(context, count):
    voters = [
        voter
        for voter in (await context.fleet.status()).voters
        if voter.role != "learner"
    ]
    assert len(voters) == count, voters


@then("{host} reports that it waits for {other}")
@in_loop
async def step_impl(context, host, other):
    waiting_for = context.fleet.node_by_host[host].stats().waiting_for
    assert other in waiting_for, waiting_for


@when(
    "all voters crash and start again every {milliseconds:d} milliseconds, "
    "{times:d} times"
)
@in_loop
async def step_impl(context, milliseconds, times):
    fleet = context.fleet
    for _ in range(times):
        await asyncio.sleep(milliseconds / 1000)
        await fleet.crash(*fleet.voters)
        fleet.start(*fleet.voters)


@then("every voter belongs to one group")
@in_loop
async def step_impl(context):
    fleet = context.fleet
    hard_states = [
        fleet.node_by_host[voter].replica.hard_state for voter in fleet.voters
    ]
    assert len({hard_state.cluster_id for hard_state in hard_states}) == 1, hard_states
    assert all(hard_state.formed for hard_state in hard_states), hard_states
