"""Steps of lingering.feature."""

import asyncio
import socket
import struct
from contextlib import suppress
from unittest import mock

import eliot
from behave import given, then, when
from starlette.responses import PlainTextResponse

from almondfield_daemon.edge.bodies import read_body
from almondfield_daemon.serving import HeadRefusal, HttpListener, bind, lingering
from almondfield_daemon.serving.tests.callers import (
    ANSWER_TIMEOUT_S,
    LARGE_BYTES,
    send_request,
    write_then_read,
)

LOCALHOST = "127.0.0.1"
MAX_HEAD_BYTES = 1024
MAX_BODY_BYTES = 10_000
LONG_S = 1000.0
PAUSE_S = 0.005
ANSWER_AFTER_S = 0.4
LARGE_ANSWER_BYTES = 20_000_000
PART = b"x" * 4096
CLOSE = {"connection": "close"}
START_BY_REQUEST = {
    "a body that is too long": b"POST /long HTTP/1.1\r\nhost: a\r\n",
    "a body without memory": b"POST /memory HTTP/1.1\r\nhost: a\r\n",
    "a long body that is refused": b"POST /no/ HTTP/1.1\r\nhost: a\r\n",
    "a malformed head": b"POST / HTTP/1.1\r\nno colon\r\nhost: a\r\n",
    "an oversized head": b"POST / HTTP/1.1\r\nx: %b\r\nhost: a\r\n"
    % (b"y" * 1_000_000),
    "a body that nobody reads": b"POST / HTTP/1.1\r\nconnection: close\r\n",
}
REQUEST_BY_STATE = {
    "too long": "a body that is too long",
    "answered unread": "a body that nobody reads",
}


class PathGate:
    """A gate that refuses paths below /no/."""

    def check(self, head):
        if not head.path.startswith(b"/no/"):
            return None
        answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
        return HeadRefusal(answer, False, MAX_BODY_BYTES)


async def answer_early(scope, receive, send):
    """Answer before the body is read to its end, if it is long."""
    if scope["path"] in ("/long", "/memory"):
        has_memory = scope["path"] != "/memory"
        limit = MAX_BODY_BYTES if has_memory else 2 * LARGE_BYTES
        body = await read_body(receive, 0, limit, lambda _: has_memory)
        problem = body.unwrap_err()
        answer = PlainTextResponse(problem.detail, problem.status, headers=CLOSE)
    elif scope["path"] == "/later":
        await asyncio.sleep(ANSWER_AFTER_S)
        answer = PlainTextResponse("hello")
    elif scope["path"] == "/later-last":
        await asyncio.sleep(ANSWER_AFTER_S)
        answer = PlainTextResponse("hello", headers=CLOSE)
    elif scope["path"] == "/large-last":
        answer = PlainTextResponse("x" * LARGE_BYTES, headers=CLOSE)
    elif scope["path"] == "/large":
        answer = PlainTextResponse("x" * LARGE_ANSWER_BYTES)
    elif scope["path"] == "/large-later":
        await asyncio.sleep(PAUSE_S)
        answer = PlainTextResponse("x" * LARGE_BYTES)
    else:
        answer = PlainTextResponse("not found", 404)
    await answer(scope, receive, send)


@given("a listener that answers some requests before it has read them")
def step_impl(context):
    listener = bind(LOCALHOST, 0)
    context.address = listener.getsockname()
    context.listener = HttpListener(answer_early, listener, MAX_HEAD_BYTES, PathGate())
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.add_cleanup(eliot.remove_destination, context.lines.append)
    run = context.loop.run_until_complete
    run(context.listener.start())
    context.add_cleanup(lambda: run(context.listener.stop()))


@when("a caller sends {request} and writes {way}")
def step_impl(context, request, way):
    caller = send_request(context.address, START_BY_REQUEST[request], way)
    context.answer = context.loop.run_until_complete(caller)


@when("a caller sends a refused request whose body is too long and then malformed")
def step_impl(context):
    start = START_BY_REQUEST["a long body that is refused"]
    body = b"%x\r\n%b\r\nmalformed\r\n" % (
        2 * MAX_BODY_BYTES,
        b"x" * 2 * MAX_BODY_BYTES,
    )
    request = start + b"transfer-encoding: chunked\r\n\r\n" + body
    parts = [request] + 10 * [PART]
    caller = write_then_read(context.address, parts, PAUSE_S)
    context.answer = context.loop.run_until_complete(caller)


