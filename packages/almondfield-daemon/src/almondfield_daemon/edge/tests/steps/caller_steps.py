"""Steps of the features of the caller app."""

import asyncio

import h11
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from almondfield_core.clock import now
from almondfield_core.messages import ServerFailure
from almondfield_daemon.router.tests.fakes import Caller, CallerAppFixture, FakeAnswer
from almondfield_daemon.serving import HttpListener, bind
from almondfield_testing import run


def send(context, key, method, path, **kwargs):
    """Send one request as the holder of a key."""
    headers = [("authorization", f"Bearer {key}")] if key else []
    headers += kwargs.pop("headers", [])
    reads_body = kwargs.pop("reads_body", True)
    context.caller = Caller(context.fixture.app, reads_body)
    call = context.caller.call(method, path, headers, **kwargs)
    context.reply = run(context, call)


@given("a caller app")
def step_impl(context):
    context.fixture = CallerAppFixture()


@given('the backend server\'s answer is truncated after "{part}"')
def step_impl(context, part):
    answer = FakeAnswer((part.encode(), ServerFailure.STREAM))
    context.fixture.backends.answers.append(answer)


@when('"{key}" sends {method:w} "{path:S}"')
def step_impl(context, key, method, path):
    send(context, key, method, path)


@when('"" sends {method:w} "{path:S}"')
def step_impl(context, method, path):
    send(context, "", method, path)


@then('the reply is {status:d} with body "{body}"')
def step_impl(context, status, body):
    reply = context.reply
    assert (reply.status, reply.body) == (status, body.encode()), reply
    assert reply.is_complete


@then('the reply is {status:d} "{outcome}" with error "{error}"')
def step_impl(context, status, outcome, error):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.headers[b"almondfield-outcome"] == outcome.encode(), reply
    assert reply.json["error"] == error, reply
    assert reply.is_complete


@then('the reply is truncated after "{part}"')
def step_impl(context, part):
    assert context.reply.body == part.encode(), context.reply
    assert not context.reply.is_complete


@then("the reply is truncated before its first byte")
def step_impl(context):
    assert not context.reply.parts, context.reply
    assert not context.reply.is_complete


@then('a slot of pool "{pool}" was requested for team "{team}"')
def step_impl(context, pool, team):
    (request,) = context.fixture.slots.requests
    assert (request.pool, request.team) == (pool, team), request


@then('the backend server was sent "{target}" without the team\'s key')
def step_impl(context, target):
    (call,) = context.fixture.backends.calls
    assert call.target == target.encode(), call
    names = [name for name, _ in call.headers]
    assert b"authorization" not in names
    assert names.count(b"x-request-id") == 1


@then("every slot is released")
def step_impl(context):
    slots = context.fixture.slots
    assert len(slots.released) == len(slots.requests) > 0, slots


@then("no slot was requested")
def step_impl(context):
    assert context.fixture.slots.requests == []


def run_pending_tasks(context, seconds=0.0):
    """Run the event loop for some seconds of simulated time."""
    run(context, asyncio.sleep(seconds))


@given("a caller app with small limits")
def step_impl(context):
    context.fixture = CallerAppFixture(
        max_body_bytes=1500, max_header_bytes=1000, max_queued_bytes=3200
    )


@given("its tables are stale")
def step_impl(context):
    context.fixture.view.freshness_s = 0.0


@given("it drains while a request runs")
def step_impl(context):
    context.fixture.slots.on_acquire = context.fixture.router.refuse_new


@given('{count:d} requests of "{key}" with bodies of {size:d} bytes wait')
def step_impl(context, count, key, size):
    context.fixture.slots.delay_s = 60.0
    context.waiting = []
    for _ in range(count):
        start_waiting(context, key, size)


def start_waiting(context, key, size):
    """Start a request that waits for its slot."""
    headers = [("authorization", f"Bearer {key}")]
    call = Caller(context.fixture.app).call("POST", "/stock", headers, bytes(size))
    context.waiting.append(context.loop.create_task(call))
    run_pending_tasks(context, 1.0)


@given("the backend server takes {seconds:d} s to answer")
def step_impl(context, seconds):
    context.fixture.backends.delay_s = float(seconds)


@given("the backend server streams with long gaps")
def step_impl(context):
    context.fixture.backends.answers = [FakeAnswer((b"a", 60.0, b"b", 60.0))]


@given('the backend server\'s answer has header "{header}"')
def step_impl(context, header):
    headers = (tuple(header.encode().split(b": ")),)
    context.fixture.backends.answers = [FakeAnswer((b"ok",), headers=headers)]


@given("the router fails unexpectedly")
def step_impl(context):
    context.fixture.slots.on_acquire = lambda: 1 / 0


@given("a caller app on a free port")
def step_impl(context):
    context.fixture = CallerAppFixture()
    context.socket = bind("127.0.0.1", 0)
    context.listener = HttpListener(context.fixture.app, context.socket, 4096)
    run(context, context.listener.start())


@given("the backend server's answer of {kind} is truncated")
def step_impl(context, kind):
    headers = ((b"content-length", b"100"),) if kind == "known length" else ()
    parts = (b"half", ServerFailure.STREAM)
    context.fixture.backends.answers = [FakeAnswer(parts, headers=headers)]


