"""Steps of the features of the caller app."""

from almondfield_core.messages import ServerFailure
from almondfield_daemon.router.tests.fakes import Caller, FakeAnswer, House
from almondfield_testing import run
from behave import given, then, when


def send(context, key, method, path, **kwargs):
    """Send one request as the holder of a key."""
    headers = [("authorization", f"Bearer {key}")] if key else []
    headers += kwargs.pop("headers", [])
    context.caller = Caller(context.house.app)
    call = context.caller.call(method, path, headers, **kwargs)
    context.reply = run(context, call)


@given("a caller app")
def step_impl(context):
    context.house = House()


@given('the backend server\'s answer is cut after "{part}"')
def step_impl(context, part):
    answer = FakeAnswer((part.encode(), ServerFailure.STREAM))
    context.house.backends.answers.append(answer)


@when('"{key}" sends {method} "{path}"')
def step_impl(context, key, method, path):
    send(context, key, method, path)


@when('"" sends {method} "{path}"')
def step_impl(context, method, path):
    send(context, "", method, path)


@then('the reply is {status:d} with body "{body}"')
def step_impl(context, status, body):
    reply = context.reply
    assert (reply.status, reply.body) == (status, body.encode()), reply
    assert reply.whole


@then('the reply is {status:d} "{outcome}" with error "{error}"')
def step_impl(context, status, outcome, error):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.headers[b"almondfield-outcome"] == outcome.encode(), reply
    assert reply.json["error"] == error, reply
    assert reply.whole


@then('the reply is cut after "{part}"')
def step_impl(context, part):
    assert context.reply.body == part.encode(), context.reply
    assert not context.reply.whole


@then('pool "{pool}" was asked for team "{team}"')
def step_impl(context, pool, team):
    (request,) = context.house.slots.requests
    assert (request.pool, request.team) == (pool, team), request


@then('the backend server was sent "{target}" without the team\'s key')
def step_impl(context, target):
    (call,) = context.house.backends.calls
    assert call.target == target.encode(), call
    names = [name for name, _ in call.headers]
    assert b"authorization" not in names
    assert names.count(b"x-request-id") == 1


@then("every slot is released")
def step_impl(context):
    slots = context.house.slots
    assert len(slots.released) == len(slots.requests) > 0, slots


@then("no slot was asked for")
def step_impl(context):
    assert context.house.slots.requests == []
