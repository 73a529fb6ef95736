"""Steps of scheduling.feature."""

import asyncio
import random
from contextlib import suppress

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_core.routing import Prompt, PromptPart
from almondfield_daemon.fleet import FleetControl, FleetServer
from almondfield_daemon.scheduling import EngineAssignment, EngineClient, EngineService
from almondfield_daemon.scheduling.messages import (
    EngineProgress,
    EngineRefusal,
    EngineSlowdown,
)
from almondfield_daemon.scheduling.tests.fakes import POOL, FakePublisher
from almondfield_daemon.server_limits import LimitService
from almondfield_fairshare.engines import PromptRequest
from almondfield_fairshare.engines.prefix_cache import prefix_blocks
from almondfield_testing import InMemoryNetwork, run

HOSTS = ("c1", "c2")


def prompt(prefix, number):
    parts = (PromptPart(prefix, 4000), PromptPart(f"own-{number}", 1000))
    return Prompt("m", 5000, 50, parts)


async def request_engine(context, prefix, number, client=None):
    request = PromptRequest("team", prompt(prefix, number), 0.8)
    return await (client or context.client).request_engine(POOL, request)


async def request_prefixes(context, count, client):
    """Return the assignments of requests for some prefixes, two at a time."""
    assignments = []
    for number in range(0, count, 2):
        pair = await asyncio.gather(
            *(
                request_engine(context, f"t{item}", item, client)
                for item in (number, number + 1)
            )
        )
        await asyncio.sleep(0.3)
        for assignment in pair:
            assignment.begin_answer()
            assignment.end()
        assignments += pair
    return assignments


def other_router(context):
    peers = context.network.peers("r2")
    return EngineClient(peers, lambda: context.leader)


def announce_engines(context, born_ms, sequence):
    for fleet in context.fleet_by_host.values():
        for name in ("e1", "e2"):
            server = FleetServer(
                name,
                POOL,
                f"{name}:1",
                "east",
                64,
                sequence=sequence,
                born_ms=born_ms,
            )
            fleet.announce(server)


def in_flight_count(context, host):
    service = context.service_by_host[host]
    schedulers = service._scheduler_by_pool.values()
    return sum(
        engine.in_flight for s in schedulers for engine in s._engine_by_name.values()
    )


@given('control hosts "c1" and "c2", of which "c1" leads, and router "r1"')
def step_impl(context):
    context.network = InMemoryNetwork()
    context.publisher_by_host = {host: FakePublisher(host == "c1") for host in HOSTS}
    context.evacuated = frozenset()
    context.fleet_by_host = {}
    context.service_by_host = {}
    context.leader = "c1"
    context.assignments = []

    async def start():
        rng = random.Random(1)
        for host in HOSTS:
            peers = context.network.peers(host)
            fleet = FleetControl(peers, 1, lambda: HOSTS, rng)
            fleet.register_handlers()
            service = EngineService(
                peers,
                fleet,
                context.publisher_by_host[host],
                LimitService(peers, context.publisher_by_host[host]),
                4.0,
                lambda: rng.getrandbits(48),
                lambda: context.evacuated,
            )
            service.register_handlers()
            context.fleet_by_host[host] = fleet
            context.service_by_host[host] = service
        peers = context.network.peers("r1")
        context.client = EngineClient(peers, lambda: context.leader)

    run(context, start())


@given('engines "e1" and "e2"')
def step_impl(context):
    async def announce():
        for fleet in context.fleet_by_host.values():
            for name in ("e1", "e2"):
                announcement = FleetServer(
                    name, POOL, f"{name}:1", "east", 64, sequence=1
                )
                fleet.announce(announcement)

    run(context, announce())


@given('"r1" uses "{host}" as the leader')
def step_impl(context, host):
    context.leader = host


@given('"{host}" is partitioned')
@when('"{host}" is partitioned')
def step_impl(context, host):
    context.network.isolate(host)


@when("the partition heals")
def step_impl(context):
    context.network.heal()


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@given('"r1" requests an engine')
@when('"r1" requests an engine')
def step_impl(context):
    async def timed():
        began_s = now()
        context.assignment = await request_engine(
            context, "prefix", len(context.assignments)
        )
        context.took_s = now() - began_s

    run(context, timed())


@when('"r1" requests {count:d} engines at once')
def step_impl(context, count):
    async def all_at_once():
        requests = [request_engine(context, f"prefix-{n}", n) for n in range(count)]
        context.assignments += await asyncio.gather(*requests)

    run(context, all_at_once())


