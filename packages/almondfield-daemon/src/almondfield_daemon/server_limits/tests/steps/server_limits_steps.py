"""Steps of server_limits.feature."""

import asyncio

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.scheduling.tests.fakes import FakePublisher
from almondfield_daemon.server_limits import LimitService, ServerLimits
from almondfield_daemon.server_notices import ServerStart
from almondfield_testing import InMemoryNetwork, run

HOSTS = ("c1", "c2")
ROUTERS = tuple(f"r{number}" for number in range(1, 10))
MESSAGE_S = 0.1  # more than a message takes


def add_router(context, name):
    context.limits_by_router[name] = ServerLimits(
        context.network.peers(name),
        lambda: context.leader,
        lambda: len(context.limits_by_router),
    )


@given('control hosts "c1" and "c2", of which "c1" leads, and routers "r1" to "r9"')
def step_impl(context):
    context.network = InMemoryNetwork()
    context.leader = "c1"
    context.sent = 0
    context.publisher_by_host = {host: FakePublisher(host == "c1") for host in HOSTS}
    context.service_by_host = {}
    context.limits_by_router = {}

    async def start():
        for host, publisher in context.publisher_by_host.items():
            service = LimitService(context.network.peers(host), publisher)
            service.register_handlers()
            context.service_by_host[host] = service
        for name in ROUTERS:
            add_router(context, name)

    run(context, start())


def name_limit(context, routers, per_s, sent_ago_s=0.0):
    async def record():
        for router in routers:
            selected_s = now() - sent_ago_s
            limits = context.limits_by_router[router]
            limits.record(context.start, per_s, selected_s)
        await asyncio.sleep(MESSAGE_S)

    run(context, record())


@given('server "{server}" names a limit of {per_s:g} requests a second to all routers')
def step_impl(context, server, per_s):
    context.start = ServerStart(server, 1)
    name_limit(context, ROUTERS, per_s)


@when('"{server}" names a limit of {per_s:g} request a second to "{router}"')
@when('"{server}" names a limit of {per_s:g} requests a second to "{router}"')
def step_impl(context, server, per_s, router):
    name_limit(context, [router], per_s)


@when('"{server}" names no limit to "{router}", in the answer to a request sent now')
def step_impl(context, server, router):
    name_limit(context, [router], None)


@when(
    '"{server}" names no limit to "{router}", in the answer to a request sent '
    "{seconds:g} s ago"
)
def step_impl(context, server, router, seconds):
    name_limit(context, [router], None, seconds)


@when('"{server}" starts again')
def step_impl(context, server):
    context.start = ServerStart(server, 2)


@when('router "{router}" starts, and hears what the leader keeps')
def step_impl(context, router):
    async def start():
        add_router(context, router)
        limits = context.service_by_host[context.leader].limits()
        context.limits_by_router[router].learn(limits)
        await asyncio.sleep(MESSAGE_S)

    run(context, start())


@when("no host leads")
def step_impl(context):
    context.leader = ""
    for publisher in context.publisher_by_host.values():
        publisher.leads = False


@when('"{new}" replaces "{old}" as the leader')
def step_impl(context, new, old):
    context.publisher_by_host[old].leads = False
    context.publisher_by_host[new].leads = True
    context.leader = new


@when('"{host}" is partitioned')
def step_impl(context, host):
    context.network.isolate(host)


def ask(context, routers, rate, seconds):
    async def generate(router):
        for _ in range(round(rate * seconds)):
            is_granted = await context.limits_by_router[router].take(context.start)
            context.sent += is_granted
            await asyncio.sleep(1 / rate)

    async def generate_all():
        await asyncio.gather(*(generate(router) for router in routers))

    run(context, generate_all())


@when("all routers ask for {rate:g} requests a second each for {seconds:g} s")
def step_impl(context, rate, seconds):
    ask(context, ROUTERS, rate, seconds)


@when('"{router}" asks for {rate:g} requests a second for {seconds:g} s')
def step_impl(context, router, rate, seconds):
    ask(context, [router], rate, seconds)


@then('"{server}" gets {least:d} to {most:d} requests')
def step_impl(context, server, least, most):
    assert least <= context.sent <= most, context.sent


@then('"{server}" needs no permit at "{router}"')
def step_impl(context, server, router):
    assert not context.limits_by_router[router].is_limited(context.start)
