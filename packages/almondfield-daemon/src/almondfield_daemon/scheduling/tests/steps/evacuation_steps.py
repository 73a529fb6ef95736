"""Steps of evacuations.feature."""

import asyncio

from behave import given, then, when

from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.scheduling import EngineAssignment
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_daemon.scheduling.tests.fakes import POOL
from almondfield_testing import run

ALL = frozenset(("east", "west"))


@given('engine "{name}" is in "{data_centre}"')
@when('engine "{name}" joins in "{data_centre}"')
def step_impl(context, name, data_centre):
    async def announce():
        for fleet in context.fleet_by_host.values():
            server = FleetServer(
                name, POOL, f"{name}:1", data_centre, 64, sequence=2, born_ms=0
            )
            assert fleet.announce(server) == ()

    run(context, announce())


@given('"{data_centre}" is evacuated')
def step_impl(context, data_centre):
    context.evacuated = frozenset((data_centre,))


@given("all data centres are evacuated")
def step_impl(context):
    context.evacuated = ALL


@when("the evacuations end")
def step_impl(context):
    context.evacuated = frozenset()


@when("the data centre of that engine is evacuated for {seconds:g} s")
def step_impl(context, seconds):
    (data_centre,) = {
        server.data_centre
        for server in context.fleet_by_host["c1"].servers()
        if server.name == context.server
    }
    context.evacuated = frozenset((data_centre,))
    context.execute_steps('When "r1" requests an engine')
    assert context.assignment.server != context.server, context.assignment
    run(context, asyncio.sleep(seconds))
    context.evacuated = frozenset()


@then('no request was assigned to "{name}"')
def step_impl(context, name):
    servers = [
        item.server
        for item in context.assignments
        if isinstance(item, EngineAssignment)
    ]
    assert servers, context.assignments
    assert name not in servers, servers


@then("at least {share:g} of the engines are in use")
def step_impl(context, share):
    async def read():
        return context.service_by_host["c1"]._used_share()

    used_share = run(context, read())
    assert used_share >= share, used_share


@then("the prompt is refused, to be sent again in {seconds:g} s")
def step_impl(context, seconds):
    assert isinstance(context.assignment, EngineRefusal), context.assignment
    assert context.assignment.retry_after_s == seconds, context.assignment
