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


def in_loop(context, function):
    async def call():
        return function()

    return run(context, call())


def start(context, name, hosts, incarnation=1):
    context.hosts[name] = in_loop(
        context, lambda: Host(context.network, name, hosts, incarnation)
    )


def answer(context, name, data_centre=""):
    membership = context.hosts[name].membership
    return in_loop(context, lambda: membership.addresses(data_centre).addresses)


def answered_names(context, name):
    return {address.host for address in answer(context, name)}


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
        host.membership.watch_spare(lambda own=other == name: spare if own else 0)


@given("the spare slots of every host change all the time")
def step_impl(context):
    context.told = {name: set() for name in context.hosts}
    for name, host in context.hosts.items():
        levels = itertools.cycle((0, 100))
        host.membership.watch_spare(lambda levels=levels: next(levels))
        take_note(context.told[name], name, host.membership)


def take_note(told, name, membership):
    """Count what a host says of itself by what it passes on."""
    pass_on = membership._pass_on

    def noted(digest, source):
        told.update(n.order for n in digest.spares if n.host == name == source)
        pass_on(digest, source)

    membership._pass_on = noted


@given("a tenth of the messages is lost and a tenth repeated")
def step_impl(context):
    context.network.loss = context.network.repeat = 0.1


@given("{seconds:f} s pass")
@when("{seconds:f} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('"{name}" falls silent')
def step_impl(context, name):
    context.network.isolate(name)


@when("the network is whole again")
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
    in_loop(context, context.hosts[name].membership.drain)


@when('"{name}" restarts')
def step_impl(context, name):
    context.hosts[name].task.cancel()
    start(context, name, context.settings, incarnation=2)


@when('a host "{name}" joins that knows all the others')
def step_impl(context, name):
    start(context, name, [*context.settings, host_settings(name, "north")])


@then('"{name}" answers {count:d} hosts, those of "{data_centre}" first')
def step_impl(context, name, count, data_centre):
    found = answer(context, name)
    assert len(found) == count, found
    assert_first(context, found, data_centre)


@then('"{name}" answers a caller in "{centre}" with those of "{other}" first')
def step_impl(context, name, centre, other):
    assert_first(context, answer(context, name, centre), other)


def assert_first(context, found, data_centre):
    near = [address.data_centre == data_centre for address in found]
    assert near[0]
    assert near == sorted(near, reverse=True), near


@then('of {count:d} answers for "{centre}" at least {least:d} begin with "{name}"')
def step_impl(context, count, centre, least, name):
    answers = [answer(context, "h4", centre) for _ in range(count)]
    context.first = [addresses[0].host for addresses in answers]
    assert context.first.count(name) >= least, context.first.count(name)


@then('every host of "north" begins at least one of them')
def step_impl(context):
    assert set(context.first) == {"h0", "h1", "h2"}


@then('no other host answers "{name}"')
def step_impl(context, name):
    late = [
        o for o in context.hosts if o != name and name in answered_names(context, o)
    ]
    assert not late, late


@then('"{name}" suspects itself')
def step_impl(context, name):
    membership = context.hosts[name].membership
    assert in_loop(context, membership.suspects) == {name}


@then('"{name}" leaves itself out')
def step_impl(context, name):
    assert name not in answered_names(context, name)


@then("every host answers {count:d} hosts")
def step_impl(context, count):
    counts = {name: len(answer(context, name)) for name in context.hosts}
    assert set(counts.values()) == {count}, counts


@then("hosts have at most 4 neighbours in fleets of 2 to 400 hosts")
def step_impl(context):
    for count in (2, 3, 9, 100, 400):
        names = [f"h{i}" for i in range(count)]
        neighbours = {name: find_neighbours(name, names) for name in names[:20]}
        assert all(1 <= len(found) <= 4 for found in neighbours.values())


@then("every host of 370 is at most {most:d} steps away from any other")
def step_impl(context, most):
    names = [f"h{i}" for i in range(370)]
    neighbours = {name: find_neighbours(name, names) for name in names}
    for name in names[:40]:
        reached = {name}
        for _ in range(most):
            reached |= {other for host in reached for other in neighbours[host]}
        assert len(reached) == 370, len(reached)


@then("every host has told of its spare slots at most {most:d} times")
def step_impl(context, most):
    counts = [len(told) for told in context.told.values()]
    assert all(1 <= count <= most for count in counts), counts
