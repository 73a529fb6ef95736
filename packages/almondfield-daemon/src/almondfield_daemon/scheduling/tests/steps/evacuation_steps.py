"""Steps of evacuations.feature."""

from dataclasses import replace

from behave import given, then, when

from almondfield_testing import in_loop


@given('that engine is alone in "{data_centre}"')
@in_loop
async def step_impl(context, data_centre):
    fleet = context.fleet_by_host["c1"]
    (server,) = (s for s in fleet.servers() if s.name == context.server)
    fleet.announce(replace(server, data_centre=data_centre, sequence=2))


@when('"{data_centre}" is evacuated')
@when('"" is evacuated')
def step_impl(context, data_centre=""):
    context.evacuated = frozenset([data_centre] if data_centre else [])


@then("it is assigned to the other engine, and {share:g} of the engines are in use")
@in_loop
async def step_impl(context, share):
    assert context.assignment.server != context.server
    assert context.service_by_host["c1"]._used_share() >= share


@then("the prompt is refused, to be sent again in {seconds:g} s")
def step_impl(context, seconds):
    assert context.assignment.retry_after_s == seconds, context.assignment
