"""Steps of streams.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_core.routing import PoolShare, RequestKind, RouteRule
from almondfield_daemon.fleet import ServerPhase
from almondfield_daemon.forwarding.known_servers import KnownServers
from almondfield_daemon.forwarding.messages import ForwardRequest, RequestMetadata
from almondfield_daemon.forwarding.take_up import locate_stream
from almondfield_daemon.server_notices import ServerNotices
from almondfield_daemon.streams import OriginTable, StreamOrigin
from almondfield_daemon.streams.core import MAX_ORIGINS
from almondfield_daemon.streams.messages import OriginQuery
from almondfield_daemon.streams.tests.fleet import CONTROL_HOSTS, POOL, ROUTERS, Fleet
from almondfield_testing import run

KEEP_S = 17.0
ROUNDING_S = 0.001


@given(
    'control hosts c1 to c5, routers r1 and r2, and servers of versions "v1" and "v2"'
)
def step_impl(context):
    async def start():
        context.fleet = Fleet()
        for name in (*CONTROL_HOSTS, *ROUTERS):
            context.fleet.start(name)
        for version in ("v1", "v2"):
            context.fleet.next_announcement(version)
        context.announcing = asyncio.ensure_future(context.fleet.keep_announcing())
        await asyncio.sleep(2.5)

    run(context, start())


@when('stream "{stream}" begins at "{version}" at router {router}')
def step_impl(context, stream, version, router):
    async def begin():
        origins = context.fleet.host_by_name[router].origins
        server = context.fleet.server_by_version[version]
        origin = StreamOrigin(stream, POOL, server.name, version, KEEP_S)
        origins.record(origin)
        await asyncio.sleep(0.05)

    run(context, begin())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("router {name} is killed")
def step_impl(context, name):
    run(context, context.fleet.kill(name))


async def restart(context, names):
    for name in names:
        await context.fleet.kill(name)
        context.fleet.start(name)
    await asyncio.sleep(1.5)


@when("router {name} restarts")
def step_impl(context, name):
    run(context, restart(context, [name]))


@when('control hosts "{names}" restart')
def step_impl(context, names):
    run(context, restart(context, names.split()))


def cut(context, name, others):
    for other in others:
        context.fleet.network.cut(name, other)
        context.fleet.network.cut(other, name)


@when("router {name} is cut off")
def step_impl(context, name):
    cut(context, name, CONTROL_HOSTS)


@when('router {name} is cut off from "{others}"')
def step_impl(context, name, others):
    cut(context, name, others.split())


@when('control hosts "{name}" are cut off from the others')
def step_impl(context, name):
    cut(context, name, [other for other in CONTROL_HOSTS if other != name])


@when("no control host is heard by {name}")
def step_impl(context, name):
    for host in CONTROL_HOSTS:
        context.fleet.network.cut(host, name)


@when("no control host hears {name}")
def step_impl(context, name):
    for host in CONTROL_HOSTS:
        context.fleet.network.cut(name, host)


@when('"{name}" is not heard by {other}')
def step_impl(context, name, other):
    context.fleet.network.cut(name, other)


@when('"{name}" does not hear {other}')
def step_impl(context, name, other):
    context.fleet.network.cut(other, name)


@when("the cut heals")
def step_impl(context):
    context.fleet.network.heal()


@when('all servers of "{version}" leave')
def step_impl(context, version):
    async def leave():
        gone = context.fleet.next_announcement(version, phase=ServerPhase.GONE)
        context.fleet.announce(gone)

    run(context, leave())


@when('a server of "{version}" is announced to "{host}"')
def step_impl(context, version, host):
    async def announce():
        context.fleet.announce(context.fleet.next_announcement(version), host)
        await asyncio.sleep(0.05)

    run(context, announce())


@when('the server of "{version}" is announced with a later start and version "{other}"')
def step_impl(context, version, other):
    async def announce():
        server = context.fleet.next_announcement(version, born_ms=2000, version=other)
        context.fleet.announce(server)

    run(context, announce())


async def find(context, router, stream):
    """Return the version that a router finds, and after how many seconds."""
    began_s = now()
    origins = context.fleet.host_by_name[router].origins
    origin = await origins.find(stream, POOL)
    return (origin.version if origin else None), now() - began_s


@then('router {router} finds that stream "{stream}" began at "{version}"')
def step_impl(context, router, stream, version):
    found, _ = run(context, find(context, router, stream))
    assert found == version, found


@then("router {router} doesn't know where any of these {count:d} streams began")
def step_impl(context, router, count):
    streams = [f"many-{number}" for number in range(count)]
    found = [run(context, find(context, router, stream))[0] for stream in streams]
    assert found == [None] * count, found


def locate(context, router, timeout_s, waited_s):
    """Return what a router decides on taking up an unknown stream of a route."""
    route = RouteRule(
        name="route",
        domain="d",
        path_prefix="/",
        kind=RequestKind.STREAMING,
        shares=(PoolShare(POOL),),
        timeout_s=timeout_s,
        latency_target_s=1.0,
        max_attempts=1,
        is_resumable=True,
    )

    async def ask():
        request = ForwardRequest(
            method="POST",
            target=b"/",
            headers=(),
            metadata=RequestMetadata("r", 4.0, "", "3", "unknown"),
            route=route,
            pool=POOL,
            table_version=1,
            team="",
            arrived_s=now(),
            until_s=now() + 4.0,
            waited_s=waited_s,
        )
        return await locate_stream(request, context.fleet.host_by_name[router].origins)

    return run(context, ask())


@then(
    'router {router} takes up at "{version}" the unknown stream of a {timeout:g} s '
    "route after {waited:g} s"
)
def step_impl(context, router, version, timeout, waited):
    located = locate(context, router, timeout, waited)
    assert located.unwrap().stream_version == version, located


@then(
    "router {router} refuses to take up the unknown stream of a {timeout:g} s "
    "route after {waited:g} s"
)
def step_impl(context, router, timeout, waited):
    located = locate(context, router, timeout, waited)
    assert located.is_err(), located
    assert located.unwrap_err().status == 503, located


@then('router {router} finds that stream "" began at "{version}"')
def step_impl(context, router, version):
    found, _ = run(context, find(context, router, ""))
    assert found == version, found


@then('router {router} doesn\'t know where stream "" began')
def step_impl(context, router):
    found, _ = run(context, find(context, router, ""))
    assert found is None, found


@then('router {router} doesn\'t know where stream "{stream}" began')
def step_impl(context, router, stream):
    found, _ = run(context, find(context, router, stream))
    assert found is None, found


@then(
    'router {router} doesn\'t know where stream "{stream}" began, after at most '
    "{seconds:g} s"
)
def step_impl(context, router, stream, seconds):
    found, took_s = run(context, find(context, router, stream))
    assert found is None, found
    assert took_s <= seconds + ROUNDING_S, took_s


@then("{count:d} origins in {seconds:g} s leave the newest {left:d}")
def step_impl(context, count, seconds, left):
    async def fill():
        table = OriginTable()
        for number in range(count):
            if number % 1000 == 0:
                await asyncio.sleep(seconds * 1000 / count)
            table.put(StreamOrigin(str(number), POOL, "s", "v1", 60.0))
        oldest_left = count - left
        return len(table), table.get(str(oldest_left - 1)), table.get(str(oldest_left))

    size, dropped, kept = run(context, fill())
    assert left == MAX_ORIGINS
    assert size == left
    assert dropped is None
    assert kept is not None


def begin_streams(context, count, router, origin):
    async def begin():
        for number in range(count):
            named = replace(origin, request_id=f"many-{number}")
            context.fleet.host_by_name[router].origins.record(named)
        await asyncio.sleep(0.05)

    context.stream_count = count
    run(context, begin())


@when('{count:d} streams begin at "{version}" at router {router}')
def step_impl(context, count, version, router):
    server = context.fleet.server_by_version[version]
    origin = StreamOrigin("", POOL, server.name, version, KEEP_S)
    begin_streams(context, count, router, origin)


@when(
    '{count:d} streams begin at the restarted server of "{version}" at router {router}'
)
def step_impl(context, count, version, router):
    server = context.fleet.server_by_version[version]
    born_ms = server.born_ms
    origin = StreamOrigin(
        "", POOL, server.name, server.version, KEEP_S, born_ms=born_ms
    )
    begin_streams(context, count, router, origin)


@then("{copies:d} control hosts keep each of them, and never {leader}")
def step_impl(context, copies, leader):
    async def keepers(stream):
        query = OriginQuery(stream, POOL)
        return [
            host
            for host in CONTROL_HOSTS
            if (await ask(context.fleet.host_by_name[host], query)).origin is not None
        ]

    async def ask(host, query):
        return await host.origins._on_query("r2", query)

    for number in range(context.stream_count):
        hosts = run(context, keepers(f"many-{number}"))
        assert len(hosts) == copies, hosts
        assert leader not in hosts, hosts


async def find_usable(context, router, version):
    """Return the servers at which a router may go on with streams of a version."""
    view = context.fleet.host_by_name[router].fleet
    known = KnownServers(view, ServerNotices())
    return [server.name for server in known.usable(POOL, version)]


@then('router {router} uses no server for streams of version "{version}"')
def step_impl(context, router, version):
    usable = run(context, find_usable(context, router, version))
    assert usable == [], usable


@then('router {router} uses server "{name}" for streams of version "{version}"')
def step_impl(context, router, name, version):
    usable = run(context, find_usable(context, router, version))
    assert usable == [name], usable
