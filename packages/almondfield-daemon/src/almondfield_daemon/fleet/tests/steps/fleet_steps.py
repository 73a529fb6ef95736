"""Steps of fleet.feature."""

import asyncio
import random
from dataclasses import replace

from behave import given, then, when

from almondfield_daemon.fleet import (
    FleetControl,
    FleetServer,
    FleetView,
    RouterState,
    ServerPhase,
)
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_testing import InMemoryNetwork, run

CONTROL_HOSTS = ("c1", "c2", "c3")
POOL = "pool"
BEAT_S = 1.2


def server(name, sequence, **changes):
    said = FleetServer(name, POOL, f"{name}:1", "east", 8, sequence=sequence)
    return replace(said, **({"born_ms": 1000} | changes))


async def start_control(context, host):
    peers = context.network.peers(host)
    control = FleetControl(peers, 1, lambda: CONTROL_HOSTS, random.Random(1))
    control.listen()
    context.control_by_host[host] = control
    context.task_by_host[host] = asyncio.ensure_future(control.run())


async def start_router(context, host):
    hello = RouterHello("east", "region", f"{host}:80", RouterState.STARTING)
    peers = context.network.peers(host)
    view = FleetView(peers, hello, CONTROL_HOSTS[:1], lambda: None)
    context.view_by_host[host] = view
    context.task_by_host[host] = asyncio.ensure_future(view.run())


def cut(context, host, others):
    for other in others:
        context.network.cut(host, other)
        context.network.cut(other, host)


def used(context, router, name):
    servers = context.view_by_host[router].servers(POOL)
    return name in {item.name for item in servers}


def silent(context, host):
    async def ask():
        return context.view_by_host[host].silent_servers()

    return run(context, ask())


def in_loop(context, action):
    async def act():
        action()

    run(context, act())


@given('control hosts "c1", "c2" and "c3" and routers "r1" and "r2"')
def step_impl(context):
    context.network = InMemoryNetwork()
    context.control_by_host = {}
    context.view_by_host = {}
    context.task_by_host = {}

    async def start():
        for host in CONTROL_HOSTS:
            await start_control(context, host)
        for host in ("r1", "r2"):
            await start_router(context, host)

    run(context, start())


@given("{seconds:g} s pass")
@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@given('"{name}" announces itself at "{host}" with sequence {sequence:d}')
@when('"{name}" announces itself at "{host}" with sequence {sequence:d}')
def step_impl(context, name, host, sequence):
    control = context.control_by_host[host]
    in_loop(context, lambda: control.announce(server(name, sequence)))


@given('"{name}" announces at "{host}" that it leaves with sequence {sequence:d}')
@when('"{name}" announces at "{host}" that it leaves with sequence {sequence:d}')
def step_impl(context, name, host, sequence):
    said = server(name, sequence, phase=ServerPhase.LEAVING)
    in_loop(context, lambda: context.control_by_host[host].announce(said))


@given('"{name}" deletes itself at "{host}"')
@when('"{name}" deletes itself at "{host}"')
def step_impl(context, name, host):
    in_loop(context, lambda: context.control_by_host[host].leave(name))


@when(
    '"{name}" starts anew and announces itself at "{host}" with sequence {sequence:d}'
)
def step_impl(context, name, host, sequence):
    said = server(name, sequence, born_ms=2000)
    in_loop(context, lambda: context.control_by_host[host].announce(said))


@given('"{name}" starts at the address of "{other}" and announces itself at "{host}"')
@when('"{name}" starts at the address of "{other}" and announces itself at "{host}"')
def step_impl(context, name, other, host):
    said = server(name, 1, born_ms=2000, address=f"{other}:1")
    in_loop(context, lambda: context.control_by_host[host].announce(said))


@given('"{host}" is cut off from "{a}" and "{b}"')
def step_impl(context, host, a, b):
    cut(context, host, (a, b))


@when('"{host}" is cut off from all')
def step_impl(context, host):
    context.network.isolate(host)


@when("the cut heals")
def step_impl(context):
    context.network.heal()


@when('"{name}" goes on to announce itself at "{host}" for {seconds:g} s')
def step_impl(context, name, host, seconds):
    async def beat():
        for number in range(int(seconds / BEAT_S)):
            context.control_by_host[host].announce(server(name, 10 + number))
            await asyncio.sleep(BEAT_S)

    run(context, beat())


@when('"{host}" starts anew')
def step_impl(context, host):
    context.task_by_host[host].cancel()
    run(context, start_router(context, host))


@when('"{host}" stops')
def step_impl(context, host):
    context.network.stop(host)
    context.task_by_host[host].cancel()


@given('"{a}" and "{b}" are ready')
def step_impl(context, a, b):
    for host in (a, b):
        view = context.view_by_host[host]
        in_loop(context, lambda view=view: view.set_state(RouterState.READY))


@when('"{host}" drains')
def step_impl(context, host):
    view = context.view_by_host[host]
    in_loop(context, lambda: view.set_state(RouterState.DRAINING))


@then('"{a}" and "{b}" use "{name}"')
def step_impl(context, a, b, name):
    assert used(context, a, name), a
    assert used(context, b, name), b


@then('neither "{a}" nor "{b}" uses "{name}"')
def step_impl(context, a, b, name):
    assert not used(context, a, name), a
    assert not used(context, b, name), b


@then('"{a}" and "{b}" know that "{name}" leaves')
def step_impl(context, a, b, name):
    for host in (a, b):
        servers = context.control_by_host[host].servers()
        phase = next(item.phase for item in servers if item.name == name)
        assert phase is ServerPhase.LEAVING, (host, phase)


@then('"{host}" knows that "{name}" is silent')
def step_impl(context, host, name):
    assert name in silent(context, host)


@then('"{host}" does not take "{name}" for silent')
def step_impl(context, host, name):
    assert name not in silent(context, host)


@then('callers in "{place}" are sent to "{hosts}" by "{control}"')
def step_impl(context, place, hosts, control):
    async def ask():
        routers = context.control_by_host[control].routers
        return routers.addresses("region", place)

    wanted = {f"{host.strip()}:80" for host in hosts.split(",")}
    assert set(run(context, ask())) == wanted