@then("it gets the whole answer {status:d} after it has written everything")
def step_impl(context, status):
    assert context.answer.status == status, context.answer
    assert context.answer.is_good, context.answer


@given("the wait for a caller ends after {limit}")
def step_impl(context, limit):
    limits = {
        "LINGER_IDLE_S": LONG_S,
        "LINGER_S": LONG_S,
        "UNREAD_S": LONG_S,
        "MAX_DISCARDED_BYTES": 10**15,
    }
    amount, _, unit = limit.partition(" ")
    context.stops = unit == "listener ends"
    match unit:
        case "s of silence":
            limits["LINGER_IDLE_S"] = float(amount)
        case "s in all":
            limits["LINGER_S"] = float(amount)
        case "s unread":
            limits["UNREAD_S"] = float(amount)
            limits["MAX_DISCARDED_BYTES"] = 10**6
        case "bytes":
            limits["MAX_DISCARDED_BYTES"] = int(amount)
    patch = mock.patch.multiple(lingering, **limits)
    patch.start()
    context.add_cleanup(patch.stop)


async def write_on(writer, behaviour):
    """Write until the connection is closed."""
    quickly = "quickly" in behaviour
    with suppress(ConnectionError):
        while "without end" in behaviour:
            writer.write(PART)
            await writer.drain()
            await asyncio.sleep(0 if quickly else PAUSE_S)


def end(writer, behaviour):
    """Close or reset a caller's connection."""
    if behaviour.startswith("closes"):
        writer.write_eof()
    else:
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


def connections(context):
    """Return the listener's open connections."""
    return context.listener._server.server_state.connections


async def is_answered(reader):
    """Wait until a caller has received an answer, which it leaves unread."""
    while b"\r\n\r\n" not in reader._buffer:
        await asyncio.sleep(PAUSE_S)


@when("a caller's body is {state}, and it {behaviour} without reading")
def step_impl(context, state, behaviour):
    async def write():
        reader, writer = await asyncio.open_connection(*context.address)
        context.add_cleanup(writer.close)
        start = START_BY_REQUEST[REQUEST_BY_STATE[state]]
        writer.write(start + b"content-length: 1000000000\r\n\r\n")
        writer.write(b"x" * 2 * MAX_BODY_BYTES)
        await is_answered(reader)
        assert connections(context)
        if behaviour.startswith("writes 500000"):
            for _ in range(500):
                writer.write(b"x" * 1000)
            await writer.drain()
            return
        if "the connection" in behaviour:
            end(writer, behaviour)
        writing = asyncio.create_task(write_on(writer, behaviour))
        if context.stops:
            await context.listener.stop()
        while connections(context):
            await asyncio.sleep(PAUSE_S)
        writing.cancel()

    async def write_in_time():
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await write()

    context.loop.run_until_complete(write_in_time())


@then("its connection is closed by the listener")
def step_impl(context):
    assert not connections(context)


@then("the listener holds none of them")
def step_impl(context):
    (connection,) = connections(context)

    async def wait():
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while connection.transport._discarded_bytes < 500_000:
                await asyncio.sleep(PAUSE_S)

    context.loop.run_until_complete(wait())
    assert not connection.cycle.body, len(connection.cycle.body)


@given("the head of a request may take {seconds:g} s")
def step_impl(context, seconds):
    context.listener._protocol.head_timeout_s = seconds


FOLLOWING_BYTES = {
    "a malformed head": b"malformed\r\n\r\n",
    "an oversized head": b"GET / HTTP/1.1\r\nx: " + b"y" * 1_000_000,
    "a part of a head": b"GET / HTTP/1.1\r\nx: ",
    "a malformed body": b"POST / HTTP/1.1\r\nhost: a\r\n"
    b"transfer-encoding: chunked\r\n\r\nmalformed\r\n",
}


@when("a caller sends a request that is answered after 0.4 s, and then {following}")
def step_impl(context, following):
    # As the answer keeps the connection, the caller reads up to its end.
    request = b"GET /later HTTP/1.1\r\nhost: a\r\n\r\n"
    parts = [request, FOLLOWING_BYTES[following]]
    caller = write_then_read(context.address, parts, PAUSE_S)
    context.answer = context.loop.run_until_complete(caller)


