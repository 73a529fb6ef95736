"""Steps of servers.feature."""

import asyncio
import json

from behave import given, then, when

from almondfield_core.messages import (
    AnnouncementRelay,
    PoolLease,
    ServerAnnouncement,
    ServerState,
)
from almondfield_core.tables import Pool, PoolKind, Selector, Tables
from almondfield_daemon.membership import Membership, selects_server
from almondfield_daemon.membership.tests.fakes import (
    FakeView,
    daemon_settings,
    host_settings,
)
from almondfield_testing import InMemoryNetwork, run


def make_announcement(name, model, **changes):
    base = {"incarnation": 1, "data_centre": "north", "kind": PoolKind.MODEL}
    return ServerAnnouncement(
        name=name, address="127.0.0.1:1", slots=4, model=model, **(base | changes)
    )


def announce(context, name, model, **changes):
    announcement = make_announcement(name, model, **changes)
    run(context, context.membership.announce(announcement))


def received_announcements(context, host):
    relays = context.relays_by_host[host]
    return [announcement for relay in relays for announcement in relay.announcements]


@given('a host "h0", and "h1" and "h2" that schedule "writing" and "board"')
def step_impl(context):
    pools = tuple(Pool(n, selects=Selector(model=n)) for n in ("writing", "board"))
    leases = {
        "writing": PoolLease("writing", "h1", 1),
        "board": PoolLease("board", "h2", 1),
    }
    context.view = FakeView(Tables(1, pools), leases)
    context.relays_by_host = {"h1": [], "h2": []}
    network = InMemoryNetwork()
    hosts = [host_settings(name, "north") for name in ("h0", "h1", "h2")]

    def register(host):
        async def on_relay(sender, relay):
            context.relays_by_host[host].append(relay)

        network.peers(host).register_handler(AnnouncementRelay, on_relay)

    async def start():
        register("h1")
        register("h2")
        context.membership = Membership(
            network.peers("h0"), context.view, daemon_settings("h0", hosts), 1
        )
        context.task = asyncio.ensure_future(context.membership.run())

    run(context, start())


@given('server "{name}" announces itself for "{model}"')
@when('server "{name}" announces itself for "{model}"')
def step_impl(context, name, model):
    announce(context, name, model)


@given('server "{name}" announces itself for "{model}" in incarnation {number:d}')
@when('server "{name}" announces itself for "{model}" in incarnation {number:d}')
def step_impl(context, name, model, number):
    announce(context, name, model, incarnation=number)


@when('server "{name}" announces that it is leaving')
def step_impl(context, name):
    announce(context, name, "writing", state=ServerState.LEAVING)


@given(
    'servers 1 to {last:d} announce themselves for "writing" {times:d} times in {s:d} s'
)
def step_impl(context, last, times, s):
    for repeat in range(times):
        for number in range(1, last + 1):
            announce(context, f"engine-{number}", "writing", busy=repeat)
            run(context, asyncio.sleep(s / times / last))
    run(context, asyncio.sleep(0.3))
    context.last_load = times - 1


@when('"{host}" gets the lease of "{pool}"')
def step_impl(context, host, pool):
    context.view.lease_by_pool = {pool: PoolLease(pool, host, 2)}


@then('"{host}" has received one announcement, of "{name}"')
def step_impl(context, host, name):
    assert [a.name for a in received_announcements(context, host)] == [name]


@then('"{host}" has received no announcement')
def step_impl(context, host):
    assert received_announcements(context, host) == []


@then('"{host}" has received announcements of {count:d} servers')
def step_impl(context, host, count):
    assert len({a.name for a in received_announcements(context, host)}) == count


@then('"h1" has received at most {most:d} relays and the newest load of every server')
def step_impl(context, most):
    assert len(context.relays_by_host["h1"]) <= most, len(context.relays_by_host["h1"])
    load = {a.name: a.busy for a in received_announcements(context, "h1")}
    assert load == {f"engine-{n}": context.last_load for n in range(1, 41)}, load


@when('"{data_centre}" is evacuated')
def step_impl(context, data_centre):
    context.membership.set_evacuated_source(lambda: frozenset((data_centre,)))


@when('the evacuation of "{data_centre}" ends')
def step_impl(context, data_centre):
    context.membership.set_evacuated_source(frozenset)


@then('the last received state of "{name}" at "{host}" is leaving')
def step_impl(context, host, name):
    states = [a.state for a in received_announcements(context, host) if a.name == name]
    assert states[-1] is ServerState.LEAVING, states


@then('"h0" lists no server')
def step_impl(context):
    async def read():
        return context.membership.servers()

    assert run(context, read()) == ()


@then("selecting a server with {server} by a pool with {selector} gives {answer}")
def step_impl(context, selector, server, answer):
    pool = Pool("p", selects=Selector(**lists_as_tuples(json.loads(selector))))
    fields = lists_as_tuples(json.loads(server))
    kind = PoolKind(fields.pop("kind", "model"))
    model = fields.pop("model", "")
    assert selects_server(pool, make_announcement("e", model, kind=kind, **fields)) is (
        answer == "yes"
    )


def lists_as_tuples(items):
    return {k: tuple(v) if isinstance(v, list) else v for k, v in items.items()}


@when('"{name}" is held for {seconds:f} s')
def step_impl(context, name, seconds):
    async def hold():
        context.membership.hold_server(name, 1, seconds)

    run(context, hold())


@then('the last received state of "{name}" at "{host}" is serving')
def step_impl(context, host, name):
    states = [a.state for a in received_announcements(context, host) if a.name == name]
    assert states[-1] is ServerState.SERVING, states
