"""Steps of publishing.feature."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from almondfield_control.publishing.tests.publishing_fleet import PublishingFleet
from almondfield_core.clock import now
from almondfield_core.routing import RoutingTable
from almondfield_testing import run

FORMATION_TIMEOUT_S = 10.0


def start(context, hosts, seeds, **options):
    async def start_hosts():
        context.fleet = PublishingFleet(hosts, seeds, **options)
        for host in context.fleet.hosts:
            context.fleet.start(host)

    run(context, start_hosts())


def publish(context, version, host, document=b""):
    run(context, context.fleet.publish(host, version, document))


def leader(context):
    async def query():
        return context.fleet.leader()

    return run(context, query())


@given("{hosts:d} control hosts of which {seeds:d} are seeds")
def step_impl(context, hosts, seeds):
    start(context, hosts, seeds)


@given(
    "{hosts:d} control hosts of which {seeds:d} are seeds, none allowed to form a group"
)
def step_impl(context, hosts, seeds):
    start(context, hosts, seeds, may_form=False)


@given(
    "{hosts:d} control hosts of which {seeds:d} are seeds, which tolerate "
    "{losses:d} lost disks"
)
def step_impl(context, hosts, seeds, losses):
    start(context, hosts, seeds, lost_disks=losses)


@given("a formed group of {hosts:d} and {routers:d} routers")
def step_impl(context, hosts, routers):
    start(context, hosts, 3)

    async def start_routers():
        fleet = context.fleet
        await fleet.wait_until(
            lambda: len(fleet.voters()) == hosts, FORMATION_TIMEOUT_S
        )
        for number in range(routers):
            fleet.start_router(f"r{number + 1}")
        await asyncio.sleep(1.0)

    run(context, start_routers())


@given("{seconds:g} s pass")
@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@given('version {version:d} is published at "{host}"')
@when('version {version:d} is published at "{host}"')
def step_impl(context, version, host):
    publish(context, version, host)


@when('version {version:d} with other content is published at "{host}"')
def step_impl(context, version, host):
    publish(context, version, host, b"other content")


@when('version {version:d} is published with two contents at "{a}" and "{b}" at once')
def step_impl(context, version, a, b):
    async def publish_both():
        await asyncio.gather(
            context.fleet.publish(a, version, b"one"),
            context.fleet.publish(b, version, b"two"),
        )

    run(context, publish_both())


@when("every seed restarts until a non-seed host leads")
def step_impl(context):
    async def restart_seeds():
        fleet = context.fleet
        while fleet.leader() in (*fleet.seeds, None):
            for seed in fleet.seeds:
                await fleet.stop(seed)
                await asyncio.sleep(0.3)
                fleet.start(seed)
                await asyncio.sleep(2.0)

    run(context, restart_seeds())


@when("version {version:d} is published at that host")
def step_impl(context, version):
    publish(context, version, leader(context))


@when("a router starts")
def step_impl(context):
    async def start_router():
        context.fleet.start_router("r9")

    run(context, start_router())


@when('router "{router}" is isolated')
def step_impl(context, router):
    context.fleet.network.isolate(router)


@when('"{host}" loses its disk and restarts, not allowed to form a group')
def step_impl(context, host):
    context.previous_voter_id = context.fleet.replica_by_host[host].voter_id

    async def restart():
        await context.fleet.stop(host, wipe=True)
        await asyncio.sleep(0.5)
        context.fleet.start(host, may_form=False)

    run(context, restart())


@when("all control hosts lose power and restart")
def step_impl(context):
    async def restart():
        for host in context.fleet.hosts:
            await context.fleet.stop(host)
        for host in context.fleet.hosts:
            context.fleet.start(host, may_form=False)

    run(context, restart())


@when('"{lost}" is permanently lost and "{new}" starts in its place')
def step_impl(context, lost, new):
    async def replace_host():
        await context.fleet.stop(lost)
        context.fleet.start(new, may_form=False)

    run(context, replace_host())


@when('"{a}" and "{b}" are partitioned from the others')
def step_impl(context, a, b):
    network = context.fleet.network
    for host in (a, b):
        for other in context.fleet.hosts:
            if other not in (a, b):
                network.cut(host, other)
                network.cut(other, host)


@when("the disk of the leader rejects writes")
def step_impl(context):
    context.fleet.disk_by_host[leader(context)].free_bytes = 0


@then('version {version:d} is published at "{host}" within {seconds:g} s')
def step_impl(context, version, host, seconds):
    async def measure():
        started_at = now()
        await context.fleet.publish(host, version)
        return now() - started_at

    elapsed_s = run(context, measure())
    assert elapsed_s <= seconds, elapsed_s


@then("all {count:d} hosts vote")
def step_impl(context, count):
    async def query():
        return context.fleet.voters()

    assert run(context, query()) == set(context.fleet.hosts[:count])


@then("no host leads")
def step_impl(context):
    async def query():
        return context.fleet.leader()

    assert run(context, query()) is None


@then('the voters are "{hosts}"')
def step_impl(context, hosts):
    async def query():
        return context.fleet.voters()

    voters = run(context, query())
    assert voters == set(hosts.split(", ")), voters


@then('"{host}" has a new voter identity')
def step_impl(context, host):
    assert context.fleet.replica_by_host[host].voter_id != context.previous_voter_id


@then("every router holds version {version:d} with a fresh lease")
def step_impl(context, version):
    async def query():
        return {
            router: (item.version, item.fresh_left_s() > 0)
            for router, item in context.fleet.subscription_by_router.items()
        }

    held = run(context, query())
    assert set(held.values()) == {(version, True)}, held


@then('the table of router "{router}" is stale')
def step_impl(context, router):
    async def query():
        return context.fleet.subscription_by_router[router].fresh_left_s()

    assert run(context, query()) == 0


@then("no router's lease is longer than {seconds:g} s")
def step_impl(context, seconds):
    async def query():
        routers = context.fleet.subscription_by_router.values()
        return max(item.fresh_left_s() for item in routers)

    assert 0 < run(context, query()) <= seconds


@then('version {version:d} is read at "{host}"')
def step_impl(context, version, host):
    outcome = run(context, context.fleet.read(host))
    assert isinstance(outcome, Ok), outcome
    assert outcome.ok_value.version == version, outcome
    assert outcome.ok_value.document == b"document %d" % version, outcome


@then('version {version:d} is read at "{host}" with its first content')
def step_impl(context, version, host):
    outcome = run(context, context.fleet.read(host))
    assert outcome.ok_value.document == b"document %d" % version, outcome


@then('a read at "{host}" fails')
def step_impl(context, host):
    outcome = run(context, context.fleet.read(host))
    assert isinstance(outcome, Err), outcome


@then("every publish reply has version {version:d}")
def step_impl(context, version):
    assert set(context.fleet.published_versions) == {version}, (
        context.fleet.published_versions
    )


@then("one of the two contents is read at every control host")
def step_impl(context):
    async def query():
        hosts = context.fleet.hosts
        outcomes = [await context.fleet.read(host) for host in hosts]
        return {outcome.ok_value.document for outcome in outcomes}

    documents = run(context, query())
    assert len(documents) == 1, documents
    assert documents <= {b"one", b"two"}, documents


@then('version {version:d} is refused at "{host}"')
def step_impl(context, version, host):
    async def query():
        publisher = context.fleet.publisher_by_host[host]
        return await publisher.publish(RoutingTable(version), b"x", 2.0)

    assert isinstance(run(context, query()), Err)


@when("all control hosts and routers lose power and restart")
def step_impl(context):
    async def restart():
        fleet = context.fleet
        for host in fleet.hosts:
            await fleet.stop(host)
        for router in fleet.subscription_by_router:
            fleet.network.stop(router)
            fleet.task_by_host[router].cancel()
        for router in list(fleet.subscription_by_router):
            fleet.start_router(router)
        for host in fleet.hosts:
            await asyncio.sleep(0.2)
            fleet.start(host, may_form=False)

    run(context, restart())


@then("every router has a fresh table within {seconds:g} s of a leader")
def step_impl(context, seconds):
    async def wait():
        fleet = context.fleet
        await fleet.wait_until(fleet.leader, 10.0)
        routers = fleet.subscription_by_router.values()
        await fleet.wait_until(
            lambda: all(r.fresh_left_s() > 0 for r in routers), seconds
        )

    run(context, wait())


@when("the leader loses power")
def step_impl(context):
    async def stop_leader():
        await context.fleet.stop(context.fleet.leader())

    run(context, stop_leader())


@then("every router has found the new leader within {seconds:g} s of its first entry")
def step_impl(context, seconds):
    async def wait():
        fleet = context.fleet

        def serving():
            return [
                h for h in fleet.replica_by_host if fleet.publisher_by_host[h].is_leader
            ]

        await fleet.wait_until(serving, 10.0)
        (leader,) = serving()
        clients = fleet.leader_client_by_router.values()
        await fleet.wait_until(
            lambda: all(c.leader_host == leader for c in clients), seconds
        )

    run(context, wait())


@then("another host leads within {seconds:g} s")
def step_impl(context, seconds):
    run(context, context.fleet.wait_until(context.fleet.leader, seconds))


@when('messages to and from router "{router}" take {least:g} to {most:g} s')
def step_impl(context, router, least, most):
    context.fleet.network.delay_s_by_host[router] = (least, most)


@then('router "{router}" knows the leader at each moment of the next {seconds:g} s')
def step_impl(context, router, seconds):
    async def watch():
        client = context.fleet.leader_client_by_router[router]
        until_s = now() + seconds
        while now() < until_s:
            assert client.last_leader == context.fleet.leader(), client.last_leader
            await asyncio.sleep(0.01)

    run(context, watch())