def refused_body(size):
    """Return the parts of a refused request with a body of some bytes."""
    start = START_BY_REQUEST["a long body that is refused"]
    head = start + b"content-length: %d\r\n\r\n" % size
    return [head] + [b"x" * 100] * (size // 100)


@when("a caller sends a long body that is refused, slowly and below the limit")
def step_impl(context):
    caller = write_then_read(context.address, refused_body(3000), 2 * PAUSE_S)
    context.answer = context.loop.run_until_complete(caller)


@when("the listener stops while a refused request's body is on its way")
def step_impl(context):
    async def stop():
        parts = refused_body(1000)
        caller = asyncio.create_task(write_then_read(context.address, parts, PAUSE_S))
        await asyncio.sleep(2 * PAUSE_S)
        await asyncio.gather(context.listener.stop(), caller)
        return caller.result()

    context.answer = context.loop.run_until_complete(stop())


@when(
    "a caller whose body is on its way reads an answer of {size:d} bytes after "
    "{seconds:g} s"
)
def step_impl(context, size, seconds):
    head = b"POST /large HTTP/1.1\r\nconnection: close\r\ncontent-length: 10\r\n\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection(*context.address)
        context.add_cleanup(writer.close)
        writer.write(head)
        await asyncio.sleep(seconds)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
            context.large_body = await reader.read()

    context.loop.run_until_complete(exchange())


@then("the answer is whole")
def step_impl(context):
    assert len(context.large_body) == LARGE_ANSWER_BYTES, len(context.large_body)


@then('the log says that the wait was ended by "{end}"')
def step_impl(context, end):
    lines = [
        line for line in context.lines if line["message_type"] == "connection:lingered"
    ]
    assert [line["ended_by"] for line in lines] == [end], lines


@when(
    "a caller sends a request with a large answer and {following}, "
    "and reads after 0.4 s"
)
def step_impl(context, following):
    parts = [
        b"GET /large-later HTTP/1.1\r\nhost: a\r\n\r\n" + FOLLOWING_BYTES[following]
    ]
    caller = write_then_read(context.address, parts, ANSWER_AFTER_S)
    context.answer = context.loop.run_until_complete(caller)


LARGE_START = b"POST /large HTTP/1.1\r\nconnection: close\r\n"


@when("a caller writes a long body for 0.6 s before it reads its large answer")
def step_impl(context):
    head = LARGE_START + b"content-length: %d\r\n\r\n" % (60 * len(PART))
    caller = write_then_read(context.address, [head] + 60 * [PART], 2 * PAUSE_S)
    context.answer = context.loop.run_until_complete(caller)


@when("a caller reads nothing of its large answer and {behaviour}")
def step_impl(context, behaviour):
    async def write():
        _, writer = await asyncio.open_connection(*context.address)
        context.add_cleanup(writer.transport.abort)
        writer.transport.pause_reading()
        writer.write(LARGE_START + b"content-length: 1000000000\r\n\r\n")
        await asyncio.sleep(PAUSE_S)
        assert connections(context)
        writing = asyncio.create_task(write_on(writer, behaviour))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while connections(context):
                await asyncio.sleep(PAUSE_S)
        writing.cancel()

    context.loop.run_until_complete(write())


LATER = b"GET /later HTTP/1.1\r\nhost: a\r\n\r\n"


@when("a caller sends a second request while its large last answer is sent")
def step_impl(context):
    first = b"GET /large-last HTTP/1.1\r\nhost: a\r\n\r\n"
    caller = write_then_read(context.address, [first, LATER], ANSWER_AFTER_S)
    context.answer = context.loop.run_until_complete(caller)


@when("a caller sends a second request that lies unread as its last answer is sent")
def step_impl(context):
    async def cross():
        first = b"GET /later-last HTTP/1.1\r\nhost: a\r\n\r\n"
        parts = [first, LATER]
        pause_s = ANSWER_AFTER_S / 2
        caller = asyncio.create_task(write_then_read(context.address, parts, pause_s))
        await asyncio.sleep(pause_s / 2)
        (connection,) = connections(context)
        connection.flow.pause_reading()  # as if the loop were busy until the answer
        return await caller

    context.answer = context.loop.run_until_complete(cross())
