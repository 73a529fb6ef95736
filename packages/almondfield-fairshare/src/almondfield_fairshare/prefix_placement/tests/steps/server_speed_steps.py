"""Steps of server_speed.feature."""

import asyncio
import random
from collections import Counter

from behave import given, then, when

from almondfield_fairshare.prefix_placement import Candidate, Placement
from almondfield_testing import run


def create(context, has_slowdown):
    async def report():
        context.placements = [
            Placement(random.Random(n)) for n in range(context.routers)
        ]
        for placement in context.placements:
            for name, running, slowdown in context.reports:
                record = placement.record(name)
                record.record_load(running, 0)
                if has_slowdown:
                    record.record_slowdown(1, slowdown)

    run(context, report())


@given("{count:d} routers and servers with {slots:d} slots")
def step_impl(context, count, slots):
    context.routers = count
    context.reports = [
        (row["server"], int(row["running"]), float(row["slowdown"]))
        for row in context.table
    ]
    context.candidates = tuple(
        Candidate(name, slots, is_local=True) for name, _, _ in context.reports
    )
    create(context, has_slowdown=True)


@given("servers that don't report their speed")
def step_impl(context):
    create(context, has_slowdown=False)


@given('"{server}" has restarted and reports {slowdown:g}')
def step_impl(context, server, slowdown):
    async def report():
        for placement in context.placements:
            placement.record(server).record_slowdown(2, slowdown)

    run(context, report())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("each router chooses a server")
def step_impl(context):
    async def choose():
        chosen = [p.choose(context.candidates, None) for p in context.placements]
        context.count_by_server = Counter(item.name for item in chosen)

    run(context, choose())


@then('"{server}" is chosen by {count:d} of them')
def step_impl(context, server, count):
    assert context.count_by_server[server] == count, context.count_by_server


@then("no server is chosen by more than {count:d} of them")
def step_impl(context, count):
    assert max(context.count_by_server.values()) <= count, context.count_by_server
