"""Steps of evacuations.feature."""

import asyncio

import msgspec
from behave import given, then, when
from result import Err, Ok

from almondfield_control.commands import ChangeEvacuation
from almondfield_control.evacuations.messages import EvacuationChangeRequest
from almondfield_control.publishing.messages import LeaseReply
from almondfield_control.state import ControlState, decode_image, encode_image
from almondfield_core.clock import now
from almondfield_core.wire import kind_of
from almondfield_testing import run

CALL_TIMEOUT_S = 0.9
MAX_CALLS = 10


async def call(fleet, host, data_centre, in_force, operator):
    """Call a host until it acknowledges, as operators do."""
    for _ in range(MAX_CALLS):
        outcome = await fleet.evacuation_client_by_host[host].change(
            data_centre, in_force, operator, CALL_TIMEOUT_S
        )
        if isinstance(outcome, Ok):
            return outcome.ok_value
    raise AssertionError(outcome)


@when('"{operator}" evacuates "{data_centre}" at "{host}"')
def step_impl(context, operator, data_centre, host):
    changed = run(context, call(context.fleet, host, data_centre, True, operator))
    assert changed.in_force, changed


@when('"{operator}" ends the evacuation of "{data_centre}" at "{host}"')
def step_impl(context, operator, data_centre, host):
    changed = run(context, call(context.fleet, host, data_centre, False, operator))
    assert not changed.in_force, changed


@when('the evacuation of "{data_centre}" begins at "{host}" and ends at "{other}"')
def step_impl(context, data_centre, host, other):
    async def call_both():
        await call(context.fleet, host, data_centre, True, "op1")
        await call(context.fleet, other, data_centre, False, "op1")

    run(context, call_both())


@when('"{operator}" evacuates "{data_centre}" at a host that doesn\'t lead')
def step_impl(context, operator, data_centre):
    async def call_follower():
        fleet = context.fleet
        host = next(host for host in fleet.hosts if host != fleet.leader())
        await call(fleet, host, data_centre, True, operator)

    run(context, call_follower())


@when("the leader ends as soon as it has applied a change of evacuations")
def step_impl(context):
    fleet = context.fleet

    async def arrange():
        leader = fleet.leader()

        def end(entry, outcome):
            if entry.kind == kind_of(ChangeEvacuation):
                fleet.kill(leader)

        fleet.replica_by_host[leader].on_apply.append(end)

    run(context, arrange())


@when("a reply from before the evacuation reaches the router")
def step_impl(context):
    async def receive():
        (subscription,) = context.fleet.subscription_by_router.values()
        reply = LeaseReply(subscription.version, evacuations_index=1)
        subscription._install_reply(reply, now())

    run(context, receive())


@given('a message that evacuates "{data_centre}" is delayed')
def step_impl(context, data_centre):
    async def make():
        fleet = context.fleet
        known_index = fleet.replica_by_host[fleet.leader()].state.index
        return EvacuationChangeRequest(data_centre, True, "op1", known_index)

    context.delayed = run(context, make())


@when("the delayed message arrives")
def step_impl(context):
    async def deliver():
        fleet = context.fleet
        service = fleet.evacuations_by_host[fleet.leader()]
        return await service._on_change("c2", context.delayed)

    assert run(context, deliver()).record is None


@when('"{host}" restarts from its snapshot')
def step_impl(context, host):
    async def restart():
        await context.fleet.stop(host)
        context.fleet.start(host)
        replica = context.fleet.replica_by_host[host]
        await context.fleet.wait_until(lambda: replica.log is not None, 5.0)
        await asyncio.sleep(0.5)
        return replica.log.base_index

    assert run(context, restart()) > 0, "the host has no snapshot"


@then('it knows the evacuations "{data_centres}" as soon as it has a table')
def step_impl(context, data_centres):
    async def wait():
        (subscription,) = context.fleet.subscription_by_router.values()
        while not subscription.version:
            assert not subscription.fresh_left_s()
            await asyncio.sleep(0.001)
        return subscription.evacuated_data_centres()

    assert run(context, wait()) == set(data_centres.split())


@then('every host knows the evacuations "{data_centres}"')
@then('every host knows the evacuations ""')
def step_impl(context, data_centres=""):
    fleet = context.fleet
    known_by_host = {
        host: fleet.evacuations_by_host[host].evacuated_data_centres()
        for host in fleet.replica_by_host
    }
    for router, subscription in fleet.subscription_by_router.items():
        known_by_host[router] = subscription.evacuated_data_centres()
    wrong = {h: k for h, k in known_by_host.items() if k != set(data_centres.split())}
    assert not wrong, wrong


@then(
    'every router and the leader know that the evacuation of "{data_centre}" ended '
    "{least:g} to {most:g} s ago"
)
def step_impl(context, data_centre, least, most):
    async def read():
        fleet = context.fleet
        ends = [
            subscription.evacuations.ended_s_by_data_centre
            for subscription in fleet.subscription_by_router.values()
        ]
        ends.append(fleet.evacuations_by_host[fleet.leader()].ended_s_by_data_centre())
        return [now() - ended_s[data_centre] for ended_s in ends]

    ages_s = run(context, read())
    assert all(least <= age_s <= most for age_s in ages_s), ages_s


@then(
    '"{host}" lists "{data_centre}" as requested by "{operator}", at least {age:g} s '
    "ago"
)
def step_impl(context, host, data_centre, operator, age):
    async def read():
        client = context.fleet.evacuation_client_by_host[host]
        (evacuation,) = (await client.evacuations(CALL_TIMEOUT_S)).unwrap()
        return evacuation, 1e9 + now() - evacuation.since_unix_s

    evacuation, age_s = run(context, read())
    assert evacuation.data_centre == data_centre, evacuation
    assert evacuation.requested_by == operator, evacuation
    assert age_s >= age, age_s


@then("one change of evacuations was made")
def step_impl(context):
    for service in context.fleet.evacuations_by_host.values():
        (record,) = service.records()
        assert record.changed_index <= record.called_index, record
    indices = {
        context.fleet.evacuations_by_host[host].records()[0].changed_index
        for host in context.fleet.replica_by_host
    }
    assert len(indices) == 1, indices


@then('the state of "{host}" is read from a snapshot without evacuations')
def step_impl(context, host):
    state = context.fleet.replica_by_host[host].state

    async def read():
        image = msgspec.msgpack.decode(await encode_image(state.image()))
        del image["head"]["evacuations"]
        return await decode_image(msgspec.msgpack.encode(image))

    restored = ControlState.restore(run(context, read()))
    assert restored.members == state.members
    assert restored.image().head == state.image().head


@then('an evacuation of "{data_centre}" at "{host}" is certainly not done')
def step_impl(context, data_centre, host):
    outcome = refused(context, data_centre, host)
    assert outcome.certainly_not_done, outcome


@then('an evacuation of "{data_centre}" at "{host}" is not acknowledged')
def step_impl(context, data_centre, host):
    refused(context, data_centre, host)


def refused(context, data_centre, host):
    client = context.fleet.evacuation_client_by_host[host]
    outcome = run(context, client.change(data_centre, True, "op1", CALL_TIMEOUT_S))
    assert isinstance(outcome, Err), outcome
    return outcome.err_value
