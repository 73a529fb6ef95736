"""Steps of rows.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from control_fleet import in_loop
from result import Err

from almondfield_control.commands import command_of
from almondfield_core.messages import (
    ChangeConflict,
    ChangeRefused,
    RowChange,
    TableChange,
)
from almondfield_core.tables import Pool, Route, RouteKey, TableRows


async def apply_rows(context, host, change_id, revision, rows):
    change = RowChange(change_id, "operator", revision, rows)
    control = context.fleet.node_by_host[host].control
    context.outcome_by_id[change_id] = await control.apply(change)


@given("tables of {count:d} routes at revision 1")
@in_loop
async def step_impl(context, count):
    rows = TableRows(
        put_pools=(Pool("pool-a"), Pool("pool-b")),
        put_routes=tuple(Route(f"team-{n}", "/", "pool-a") for n in range(count)),
    )
    await apply_rows(context, "h1", "start", 0, rows)
    views = [node.view for node in context.fleet.node_by_host.values()]
    await context.fleet.wait_until(lambda: all(v.tables.revision == 1 for v in views))


@when('{host} puts route "{put}" to "{pool}" and removes route "{removed}" as "{name}"')
@in_loop
async def step_impl(context, host, put, pool, removed, name):
    rows = TableRows(
        put_routes=(Route(put, "/", pool),), removed_routes=(RouteKey(removed, "/"),)
    )
    await apply_rows(context, host, name, 1, rows)


@when('{host} puts route "{put}" to "{pool}" at revision {revision:d} as "{name}"')
@in_loop
async def step_impl(context, host, put, pool, revision, name):
    rows = TableRows(put_routes=(Route(put, "/", pool),))
    await apply_rows(context, host, name, revision, rows)


@when(
    'the leader submits "{first}" and, before its answer, invalid rows '
    'at the next revision as "{invalid}"'
)
@in_loop
async def step_impl(context, first, invalid):
    valid_rows = TableRows(put_routes=(Route("team-0", "/", "pool-b"),))
    invalid_rows = TableRows(removed_pools=("pool-b",))
    leader = context.fleet.leader()
    await asyncio.gather(
        apply_rows(context, leader, first, 1, valid_rows),
        apply_rows(context, leader, invalid, 2, invalid_rows),
    )


@when('{host} removes a pool in use at revision {revision:d} as "{name}"')
@in_loop
async def step_impl(context, host, revision, name):
    pool = context.fleet.node_by_host[host].view.tables.routes[0].pool
    rows = TableRows(removed_pools=(pool,))
    await apply_rows(context, host, name, revision, rows)


@when(
    '{host} submits whole tables in which route "{team}" goes to "{pool}" as "{name}"'
)
@in_loop
async def step_impl(context, host, team, pool, name):
    node = context.fleet.node_by_host[host]
    tables = node.view.tables
    routes = tuple(
        replace(route, pool=pool) if route.team == team else route
        for route in reversed(tables.routes)
    )
    change = TableChange(name, "operator", tables.revision, tables.pools, routes)
    context.outcome_by_id[name] = await node.control.apply(change)


@when("all voters crash, and {first} starts {seconds:d} seconds before the others")
@in_loop
async def step_impl(context, first, seconds):
    fleet = context.fleet
    await fleet.crash(*fleet.voters)
    fleet.start(first)
    others = [voter for voter in fleet.voters if voter != first]
    asyncio.get_running_loop().call_later(seconds, fleet.start, *others)


@when(
    "{host} submits whole tables of one pool at revision {revision:d} "
    'as "{name}" meanwhile'
)
@in_loop
async def step_impl(context, host, revision, name):
    change = TableChange(name, "operator", revision, (Pool("pool-a"),), ())
    control = context.fleet.node_by_host[host].control
    context.outcome_by_id[name] = await control.apply(change)


@then("every host has no routes within {seconds:d} seconds")
@in_loop
async def step_impl(context, seconds):
    nodes = context.fleet.node_by_host.values()
    await context.fleet.wait_until(
        lambda: not any(node.view.tables.routes for node in nodes), seconds
    )


@then('change "{name}" is refused for "{text}"')
@in_loop
async def step_impl(context, name, text):
    match context.outcome_by_id[name]:
        case Err(ChangeRefused(findings)):
            assert [text in str(finding) for finding in findings] == [True], findings
        case other:
            raise AssertionError(other)


@then('change "{name}" conflicts at revision {revision:d}')
@in_loop
async def step_impl(context, name, revision):
    outcome = context.outcome_by_id[name]
    assert outcome == Err(ChangeConflict(name, revision)), outcome


@then('every host has the routes "{routes}" within {seconds:d} seconds')
@in_loop
async def step_impl(context, routes, seconds):
    expected = [tuple(item.split()) for item in routes.split(", ")]
    fleet = context.fleet

    def has_routes(node):
        return sorted((r.team, r.pool) for r in node.view.tables.routes) == expected

    nodes = fleet.node_by_host.values()
    await fleet.wait_until(lambda: all(map(has_routes, nodes)), seconds)


@then("the history of revision {revision:d} is")
@in_loop
async def step_impl(context, revision):
    control = context.fleet.node_by_host["h1"].control
    (record,) = (await control.history(revision - 1, 1)).unwrap()
    assert "\n".join(record.difference) == context.text, record


@then("the log entry of the change holds {count:d} row")
@in_loop
async def step_impl(context, count):
    replica = context.fleet.node_by_host[context.fleet.leader()].replica
    entries = replica.log.entries_after(replica.log.base_index)
    commands = [command_of(entry) for entry in entries if "table" in entry.kind]
    assert len(commands[-1].change.rows) == count, commands[-1]
