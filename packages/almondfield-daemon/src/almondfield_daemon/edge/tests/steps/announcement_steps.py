"""Steps of announcements.feature."""

import msgspec
from behave import then, when
from hypothesis import given as given_values
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from almondfield_daemon.router.tests.fakes import Caller, CallerAppFixture
from almondfield_testing import run

VALID_ANNOUNCEMENT = {
    "name": "s9",
    "incarnation": 1,
    "address": "127.0.0.1:9000",
    "data_centre": "dc1",
    "kind": "model",
    "slots": 4,
}
TOKEN = ("authorization", "Bearer backend-token")


def announce(context, fixture, body, headers=(TOKEN,)):
    """Return the reply to an announcement."""
    caller = Caller(fixture.app)
    return run(context, caller.call("POST", "/announcements", headers, body))


@when("a backend server announces itself")
def step_impl(context):
    context.reply = announce(
        context, context.fixture, msgspec.json.encode(VALID_ANNOUNCEMENT)
    )


@when("a backend server announces itself {variant}")
def step_impl(context, variant):
    announced = dict(VALID_ANNOUNCEMENT)
    headers = [TOKEN]
    match variant:
        case "without a token":
            headers = []
        case "with a team's key":
            headers = [("authorization", "Bearer k1")]
        case "with 70000 bytes":
            announced["model"] = "x" * 70000
        case "without a name":
            announced["name"] = ""
        case "with an unknown kind":
            announced["kind"] = "toaster"
        case "with no slots":
            announced["slots"] = 0
        case "with no port":
            announced["address"] = "127.0.0.1"
        case "with a large number":
            announced["incarnation"] = 10**30
    body = msgspec.json.encode(announced)
    if variant == "nested deeply":
        body = b'{"x":' + b"[" * 50_000
    body = body[:50] if variant == "truncated" else body
    context.reply = announce(context, context.fixture, body, headers)


@then("the reply is {status:d}")
def step_impl(context, status):
    assert context.reply.status == status, context.reply


@then('server "{name}" is announced to the fleet')
def step_impl(context, name):
    (announced,) = context.fixture.membership.announced
    assert announced.name == name


@then("no server is announced to the fleet")
def step_impl(context):
    assert context.fixture.membership.announced == []


@then("generated announcements never fail inside the app")
def step_impl(context):
    values = st.none() | st.integers() | st.text() | st.lists(st.integers())
    fields = st.fixed_dictionaries({name: values for name in VALID_ANNOUNCEMENT})
    mutated = fields.map(msgspec.json.encode)

    @hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
    @given_values(st.binary() | mutated | st.text().map(str.encode))
    def check(body):
        fixture = CallerAppFixture()
        reply = announce(context, fixture, body)
        assert reply.status == 400, reply
        assert reply.json["error"] == "announcement"
        assert fixture.membership.announced == []

    check()


@then("the reply has the addresses and a lifetime of {count:d} s")
def step_impl(context, count):
    reply = context.reply
    assert reply.json == {"addresses": ["127.0.0.1:8080"], "lifetime_s": count}
    assert reply.headers[b"cache-control"] == b"max-age=%d" % count


@then('the addresses nearest to data centre "{name}" were requested')
@then('the addresses nearest to data centre "" were requested')
def step_impl(context, name=""):
    assert context.fixture.membership.requested_data_centre == name