@when('"{key}" sends a request with {variant}')
def step_impl(context, key, variant):
    match variant:
        case "a declared large body":
            length = ("content-length", "100000000")
            send(context, key, "POST", "/stock", headers=[length], parts=[b"x"] * 100)
        case "an endless body":
            send(context, key, "POST", "/stock", parts=[b"x" * 100] * 1000)
        case "large headers":
            send(context, key, "POST", "/stock", headers=[("x", "y" * 2000)])
        case "a body of 500 bytes":
            send(context, key, "POST", "/stock", body=bytes(500))
        case "half a body":
            send(context, key, "POST", "/stock", parts=[b"x", None])
        case "a byte every 20 seconds":
            send(context, key, "POST", "/stock", parts=[20.0, b"x"] * 100)


@when('a request of "{key}" with a body of {size:d} bytes is sent')
def step_impl(context, key, size):
    start_waiting(context, key, size)


@when("the waiting requests are answered")
def step_impl(context):
    replies = run(context, asyncio.gather(*context.waiting))
    assert [reply.status for reply in replies] == [200] * 4


@when('"{key}" sends {method:w} "{path:S}" and disconnects after {seconds:d} s')
def step_impl(context, key, method, path, seconds):
    headers = [("authorization", f"Bearer {key}")]

    async def call():
        caller = Caller(context.fixture.app)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, caller.disconnected.set)
        start_s = now()
        await caller.call(method, path, headers)
        return now() - start_s

    context.duration_s = run(context, call())


@when('"{key}" sends {method:w} "{path:S}" and reads no bytes')
def step_impl(context, key, method, path):
    send(context, key, method, path, reads_body=False)


@when('"{key}" sends {method:w} "{path:S}" with header "{header}"')
def step_impl(context, key, method, path, header):
    send(context, key, method, path, headers=[tuple(header.split(": "))])


async def connect(context):
    """Return the streams of a connection on which a request was sent."""
    host, port = context.socket.getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b"GET /stock HTTP/1.1\r\nHost: x\r\n")
    writer.write(b"Authorization: Bearer k1\r\n\r\n")
    return reader, writer


@when("a caller reads the first bytes and closes")
def step_impl(context):
    async def read():
        reader, writer = await connect(context)
        await reader.readuntil(b"a")
        writer.close()

    run(context, read())


@then("the call ends and every slot is released")
def step_impl(context):
    async def wait():
        while context.fixture.router.running:
            await asyncio.sleep(0.01)
        await context.listener.stop()

    run(context, wait())
    assert context.fixture.slots.released == [("s1", None)]
    assert context.fixture.backends.sent_answers[0].closed


@when("a caller reads the answer to its end")
def step_impl(context):
    async def read():
        reader, writer = await connect(context)
        data = await reader.read()
        writer.close()
        await context.listener.stop()
        return data

    context.data = run(context, read())


@then("the answer read is incomplete")
def step_impl(context):
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(context.data)
    parser.receive_data(b"")
    assert isinstance(parser.next_event(), h11.Response)
    assert parser.next_event().data == b"half"
    try:
        event = parser.next_event()
    except h11.RemoteProtocolError:
        return
    raise AssertionError(f"the truncated answer ended with {event}")


@then("the reply has other addresses and a retry time")
def step_impl(context):
    reply = context.reply
    assert reply.json["addresses"]["addresses"] == ["127.0.0.1:8080"], reply
    assert int(reply.headers[b"retry-after"]) >= 0


@then("the reply closes the caller's connection")
def step_impl(context):
    assert context.reply.headers[b"connection"] == b"close"


@then("at most {count:d} bytes of the request were read")
def step_impl(context, count):
    assert context.caller.read_bytes <= count, context.caller.read_bytes


@then("no body is held")
def step_impl(context):
    assert context.fixture.held_bytes() == 0


@then("the request ended after {seconds:d} s")
def step_impl(context, seconds):
    assert context.duration_s == seconds, context.duration_s


@then('the backend server was sent header "{header}"')
def step_impl(context, header):
    (call,) = context.fixture.backends.calls
    assert tuple(header.encode().split(b": ")) in call.headers, call


@then('the reply has header "{header}"')
def step_impl(context, header):
    name, value = header.encode().split(b": ")
    assert context.reply.headers[name] == value


@then('the reply has no header "{name}"')
def step_impl(context, name):
    names = [header.lower() for header in context.reply.headers]
    assert name.encode() not in names


@then("generated requests never fail inside the app")
def step_impl(context):
    header = st.tuples(
        st.sampled_from(
            ["authorization", "content-length", "idempotency-key", "x-request-id"]
        ),
        st.text(st.characters(max_codepoint=255), max_size=20),
    )
    path = st.text(st.characters(codec="utf-8", exclude_characters="?"), max_size=20)

    @hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
    @given_values(st.text(max_size=9), path, st.lists(header, max_size=5))
    def check(method, path, headers):
        fixture = CallerAppFixture()
        caller = Caller(fixture.app)
        reply = run(context, caller.call(method, path, headers))
        assert 400 <= reply.status < 500, reply
        assert reply.json["outcome"] == "not-run"
        assert fixture.slots.requests == []

    check()
