"""Steps on an in-memory fleet."""

import asyncio
from unittest.mock import patch

from behave import given, step, then

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.tables import Pool, PoolKind
from almondfield_testing import run
from sharing_fleet import Fleet
from sharing_load import Callers


@given("a fleet of {hosts:d} hosts with {servers:d} servers of {slots:d} slots")
def step_impl(context, hosts, servers, slots):
    announcements = tuple(
        ServerAnnouncement(f"server-{n}", 1, "", "dc", PoolKind.MODEL, slots)
        for n in range(1, servers + 1)
    )
    context.fleet = Fleet(hosts, (Pool("pool"),), announcements)
    context.callers = Callers(context.fleet)
    run(context, context.fleet.start())
    run(context, asyncio.sleep(0.2))


@given(
    'team "{team}" of weight {weight:g} keeps {count:d} requests of {cost:g} s'
    " at host {host:d}"
)
def step_impl(context, team, weight, count, cost, host):
    async def start():
        context.callers.keep_busy(f"host-{host}", "pool", team, count, lambda: cost)

    context.callers.weight_by_team[team] = weight
    run(context, start())


@step("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@then('"{more}" received {ratio:g} times the service of "{less}", within {percent:g} %')
def step_impl(context, more, ratio, less, percent):
    async def measure():
        return context.callers.service("pool", 0.0, now())

    service = run(context, measure())
    seen = service[more] / service[less]
    assert abs(seen / ratio - 1) < percent / 100, service


@then("at least {percent:g} % of the slots were used in the last {seconds:g} s")
def step_impl(context, percent, seconds):
    async def measure():
        return context.callers.service("pool", now() - seconds, now())

    slots = sum(s.announcement.slots for s in context.fleet.server_by_name.values())
    used = sum(run(context, measure()).values()) / (slots * seconds)
    assert used >= percent / 100, used


@then("no server ever ran more requests than it has slots")
def step_impl(context):
    excess = {name: s.over_slots for name, s in context.fleet.server_by_name.items()}
    assert not any(excess.values()), excess


@then("a request at host {host:d} gets its slot within {milliseconds:g} ms")
def step_impl(context, host, milliseconds):
    assert run(context, context.callers.call(f"host-{host}", "pool", "bar", 0.1))
    waits_s = context.callers.waits_s_by_pool["pool"]
    assert waits_s[-1] <= milliseconds / 1000, waits_s


@then("the scheduler plans at most {most:d} times in the next {seconds:g} s")
def step_impl(context, most, seconds):
    holder = context.fleet.holder("pool")
    scheduler = context.fleet.schedulers_by_host[holder].scheduler("pool")
    with patch.object(scheduler, "_plan", wraps=scheduler._plan) as plan:
        run(context, asyncio.sleep(seconds))
    assert 0 < plan.call_count <= most, plan.call_count
