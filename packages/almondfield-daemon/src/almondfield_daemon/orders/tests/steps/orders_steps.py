"""Steps of orders.feature."""

import asyncio
from itertools import pairwise

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_core.messages import ServerState
from almondfield_core.tables import Pool, Selector
from almondfield_daemon.orders import FencedOrder, LoadModel, StaleFencing
from almondfield_daemon.orders.tests.fakes import (
    FakeControlGroup,
    FakeEngine,
    FakeView,
    OrderHost,
)
from almondfield_testing import InMemoryNetwork, run

HOSTS = ("h0", "h1", "h2")


async def announce_all(context):
    round_number = 0
    while True:
        for number, engine in enumerate(context.engine_by_name.values()):
            host = context.hosts[HOSTS[(round_number + number) % len(HOSTS)]]
            await host.membership.announce(engine.announcement)
        round_number += 1
        await asyncio.sleep(1.0)


async def report_backlogs(context):
    while True:
        waiting = {pool: 5 for pool in context.backlogged}
        context.waiting.clear()
        context.waiting.update(waiting)
        await asyncio.sleep(0.5)


@given('hosts "h0", "h1" and "h2", led by "h0"')
def step_impl(context):
    context.engine_by_name = {}
    context.backlogged = set()
    context.waiting = {}
    context.group = FakeControlGroup()
    context.group.leader = "h0"
    context.view = FakeView()
    network = InMemoryNetwork()

    async def start():
        context.hosts = {
            name: OrderHost(
                network,
                name,
                HOSTS,
                context.view,
                context.group,
                context.engine_by_name,
            )
            for name in HOSTS
        }
        context.hosts["h0"].orders.set_waiting_source(lambda: context.waiting)
        context.tasks = [
            asyncio.ensure_future(announce_all(context)),
            asyncio.ensure_future(report_backlogs(context)),
        ]

    run(context, start())


def add_engines(context, first, last, **items):
    for number in range(first, last + 1):
        context.engine_by_name[f"engine-{number}"] = FakeEngine(
            f"engine-{number}", **items
        )


@given("engines {first:d} to {last:d} without a model")
def step_impl(context, first, last):
    add_engines(context, first, last)


@given("engines {first:d} to {last:d} without a model that ignore fencing")
def step_impl(context, first, last):
    add_engines(context, first, last, checks_fencing=False)


@given('engines {first:d} to {last:d} with model "{model}"')
def step_impl(context, first, last, model):
    add_engines(context, first, last, model=model)


@given('an engine with version "{version}" of model "{model}"')
def step_impl(context, version, model):
    add_engines(context, 1, 1, model=model)
    context.engine_by_name["engine-1"].update_announcement(version=version)


@given("engines 1 and 2 run 3 requests each until {s:f} s after a hold begins")
def step_impl(context, s):
    async def run_requests(engine):
        engine.update_announcement(busy=3)
        while not any(h.membership.is_held(engine.announcement.name) for h in hosts):
            await asyncio.sleep(0.1)
        await asyncio.sleep(s)
        engine.update_announcement(busy=0)

    hosts = list(context.hosts.values())

    async def start():
        engines = context.engine_by_name.values()
        context.request_tasks = [
            asyncio.ensure_future(run_requests(engine)) for engine in engines
        ]

    run(context, start())


@given('every engine of "{model}" runs {count:d} requests')
def step_impl(context, model, count):
    for engine in context.engine_by_name.values():
        if engine.announcement.model == model:
            engine.update_announcement(busy=count)
    run(context, asyncio.sleep(12.0))


@given("the first {count:d} answers of engine 1 are lost")
def step_impl(context, count):
    context.engine_by_name["engine-1"].answers_to_lose = count


@given('pool "writing" wants {first:d} servers and pool "board" wants {second:d}')
@when('pool "writing" wants {first:d} servers and pool "board" wants {second:d}')
def step_impl(context, first, second):
    context.view.set_pools(
        Pool(name, selects=Selector(model=name), wanted_servers=wanted)
        for name, wanted in (("writing", first), ("board", second))
    )


@when('pool "writing" selects version "{version}" and wants 0 servers')
def step_impl(context, version):
    context.view.set_pools([Pool("writing", selects=Selector("writing", version))])


@when('pool "writing" selects role "{role}" and wants 1 servers')
def step_impl(context, role):
    selector = Selector("writing", label_by_name={"role": role})
    context.view.set_pools([Pool("writing", selects=selector, wanted_servers=1)])


