"""Steps of evacuations.feature."""

import asyncio

import msgspec
from behave import given, then, when
from result import Ok

from almondfield_control.commands import ChangeEvacuation
from almondfield_control.evacuations.messages import EvacuationChangeRequest
from almondfield_control.publishing.messages import LeaseReply
from almondfield_control.state import ControlState, decode_image, encode_image
from almondfield_core.clock import now
from almondfield_core.wire import kind_of
from almondfield_testing import in_loop

CALL_TIMEOUT_S = 0.9


async def call(fleet, data_centre, in_force):
    """Call a host that doesn't lead until it acknowledges, as operators do."""
    host = next(host for host in fleet.hosts if host != fleet.leader())
    client = fleet.evacuation_client_by_host[host]
    for _ in range(10):
        outcome = await client.change(data_centre, in_force, "", CALL_TIMEOUT_S)
        if isinstance(outcome, Ok):
            break
    assert outcome.unwrap().in_force == in_force, outcome


@when('"{data_centre}" is evacuated')
@in_loop
async def step_impl(context, data_centre):
    await call(context.fleet, data_centre, True)


@when('the evacuation of "{data_centre}" ends')
@in_loop
async def step_impl(context, data_centre):
    await call(context.fleet, data_centre, False)


@when("the leader ends as soon as it has applied a change of evacuations")
@in_loop
async def step_impl(context):
    leader = context.fleet.leader()

    def end(entry, outcome):
        if entry.kind == kind_of(ChangeEvacuation):
            context.fleet.kill(leader)

    context.fleet.replica_by_host[leader].on_apply.append(end)


@when("a reply from before the evacuation reaches the router")
@in_loop
async def step_impl(context):
    (subscription,) = context.fleet.subscription_by_router.values()
    reply = LeaseReply(subscription.version, evacuations_index=1)
    subscription._install_reply(reply, now())


@given('a message that evacuates "{data_centre}" is delayed')
@in_loop
async def step_impl(context, data_centre):
    index = context.fleet.replica_by_host[context.fleet.leader()].state.index
    context.delayed = EvacuationChangeRequest(data_centre, True, "", index)


@when("the delayed message arrives")
@in_loop
async def step_impl(context):
    service = context.fleet.evacuations_by_host[context.fleet.leader()]
    assert (await service._on_change("c2", context.delayed)).record is None


@when('"{host}" restarts from its snapshot')
@in_loop
async def step_impl(context, host):
    await context.fleet.stop(host)
    context.fleet.start(host)
    await asyncio.sleep(0.5)
    assert context.fleet.replica_by_host[host].log.base_index > 0, "no snapshot"


@then('it knows the evacuations "{data_centre}" as soon as it has a table')
@in_loop
async def step_impl(context, data_centre):
    (subscription,) = context.fleet.subscription_by_router.values()
    while not subscription.version:
        await asyncio.sleep(0.001)
    assert subscription.evacuated_data_centres() == {data_centre}


@then('every host knows the evacuations "{data_centres}"')
@then('every host knows the evacuations ""')
def step_impl(context, data_centres=""):
    fleet = context.fleet
    sources = [fleet.evacuations_by_host[host] for host in fleet.replica_by_host]
    sources += fleet.subscription_by_router.values()
    known = [source.evacuated_data_centres() for source in sources]
    assert set(known) == {frozenset(data_centres.split())}, known


@then('the leader and the router know that the evacuation of "east" has just ended')
@in_loop
async def step_impl(context):
    fleet = context.fleet
    (subscription,) = fleet.subscription_by_router.values()
    for ended_s in (
        subscription.evacuations.ended_s_by_data_centre,
        fleet.evacuations_by_host[fleet.leader()].ended_s_by_data_centre(),
    ):
        assert 0 <= now() - ended_s["east"] <= 1, ended_s


@then("one change of evacuations was made")
def step_impl(context):
    fleet = context.fleet
    (records,) = {fleet.evacuations_by_host[h].records() for h in fleet.replica_by_host}
    assert records[0].changed_index < records[0].called_index, records


@then('the state of "{host}" is read from a snapshot without evacuations')
@in_loop
async def step_impl(context, host):
    state = context.fleet.replica_by_host[host].state
    image = msgspec.msgpack.decode(await encode_image(state.image()))
    del image["head"]["evacuations"]
    decoded = await decode_image(msgspec.msgpack.encode(image))
    restored = ControlState.restore(decoded)
    assert restored.members == state.members
    assert not restored.evacuations.in_force


@then("an evacuation is certainly not done")
@in_loop
async def step_impl(context):
    client = context.fleet.evacuation_client_by_host["c1"]
    outcome = await client.change("east", True, "", CALL_TIMEOUT_S)
    assert outcome.err_value.certainly_not_done, outcome
