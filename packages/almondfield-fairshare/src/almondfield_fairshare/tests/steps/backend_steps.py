"""Steps on the choice of backend servers."""

import asyncio
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from almondfield_core.messages import (
    AnnouncementRelay,
    ServerAnnouncement,
    ServerFailure,
    ServerState,
    SlotRequest,
)
from almondfield_core.tables import Pool, PoolKind
from almondfield_testing import run
from sharing_fleet import Fleet
from sharing_load import Callers


@given(
    "a fleet of {hosts:d} hosts with {servers:d} servers of {slots:d} slots"
    ' and pools "{first}" and "{second}"'
)
def step_impl(context, hosts, servers, slots, first, second):
    announcements = tuple(
        ServerAnnouncement(f"server-{n}", 1, "", "dc", PoolKind.MODEL, slots)
        for n in range(1, servers + 1)
    )
    context.fleet = Fleet(hosts, (Pool(second), Pool(first)), announcements)
    context.callers = Callers(context.fleet)
    run(context, context.fleet.start())


@given('"{server}" fails every call')
def step_impl(context, server):
    context.failing = server


@when("{count:d} requests of {cost:g} s are sent")
def step_impl(context, count, cost):
    send_together(context, count, cost, ())


@when('{count:d} requests of {cost:g} s are sent that avoid "{server}"')
def step_impl(context, count, cost, server):
    send_together(context, count, cost, (server,))


def send_together(context, count, cost, avoid):
    """Start requests that run at the same time, and count them by server."""

    async def start():
        request = SlotRequest("pool", "bar", "/", avoid=avoid)
        share = context.fleet.share_by_host["host-1"]
        return [await share.acquire(request) for _ in range(count)]

    slots = run(context, start())
    context.running = Counter(slot.unwrap().server.name for slot in slots)


@when("{count:d} requests of {cost:g} s are sent one after the other")
def step_impl(context, count, cost):
    tried = getattr(context, "tried", Counter())
    run(context, send_in_turn(context, count, cost, tried))
    context.tried = tried


async def send_in_turn(context, count, cost, tried):
    share = context.fleet.share_by_host["host-1"]
    for _ in range(count):
        slot = (await share.acquire(SlotRequest("pool", "bar", "/"))).unwrap()
        tried[slot.server.name] += 1
        if slot.server.name == context.failing:
            slot.release(ServerFailure.CONNECT)
        else:
            await asyncio.sleep(cost)
            slot.release()


@when('"{server}" leaves')
def step_impl(context, server):
    async def leave():
        context.fleet.leave(server)

    run(context, leave())


@when("an outdated announcement arrives late")
def step_impl(context):
    async def arrive():
        fleet = context.fleet
        leaving = fleet.server_by_name["server-1"]
        outdated = replace(leaving.announcement, state=ServerState.SERVING)
        relay = AnnouncementRelay("pool", (outdated,), (0.0,))
        await asyncio.sleep(0.02)
        fleet.network.peers_by_host["host-2"].send(fleet.holder("pool"), relay)
        await asyncio.sleep(0.02)

    run(context, arrive())


@when('"{server}" takes work again')
def step_impl(context, server):
    stub = context.fleet.server_by_name[server]
    stub.announcement = replace(stub.announcement, state=ServerState.SERVING)


@when('"{server}" becomes unresponsive')
def step_impl(context, server):
    context.fleet.server_by_name[server].alive = False


@then("each server runs {count:d} requests")
def step_impl(context, count):
    assert set(context.running.values()) == {count}, context.running


@then('"{server}" runs {count:d} requests')
def step_impl(context, server, count):
    assert context.running[server] == count, context.running


@then('"{server}" was tried {count:d} times')
def step_impl(context, server, count):
    assert context.tried[server] == count, context.tried


@then('only pool "{pool}" has slots, {count:d} in all')
def step_impl(context, pool, count):
    async def read():
        return context.fleet.share_by_host["host-1"].stats().slots_by_pool

    slots = run(context, read())
    others = sum(number for name, number in slots.items() if name != pool)
    assert (slots[pool], others) == (count, 0), slots


@then('a finding names each server for pool "{pool}"')
def step_impl(context, pool):
    findings = context.fleet.schedulers_by_host["host-1"].stats().findings
    places = [finding.place for finding in findings]
    assert places == [f"pools[{pool}].selects"] * 2, findings
