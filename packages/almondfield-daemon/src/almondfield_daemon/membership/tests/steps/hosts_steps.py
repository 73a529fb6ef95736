"""Steps of hosts.feature."""

import asyncio
import itertools

from behave import given, then, when

from almondfield_daemon.membership import Membership
from almondfield_daemon.membership.neighbours import find_neighbours
from almondfield_daemon.membership.tests.fakes import (
    FakeView,
    daemon_settings,
    host_settings,
)
from almondfield_testing import InMemoryNetwork, run


class Host:
    """One host of the fleet."""

    def __init__(self, network, name, hosts, incarnation):
        self.view = FakeView()
        self.peers = network.peers(name)
        settings = daemon_settings(name, hosts)
        self.membership = Membership(self.peers, self.view, settings, incarnation)
        self.task = asyncio.ensure_future(self.membership.run())


def run_in_loop(context, function):
    async def call():
        return function()

    return run(context, call())


def start(context, name, hosts, incarnation=1):
    context.hosts[name] = run_in_loop(
        context, lambda: Host(context.network, name, hosts, incarnation)
    )


def get_addresses(context, name, data_centre=""):
    membership = context.hosts[name].membership
    return run_in_loop(context, lambda: membership.addresses(data_centre).addresses)


def get_host_names(context, name):
    return {address.host for address in get_addresses(context, name)}


@given('{count:d} hosts in data centres "north", "south" and "west"')
def step_impl(context, count):
    context.network = InMemoryNetwork(seed=3)
    context.hosts = {}
    centres = ("north", "south", "west")
    context.settings = [
        host_settings(f"h{i}", centres[i * 3 // count]) for i in range(count)
    ]
    for host in context.settings:
        start(context, host.name, context.settings)


@given('"{name}" has {spare:d} spare slots and the others none')
def step_impl(context, name, spare):
    for other, host in context.hosts.items():
        host.membership.set_spare_slots_source(
            lambda own=other == name: spare if own else 0
        )


@given("the spare slots of every host change at each reading")
def step_impl(context):
    context.published = {name: set() for name in context.hosts}
    for name, host in context.hosts.items():
        levels = itertools.cycle((0, 100))
        host.membership.set_spare_slots_source(lambda levels=levels: next(levels))
        record_published(context.published[name], name, host.membership)


def record_published(published, name, membership):
    """Record the updates about its own spare slots that a host sends."""
    forward = membership._forward

    def record_and_forward(digest, source):
        published.update(u.recency for u in digest.spares if u.host == name == source)
        forward(digest, source)

    membership._forward = record_and_forward


@given("a tenth of the messages is lost and a tenth repeated")
def step_impl(context):
    context.network.loss = context.network.repeat = 0.1


@given("{seconds:f} s pass")
@when("{seconds:f} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('"{name}" is isolated')
def step_impl(context, name):
    context.network.isolate(name)


@when("the network is restored")
def step_impl(context):
    context.network.heal()


@when('the path between "{name}" and one neighbour is cut')
def step_impl(context, name):
    other = min(find_neighbours(name, context.hosts))
    context.network.cut(name, other)
    context.network.cut(other, name)


@when('the tables of "{name}" are stale')
def step_impl(context, name):
    context.hosts[name].view.fresh = False


@when('the tables of "{name}" are current')
def step_impl(context, name):
    context.hosts[name].view.fresh = True


@when('every host of "{data_centre}" stops')
def step_impl(context, data_centre):
    for host in context.settings:
        if host.data_centre == data_centre:
            context.network.stop(host.name)
            context.hosts.pop(host.name).task.cancel()


@when('"{name}" drains')
def step_impl(context, name):
    run_in_loop(context, context.hosts[name].membership.drain)


@when('"{name}" restarts')
def step_impl(context, name):
    context.hosts[name].task.cancel()
    start(context, name, context.settings, incarnation=2)


@when('a host "{name}" joins whose settings name all the others')
def step_impl(context, name):
    start(context, name, [*context.settings, host_settings(name, "north")])


@then('"{name}" returns {count:d} hosts, those of "{data_centre}" first')
def step_impl(context, name, count, data_centre):
    addresses = get_addresses(context, name)
    assert len(addresses) == count, addresses
    assert_first(context, addresses, data_centre)


@then('"{name}" answers a caller in "{centre}" with those of "{other}" first')
def step_impl(context, name, centre, other):
    assert_first(context, get_addresses(context, name, centre), other)


def assert_first(context, addresses, data_centre):
    is_local = [address.data_centre == data_centre for address in addresses]
    assert is_local[0]
    assert is_local == sorted(is_local, reverse=True), is_local


@then('of {count:d} answers for "{centre}" at least {least:d} begin with "{name}"')
def step_impl(context, count, centre, least, name):
    answers = [get_addresses(context, "h4", centre) for _ in range(count)]
    context.first = [addresses[0].host for addresses in answers]
    assert context.first.count(name) >= least, context.first.count(name)


@then('every host of "north" is first in at least one of them')
def step_impl(context):
    assert set(context.first) == {"h0", "h1", "h2"}


@then('no other host returns "{name}"')
def step_impl(context, name):
    returning = [
        o for o in context.hosts if o != name and name in get_host_names(context, o)
    ]
    assert not returning, returning


@then('"{name}" suspects itself')
def step_impl(context, name):
    membership = context.hosts[name].membership
    assert run_in_loop(context, membership.suspects) == {name}


@then('"{name}" does not return itself')
def step_impl(context, name):
    assert name not in get_host_names(context, name)


@then("every host returns {count:d} hosts")
def step_impl(context, count):
    counts = {name: len(get_addresses(context, name)) for name in context.hosts}
    assert set(counts.values()) == {count}, counts


@then("hosts have at most 4 neighbours in fleets of 2 to 400 hosts")
def step_impl(context):
    for count in (2, 3, 9, 100, 400):
        names = [f"h{i}" for i in range(count)]
        neighbours = {name: find_neighbours(name, names) for name in names[:20]}
        assert all(1 <= len(found) <= 4 for found in neighbours.values())


@then("every host of 370 is at most {most:d} hops away from any other")
def step_impl(context, most):
    names = [f"h{i}" for i in range(370)]
    neighbours = {name: find_neighbours(name, names) for name in names}
    for name in names[:40]:
        reached = {name}
        for _ in range(most):
            reached |= {other for host in reached for other in neighbours[host]}
        assert len(reached) == 370, len(reached)


@then("every host has published its spare slots at most {most:d} times")
def step_impl(context, most):
    counts = [len(published) for published in context.published.values()]
    assert all(1 <= count <= most for count in counts), counts
