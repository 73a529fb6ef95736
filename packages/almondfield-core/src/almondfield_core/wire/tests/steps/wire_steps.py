"""Steps of wire.feature."""

from behave import given, then, when

from almondfield_core.messages import DemandReport, InFlight
from almondfield_core.wire import decode_message, encode_message


@given("a demand report with two teams")
def step_impl(context):
    context.message = DemandReport(
        pool="writing",
        epoch=3,
        incarnation=7,
        number=1,
        grant_number=2,
        waiting_by_team={"foals": 4, "mares": 1},
        in_flight=(InFlight("engine-1", "foals", 2),),
        service_by_team={"foals": 1.5},
    )


@when("it is encoded and decoded")
def step_impl(context):
    context.decoded = decode_message("demand-report", encode_message(context.message))


@then("it equals the one that was sent")
def step_impl(context):
    assert context.decoded.unwrap() == context.message


@when('the body "{body}" is decoded as "{kind}"')
def step_impl(context, body, kind):
    context.decoded = decode_message(kind, bytes.fromhex(body))


@then('the decoding fails with "{text}"')
def step_impl(context, text):
    assert text in str(context.decoded.unwrap_err())
