"""Steps of evacuations.feature."""

from behave import then, when
from control_fleet import in_loop


@when('{host} begins the evacuation of "{data_centre}"')
@in_loop
async def step_impl(context, host, data_centre):
    control = context.fleet.node_by_host[host].control
    changed = await control.change_evacuation(data_centre, True, "192.0.2.1")
    assert changed.unwrap().in_force, changed


@then('every host knows the evacuations "{data_centres}"')
def step_impl(context, data_centres):
    known_by_host = {
        host: node.evacuated_data_centres()
        for host, node in context.fleet.node_by_host.items()
    }
    assert set(known_by_host.values()) == {frozenset(data_centres.split())}, (
        known_by_host
    )


@then('{host} lists the evacuation of "{data_centre}"')
@in_loop
async def step_impl(context, host, data_centre):
    control = context.fleet.node_by_host[host].control
    (evacuation,) = (await control.evacuations()).unwrap()
    assert evacuation.data_centre == data_centre, evacuation
    assert evacuation.requested_by == "192.0.2.1", evacuation