@given('"r1" requested an engine for prefix "{prefix}" {count:d} times')
def step_impl(context, prefix, count):
    async def repeat():
        for number in range(count):
            assignment = await request_engine(context, prefix, number)
            sent = prompt(prefix, number)
            context.client.record_server(POOL, sent, assignment.server, 0)
            context.server = assignment.server
            assignment.begin_answer()
            await asyncio.sleep(0.5)
            assignment.end()

    run(context, repeat())


@when("every answer begins and ends")
def step_impl(context):
    async def end():
        for assignment in context.assignments:
            if isinstance(assignment, EngineAssignment):
                assignment.begin_answer()
                assignment.end()

    run(context, end())


@when('"{new}" replaces "{old}" as the leader')
def step_impl(context, new, old):
    context.publisher_by_host[old].leads = False
    context.publisher_by_host[new].leads = True
    context.leader = new


@when('a caller disconnects while "r1" requests an engine')
def step_impl(context):
    async def disconnect():
        task = asyncio.ensure_future(request_engine(context, "prefix", 0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        # This request makes the scheduler known; the cancelled one is then reported.
        assignment = await request_engine(context, "prefix", 1)
        assignment.end()

    run(context, disconnect())


@when('"r1" restarts')
def step_impl(context):
    async def restart():
        peers = context.network.peers("r1")
        context.client = EngineClient(peers, lambda: context.leader, 1000)

    run(context, restart())


@when("the answer begins and ends")
def step_impl(context):
    async def end():
        context.assignment.begin_answer()
        context.assignment.end()

    run(context, end())


@when('the transport of "r1" raises an error while it requests an engine')
def step_impl(context):
    async def fail(*arguments):
        raise OSError("no descriptors left")

    async def request():
        context.network.peers_by_host["r1"].request = fail
        with suppress(OSError):
            await request_engine(context, "prefix", 0)

    run(context, request())


@then('"r1" has no undecided attempt')
def step_impl(context):
    assert not context.client._reports.has_undecided


@then("it is assigned to an engine")
def step_impl(context):
    assert isinstance(context.assignment, EngineAssignment), context.assignment
    assert context.assignment.server in ("e1", "e2"), context.assignment.server


@then("some requests were admitted and some refused")
def step_impl(context):
    types = {type(assignment) for assignment in context.assignments}
    assert EngineRefusal in types, types
    assert EngineAssignment in types, types


@then('"r1" is assigned an engine again')
def step_impl(context):
    assignment = run(context, request_engine(context, "another", 99))
    assert isinstance(assignment, EngineAssignment), assignment


@then("the request ends without a decision")
def step_impl(context):
    assert context.assignment is None, context.assignment


@then("the request ends without a decision after at most {seconds:g} s")
def step_impl(context, seconds):
    assert context.assignment is None, context.assignment
    assert context.took_s <= seconds, context.took_s


@then("the next request is not delayed")
def step_impl(context):
    async def timed():
        began_s = now()
        assignment = await request_engine(context, "prefix", 2)
        return assignment, now() - began_s

    assignment, took_s = run(context, timed())
    assert assignment is None, assignment
    assert took_s == 0, took_s


@then('"{host}" has at least {count:d} requests in flight')
def step_impl(context, host, count):
    assert in_flight_count(context, host) >= count, in_flight_count(context, host)


@then('"{host}" has {count:d} requests in flight')
def step_impl(context, host, count):
    assert in_flight_count(context, host) == count, in_flight_count(context, host)


@then('prefix "{prefix}" goes to the same engine as before')
def step_impl(context, prefix):
    assignment = run(context, request_engine(context, prefix, 100))
    assert assignment.server == context.server, (assignment.server, context.server)


@given('"r1" requested engines for {count:d} prefixes')
def step_impl(context, count):
    async def request():
        assignments = await request_prefixes(context, count, context.client)
        for number, assignment in enumerate(assignments):
            sent = prompt(f"t{number}", number)
            context.client.record_server(POOL, sent, assignment.server, 0)
        context.servers = [assignment.server for assignment in assignments]

    run(context, request())


@given('"r1" has sent {count:d} prefixes')
def step_impl(context, count):
    async def record():
        for number in range(count):
            sent = Prompt(
                "m", 200, 5, (PromptPart(f"t{number}", 100), PromptPart("own", 100))
            )
            context.client.record_server(POOL, sent, "e1", 0)

    run(context, record())


@when('"e1" and "e2" restart')
def step_impl(context):
    async def announce():
        announce_engines(context, 1000, 2)

    run(context, announce())


@then('each of the {count:d} prefixes goes to the same engine as before from "r2"')
def step_impl(context, count):
    client = other_router(context)
    assignments = run(context, request_prefixes(context, count, client))
    servers = [assignment.server for assignment in assignments]
    assert len(set(context.servers)) == 2, context.servers
    assert servers == context.servers, (servers, context.servers)


@then('each of the {count:d} prefixes counts as uncached from "r2"')
def step_impl(context, count):
    client = other_router(context)
    assignments = run(context, request_prefixes(context, count, client))
    uncached = {assignment.uncached_tokens for assignment in assignments}
    assert uncached == {5000}, uncached


@then('"{host}" knows of {least:d} to {most:d} prefixes')
def step_impl(context, host, least, most):
    service = context.service_by_host[host]
    engine = service._scheduler_by_pool[POOL]._engine_by_name["e1"]
    known = [
        number
        for number in range(1000)
        if engine.cached_tokens(
            prefix_blocks(Prompt("m", 100, 0, (PromptPart(f"t{number}", 100),)))
        )
    ]
    assert least <= len(known) <= most, len(known)
    assert known[-1] == 999, known[-1]


@when('the lease of "{host}" has run out for {seconds:g} s')
def step_impl(context, host, seconds):
    publisher = context.publisher_by_host[host]

    async def lapse():
        publisher.has_lease = False
        context.assignment = await request_engine(context, "during", 900)
        await asyncio.sleep(seconds)
        publisher.has_lease = True

    run(context, lapse())


@when('"{host}" leads again in a later term')
def step_impl(context, host):
    context.publisher_by_host[host].term += 1


@then('"r1" told the scheduler of its prefixes {count:d} times')
def step_impl(context, count):
    told = context.network.count_by_kind.get("engine-prefixes", 0)
    assert told == count, told


@when(
    '"{host}" handles {request} with a target of {target_s:g} s that has waited {s:g} s'
)
def step_impl(context, host, request, target_s, s):
    context.network.peers_by_host[host].handling_delay_s = s

    async def ask():
        item = PromptRequest(
            "team", prompt("t", 1), target_s, is_repeat=request == "a repeat"
        )
        return await context.client.request_engine(POOL, item)

    context.decision = run(context, ask())


@then("it is assigned")
def step_impl(context):
    assert isinstance(context.decision, EngineAssignment), context.decision


@then("it is refused, to be sent again in {seconds:g} s")
def step_impl(context, seconds):
    assert isinstance(context.decision, EngineRefusal), context.decision
    assert context.decision.retry_after_s == seconds, context.decision
    assert not context.decision.is_over_share


@then('"{host}" knows of a demand of {tokens:d} tokens')
def step_impl(context, host, tokens):
    scheduler = context.service_by_host[host]._scheduler_by_pool[POOL]

    async def collect():
        return scheduler.collect_team_loads(1)

    (load,) = run(context, collect())
    assert load.demand == tokens, load
    assert load.refused_overdue == 1, load


@when("its engine reports a slowdown of {slowdown:g}")
def step_impl(context, slowdown):
    async def report():
        context.assignment.report_slowdown(0, slowdown, is_new=True)

    run(context, report())


@then('"{host}" knows of a slowdown of its engine of {least:g} to {most:g}')
def step_impl(context, host, least, most):
    async def slowdowns():
        return context.service_by_host[host].slowdown_by_server()

    value = run(context, slowdowns())[context.assignment.server]
    assert least <= value <= most, value


@when('"r1" reports a slowdown of {slowdown} that is {age} s old')
def step_impl(context, slowdown, age):
    server = context.assignment.server
    item = EngineSlowdown(POOL, server, 0, float(slowdown), float(age))

    async def send():
        progress = EngineProgress(slowdowns=(item,))
        context.network.peers_by_host["r1"].send("c1", progress)

    run(context, send())


@when("{count:d} engines report {times:d} times each how fast they are")
def step_impl(context, count, times):
    context.told = []
    service = context.service_by_host["c1"]
    handle = service._record_slowdowns

    def record(items, table):
        context.told.append(len(items))
        handle(items, table)

    service._record_slowdowns = record

    async def report():
        reports = context.assignment._reports
        for number in range(count * times):
            name = f"engine-{number % count}"
            reports.add_slowdown(POOL, name, 0, 1.0 + number, is_new=True)

    run(context, report())


@then('"r1" told the scheduler of the speed of at most {count:d} engines at a time')
def step_impl(context, count):
    assert 0 < max(context.told) <= count, context.told
