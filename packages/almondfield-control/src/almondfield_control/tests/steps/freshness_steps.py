"""Steps of freshness.feature."""

import asyncio

from behave import then, when
from control_fleet import in_loop
from result import Ok

from almondfield_control.commands import TableCommand
from almondfield_core.clock import now
from almondfield_core.messages import RowChange, TableChange
from almondfield_core.tables import Pool, TableRows

WAIT_S = 10.0


@when("{host} is partitioned from every voter")
@in_loop
async def step_impl(context, host):
    for voter in context.fleet.voters:
        context.fleet.network.cut(host, voter)
        context.fleet.network.cut(voter, host)


@when("the voters are partitioned from each other")
@in_loop
async def step_impl(context):
    for voter in context.fleet.voters:
        for other in context.fleet.voters:
            if voter != other:
                context.fleet.network.cut(voter, other)


@when("host {host} is isolated")
@in_loop
async def step_impl(context, host):
    context.fleet.network.isolate(host)


@when("host {host} crashes")
@in_loop
async def step_impl(context, host):
    await context.fleet.crash(host)


@when("the network heals")
@in_loop
async def step_impl(context):
    context.fleet.network.heal()


@when("another host leads")
@in_loop
async def step_impl(context):
    await context.fleet.wait_until(context.fleet.leader)


@when("an uncommitted change reaches one voter besides the leader")
@in_loop
async def step_impl(context):
    fleet = context.fleet
    leader = fleet.node_by_host[fleet.leader()].replica
    others = [voter for voter in fleet.voters if voter != fleet.leader()]
    fleet.network.isolate(others[0])
    fleet.network.cut(others[1], fleet.leader())
    change = RowChange("x", "operator", 0, TableRows((Pool("x"),)))
    task = asyncio.ensure_future(leader.propose(TableCommand(change)))
    await asyncio.sleep(0.1)
    fleet.network.heal()
    for voter in fleet.voters:
        for other in fleet.voters:
            if voter != other:
                fleet.network.cut(voter, other)
    await task


@then("{host} holds a freshness lease")
@in_loop
async def step_impl(context, host):
    assert context.fleet.node_by_host[host].view.freshness_left_s() > 0


@then("{host} holds no freshness lease")
@in_loop
async def step_impl(context, host):
    assert context.fleet.node_by_host[host].view.freshness_left_s() == 0


@then("all hosts are without a freshness lease")
@in_loop
async def step_impl(context):
    for host, node in context.fleet.node_by_host.items():
        assert node.view.freshness_left_s() == 0, host


@then("all non-voting hosts hold a freshness lease")
@in_loop
async def step_impl(context):
    for host in set(context.fleet.names) - set(context.fleet.voters):
        assert context.fleet.node_by_host[host].view.freshness_left_s() > 0, host


@then("revision 1 comes into force, and no host serves revision 0 from then on")
@in_loop
async def step_impl(context):
    control = context.fleet.node_by_host["h4"].control
    assert await control.wait_in_force(1, WAIT_S) == Ok(True)
    deadline = now() + WAIT_S
    while now() < deadline:
        for host, node in context.fleet.node_by_host.items():
            stale = node.view.tables.revision < 1
            assert not (stale and node.view.freshness_left_s() > 0), host
        await asyncio.sleep(0.05)


@then("{host} has revision {revision:d} within {seconds:d} seconds")
@in_loop
async def step_impl(context, host, revision, seconds):
    view = context.fleet.node_by_host[host].view
    await context.fleet.wait_until(
        lambda: view.tables.revision == revision and view.freshness_left_s() > 0,
        seconds,
    )


@when("one row is added to the tables")
@in_loop
async def step_impl(context):
    fleet = context.fleet
    tables = fleet.node_by_host["h4"].view.tables
    context.bytes_before = fleet.network.bytes_by_kind["renewal-reply"]
    context.count_before = fleet.network.count_by_kind["renewal-reply"]
    pools = (*tables.pools, Pool("small"))
    change = TableChange("small", "operator", tables.revision, pools, tables.routes)
    assert (await fleet.node_by_host["h4"].control.apply(change)).is_ok()
    views = [node.view for node in fleet.node_by_host.values()]
    await fleet.wait_until(lambda: all(view.tables.pools == pools for view in views))


@then("the replies with the change take less than {limit:d} bytes")
@in_loop
async def step_impl(context, limit):
    network = context.fleet.network
    sent = network.bytes_by_kind["renewal-reply"] - context.bytes_before
    assert network.count_by_kind["renewal-reply"] > context.count_before
    assert sent < limit, sent


def schedulers(fleet):
    """Return the hosts that may schedule the only pool."""
    nodes = fleet.node_by_host.items()
    pool = next(node.view.tables.pools[0].name for _, node in nodes)
    return [host for host, node in nodes if node.view.pool_lease_left_s(pool) > 0]


@when("the scheduler of the pool hands over")
@in_loop
async def step_impl(context):
    (context.former_host,) = schedulers(context.fleet)
    context.departed_at = now()
    await context.fleet.node_by_host[context.former_host].hand_over()


@when("the scheduler of the pool is isolated")
@in_loop
async def step_impl(context):
    (context.former_host,) = schedulers(context.fleet)
    context.departed_at = now()
    context.fleet.network.isolate(context.former_host)


@then("another host schedules the pool within {milliseconds:d} milliseconds")
@in_loop
async def step_impl(context, milliseconds):
    context.max_schedulers = 0
    while schedulers(context.fleet) in ([], [context.former_host]):
        context.max_schedulers = max(
            context.max_schedulers, len(schedulers(context.fleet))
        )
        assert now() < context.departed_at + milliseconds / 1000
        await asyncio.sleep(0.005)


@then("at no time did two hosts schedule it")
@in_loop
async def step_impl(context):
    deadline = now() + WAIT_S
    while now() < deadline:
        context.max_schedulers = max(
            context.max_schedulers, len(schedulers(context.fleet))
        )
        await asyncio.sleep(0.005)
    assert context.max_schedulers <= 1, context.max_schedulers
