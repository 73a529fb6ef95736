"""Steps of evacuations.feature."""

from behave import then, when
from control_fleet import in_loop


@when('{host} evacuates "{data_centre}"')
@in_loop
async def step_impl(context, host, data_centre):
    control = context.fleet.node_by_host[host].control
    (await control.change_evacuation(data_centre, True, "192.0.2.1")).unwrap()
    assert len((await control.evacuations()).unwrap()) == 1


@then('every host knows that "{data_centre}" is evacuated')
def step_impl(context, data_centre):
    for node in context.fleet.node_by_host.values():
        assert node.evacuated_data_centres() == {data_centre}