@given("{seconds:f} s pass")
@when("{seconds:f} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('the orders of "h0" are delayed by {seconds:f} s')
def step_impl(context, seconds):
    context.hosts["h0"].sender.delay_s = seconds


@when('the orders of "h0" are lost')
def step_impl(context):
    context.hosts["h0"].sender.loses_orders = True


@when('"h0" is partitioned and "h1" leads')
def step_impl(context):
    partition_leader(context, 0.0)


@when('"h0" is partitioned with {seconds:f} s of its lease left and "h1" leads')
def step_impl(context, seconds):
    partition_leader(context, seconds)


def partition_leader(context, lease_s):
    async def change():
        context.hosts["h0"].control.lease_until_s = now() + lease_s
        context.group.leader = "h1"
        context.leading_since_s = now()
        # An order in transit arrives although its sender no longer waits for it.
        sender = context.hosts["h0"].sender
        if sender.delay_s > 1.0:
            engine = context.engine_by_name["engine-1"]
            context.late_outcome = asyncio.ensure_future(deliver_late(context, engine))

    run(context, change())


async def deliver_late(context, engine):
    await asyncio.sleep(60.0)
    late = FencedOrder("engine-1", "engine-1", LoadModel("board"), 1)
    return engine.accept(late)


@when('pool "{pool}" is backlogged for {seconds:f} s')
def step_impl(context, pool, seconds):
    context.backlogged = {pool}
    run(context, asyncio.sleep(seconds))
    context.backlogged = set()


@when('"board" and "writing" are backlogged in turns of {turn:f} s for {seconds:f} s')
def step_impl(context, turn, seconds):
    for number in range(int(seconds / turn)):
        context.backlogged = {("board", "writing")[number % 2]}
        run(context, asyncio.sleep(turn))


def engines(context):
    return list(context.engine_by_name.values())


def accepted_orders(context):
    return [fenced for engine in engines(context) for _, fenced in engine.accepted]


@then('{a:d} engines have model "writing", {b:d} has "board" and {c:d} none')
def step_impl(context, a, b, c):
    models = sorted(engine.announcement.model for engine in engines(context))
    assert models == sorted(["writing"] * a + ["board"] * b + [""] * c), models
    assert all(e.announcement.state is ServerState.SERVING for e in engines(context))


@then("{count:d} orders were accepted, each by a different engine")
def step_impl(context, count):
    servers = [fenced.server for fenced in accepted_orders(context)]
    assert len(servers) == len(set(servers)) == count, servers


@then("every order reached an idle engine")
def step_impl(context):
    busy_counts = [busy for engine in engines(context) for busy in engine.busy_at_order]
    assert busy_counts
    assert not any(busy_counts), busy_counts


@then("no engine is held")
def step_impl(context):
    async def read():
        return [
            name
            for name in context.engine_by_name
            for host in context.hosts.values()
            if host.membership.is_held(name)
        ]

    assert run(context, read()) == []


@then("any two loads started at least {gap:f} s apart")
def step_impl(context, gap):
    starts = sorted(s for e in engines(context) for s in e.loads_started_s)
    assert len(starts) == 4
    gaps = [later - earlier for earlier, later in pairwise(starts)]
    assert min(gaps) >= gap - 0.001, gaps


@then("engine 1 accepted {count:d} orders with one fencing number and loaded once")
def step_impl(context, count):
    engine = context.engine_by_name["engine-1"]
    numbers = [fenced.fencing for _, fenced in engine.accepted]
    assert len(numbers) == count, numbers
    assert len(set(numbers)) == 1, numbers
    assert len(engine.loads_started_s) == 1


@then("engine 1 carried out one order and refused the late one")
def step_impl(context):
    engine = context.engine_by_name["engine-1"]
    assert len(engine.loads_started_s) == 1, engine.loads_started_s
    assert engine.announcement.model == "writing"
    assert isinstance(context.late_outcome.result(), StaleFencing)


@then('no order of "h1" arrived in the first {seconds:f} s of its leadership')
def step_impl(context, seconds):
    engine = context.engine_by_name["engine-1"]
    times = [s - context.leading_since_s for s, _ in engine.accepted]
    assert times
    assert min(times) >= seconds, times


@then("every engine loaded once")
def step_impl(context):
    loads = [len(engine.loads_started_s) for engine in engines(context)]
    assert set(loads) == {1}, loads


@then('engine 1 has role "{role}" and loaded nothing')
def step_impl(context, role):
    engine = context.engine_by_name["engine-1"]
    assert engine.announcement.label_by_name.get("role") == role
    assert engine.loads_started_s == []


@then('{count:d} engines have "{model}", and {a:d} to {b:d} of them loaded at a time')
def step_impl(context, count, model, a, b):
    assert (
        sum(engine.announcement.model == model for engine in engines(context)) == count
    )
    loads = [(s, e.load_s) for e in engines(context) for s in e.loads_started_s]
    at_a_time = [
        sum(start <= other < start + load_s for other, _ in loads)
        for start, load_s in loads
    ]
    assert a <= max(at_a_time) <= b, at_a_time
