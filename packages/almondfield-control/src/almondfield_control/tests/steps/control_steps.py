"""Steps of the control group's features."""

import asyncio

from behave import given, then, when
from control_fleet import Fleet, in_loop
from result import Err, Ok

from almondfield_core.clock import now
from almondfield_core.messages import (
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    TableChange,
)
from almondfield_core.tables import Route

IN_FORCE_S = 3.0


@given("a fleet of {hosts:d} hosts with {voters:d} voters")
@in_loop
async def step_impl(context, hosts, voters):
    context.fleet = Fleet(hosts, voters)
    context.outcome_by_id = {}
    context.fleet.start(*context.fleet.names)
    await context.fleet.ready()


@when('{host} asks for change "{change_id}" at revision {revision:d}')
@in_loop
async def step_impl(context, host, change_id, revision):
    outcome = await context.fleet.change(host, revision, change_id)
    context.outcome_by_id[change_id] = outcome


@then('change "{change_id}" is accepted at revision {revision:d}')
@in_loop
async def step_impl(context, change_id, revision):
    outcome = context.outcome_by_id[change_id]
    assert outcome == Ok(ChangeAccepted(change_id, revision)), outcome


@then('change "{change_id}" conflicts with "{winner}"')
@in_loop
async def step_impl(context, change_id, winner):
    match context.outcome_by_id[change_id]:
        case Err(ChangeConflict(winner_change_id=named)):
            assert named == winner, named
        case other:
            raise AssertionError(other)


@then("revision {revision:d} is in force within {timeout_s:d} seconds")
@in_loop
async def step_impl(context, revision, timeout_s):
    control = context.fleet.node_by_host["h1"].control
    answer = await control.wait_in_force(revision, timeout_s)
    assert answer == Ok(True), answer


@then("every host has revision {revision:d} and a freshness lease")
@in_loop
async def step_impl(context, revision):
    views = [node.view for node in context.fleet.node_by_host.values()]
    await context.fleet.until(
        lambda: all(
            view.tables.revision == revision and view.freshness_left_s() > 0
            for view in views
        ),
        IN_FORCE_S,
    )


@then("every pool is scheduled by exactly one host within {timeout_s:d} seconds")
@in_loop
async def step_impl(context, timeout_s):
    nodes = context.fleet.node_by_host.values()

    def scheduled():
        return all(
            sum(node.view.pool_lease_left_s(pool.name) > 0 for node in nodes) == 1
            for pool in next(iter(nodes)).view.tables.pools
        )

    await context.fleet.until(scheduled, timeout_s)


@when("the leader crashes")
@in_loop
async def step_impl(context):
    await context.fleet.crash(context.fleet.leader())


@when("all voters crash and start again")
@in_loop
async def step_impl(context):
    await context.fleet.crash(*context.fleet.voters)
    await asyncio.sleep(5)
    context.fleet.start(*context.fleet.voters)


@when("all hosts are ready again")
@in_loop
async def step_impl(context):
    await context.fleet.ready()


@when("the leader is isolated for {seconds:d} seconds")
@in_loop
async def step_impl(context, seconds):
    fleet = context.fleet

    isolated = fleet.leader()
    fleet.network.isolate(isolated)
    cut_at = now()
    context.led_until = context.led_again = None
    while now() < cut_at + seconds:
        leader = fleet.leader()
        if leader == isolated:
            context.led_until = now() - cut_at
        elif leader and context.led_again is None:
            context.led_again = now() - cut_at
        await asyncio.sleep(0.01)
    context.leader_then = fleet.leader()
    fleet.network.heal()
    await asyncio.sleep(10)


@then("the isolated host did not lead after {seconds:d} second")
@in_loop
async def step_impl(context, seconds):
    assert context.led_until < seconds, context.led_until


@then("the other hosts had a leader within {seconds:d} seconds")
@in_loop
async def step_impl(context, seconds):
    assert context.led_again is not None
    assert context.led_again < seconds, context.led_again


@then("its return does not change the leader")
@in_loop
async def step_impl(context):
    assert context.leader_then == context.fleet.leader()


@then("the history holds changes {first:d} to {last:d} in order")
@in_loop
async def step_impl(context, first, last):
    control = context.fleet.node_by_host["h1"].control
    records = (await control.history(first - 1, last)).unwrap()
    names = [(record.revision, record.change_id) for record in records]
    assert names == [(n, f"change-{n}") for n in range(first, last + 1)]


@when(
    "a voter that follows is isolated for {seconds:d} seconds, with changes meanwhile"
)
@in_loop
async def step_impl(context, seconds):
    fleet = context.fleet
    leader = fleet.leader()
    context.term = fleet.node_by_host[leader].replica.hard.term
    context.leader_then = leader
    follower = next(host for host in fleet.voters if host != leader)
    fleet.network.isolate(follower)
    await fleet.make_changes("h4", 5)
    await asyncio.sleep(seconds)
    fleet.network.heal()
    await asyncio.sleep(10)


@then("its return changes neither the leader nor the term")
@in_loop
async def step_impl(context):
    fleet = context.fleet
    assert fleet.leader() == context.leader_then
    for voter in fleet.voters:
        assert fleet.node_by_host[voter].replica.hard.term == context.term, voter


@when("h4 asks for a route to a pool that is not there")
@in_loop
async def step_impl(context):
    route = Route("team", "/", "missing-pool")
    change = TableChange("wrong", "operator", 0, (), (route,))
    context.outcome = await context.fleet.node_by_host["h4"].control.apply(change)


@then("the change is refused with a finding that names the pool")
@in_loop
async def step_impl(context):
    match context.outcome:
        case Err(ChangeRefused(findings)):
            assert any("missing-pool" in str(finding) for finding in findings)
        case other:
            raise AssertionError(other)


@when("the leader hands over")
@in_loop
async def step_impl(context):
    context.former = context.fleet.leader()
    await context.fleet.node_by_host[context.former].hand_over()


@then("another host leads within {milliseconds:d} milliseconds")
@in_loop
async def step_impl(context, milliseconds):
    leader = context.fleet.leader
    await context.fleet.until(
        lambda: leader() not in (None, context.former), milliseconds / 1000
    )
