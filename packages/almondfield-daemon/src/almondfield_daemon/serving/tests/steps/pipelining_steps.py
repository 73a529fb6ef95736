"""Steps of pipelining.feature."""

import asyncio
import time
from unittest import mock

from behave import then, when

from almondfield_daemon.serving.tests.steps import serving_steps
from almondfield_daemon.serving.tests.steps.serving_steps import (
    ANSWER_TIMEOUT_S,
    LOCALHOST,
    PAUSE_S,
    REQUEST_BY_NAME,
    ROUNDS,
    post,
)

BODY = b"x" * 5000  # longer than a head may be
NEXT = post("/", b"")
PART_BYTES = 10
SERVED = 50  # requests
STATUS_LINE = b"HTTP/1.1 200 OK"
OVERSIZED_HEAD = b"POST / HTTP/1.1\r\npad: " + b"y" * 4096  # it never ends
BODY_REQUEST_BY_NAME = {
    "accepted with 5000": post("/", BODY),
    "accepted with 5000 in chunks": post("/", BODY, "chunks"),
}


async def exchange(context, parts):
    """Send parts, each in one write; record what comes until a pause."""
    reader, writer = await asyncio.open_connection(LOCALHOST, context.port)
    context.add_cleanup(writer.close)
    context.answers, context.is_closed = b"", False
    for part in parts:
        writer.write(part)
        for _ in range(ROUNDS):
            # Real sockets need real time, which the paused loop would jump over.
            time.sleep(PAUSE_S)
            await asyncio.sleep(0)
            while reader._buffer:
                context.answers += await reader.read(65536)
    context.is_closed = reader.at_eof()


def send(context, names, head):
    requests = REQUEST_BY_NAME | BODY_REQUEST_BY_NAME
    first = b"".join(requests[name] for name in names.split(", "))
    parts = [first + head[:PART_BYTES], head[PART_BYTES:]]
    context.loop.run_until_complete(exchange(context, parts))


@when('a client sends "{names}" and a part of a head at once, and the rest later')
def step_impl(context, names):
    send(context, names, NEXT)


@when(
    'a client sends "{names}" and a part of an oversized head at once, and the rest '
    "later"
)
def step_impl(context, names):
    send(context, names, OVERSIZED_HEAD)


async def wait_for_sockets():
    """Let the loop run; real sockets need real time."""
    for _ in range(ROUNDS):
        time.sleep(PAUSE_S)
        await asyncio.sleep(0)


def set_work(context, work_s):
    """Set how long the application works on a slow request."""
    patch = mock.patch.object(serving_steps, "LONG_S", work_s)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a client sends {count:d} requests that take {work_s:g} s each without a pause")
def step_impl(context, count, work_s):
    set_work(context, work_s)

    async def send():
        _, writer = await asyncio.open_connection(LOCALHOST, context.port)
        context.add_cleanup(writer.close)
        writer.write(count * REQUEST_BY_NAME["accepted and slow"])
        await asyncio.sleep(SERVED * work_s)

    context.loop.run_until_complete(send())


@when(
    "a client sends a request that takes {work_s:g} s, and {count:d} others without a "
    "pause, and heads have to come within {head_s:g} s"
)
def step_impl(context, work_s, count, head_s):
    set_work(context, work_s)

    async def send_behind():
        connection = await asyncio.open_connection(LOCALHOST, context.port)
        context.reader, context.writer = connection
        context.add_cleanup(context.writer.close)
        await wait_for_sockets()
        (protocol,) = context.listener._server.server_state.connections
        protocol._stop_head_timer()
        protocol.head_timeout_s = head_s
        context.writer.write(REQUEST_BY_NAME["accepted and slow"] + count * NEXT)

    context.loop.run_until_complete(send_behind())


@then("at most {count:d} requests wait")
def step_impl(context, count):
    (protocol,) = context.listener._server.server_state.connections
    waiting = len(protocol.pipeline)
    # The listener would wait for the end of the first request.
    protocol.transport.abort()
    context.loop.run_until_complete(wait_for_sockets())
    assert 0 < waiting <= count, waiting


@then("it gets {count:d} answers")
def step_impl(context, count):
    async def receive():
        answers = b""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while answers.count(STATUS_LINE) < count:
                data = await context.reader.read(65536)
                if not data:
                    break
                answers += data
        return answers.count(STATUS_LINE)

    found = context.loop.run_until_complete(receive())
    assert found == count, found


@when("a client sends a body with {count:d} fields behind it")
def step_impl(context, count):
    request = BODY_REQUEST_BY_NAME["accepted with 5000 in chunks"]
    fields = b"".join(b"pad-%d: y\r\n" % number for number in range(count))
    data = request.removesuffix(b"\r\n") + fields + b"\r\n"
    context.loop.run_until_complete(exchange(context, [data]))


@then("at most {count:d} headers are kept")
def step_impl(context, count):
    (protocol,) = context.listener._server.server_state.connections
    assert len(protocol.headers) <= count, len(protocol.headers)
