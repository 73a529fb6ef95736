"""Steps of answers_without_end.feature: a scripted server that sends without end."""

import asyncio

from behave import given, then, when

from almondfield_daemon.backend.tests.endless import (
    LIMITS,
    EndlessSender,
    limited_backends,
)
from almondfield_daemon.backend.tests.scripted import (
    OK_STATUS_LINE,
    send,
    start,
    unescape,
)
from almondfield_daemon.router import BackendCall
from almondfield_daemon.router.problems import from_call_failure

PIECE_BYTES = 1024
PAUSE_S = 0.2
INTERIM_BY_NAME = {
    "without interim responses": b"",
    "with two interim responses": 2 * b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
}


def start_endless(context, beginning, piece, needs_end=False):
    """Start a server that sends a beginning, and then a piece without end."""
    piece *= -(-PIECE_BYTES // len(piece))
    sender = context.sender = EndlessSender()

    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(beginning)
        await writer.drain()
        if needs_end:
            await server.late_answer_due.wait()
        await sender.send(reader, writer, piece)

    start(context, script)


@given('a server that sends "{beginning}" and then "{piece}" without end')
def step_impl(context, beginning, piece):
    start_endless(context, unescape(beginning), unescape(piece))


@given('a server that sends "" and then "{piece}" without end')
def step_impl(context, piece):
    start_endless(context, b"", unescape(piece))


@given("a server that sends without end on a connection that is kept")
def step_impl(context):
    answer = OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nok"
    start_endless(context, answer, b"a", needs_end=True)


@given(
    "a server that answers a head of {size:d} bytes, {interim}, in pieces of "
    "{piece:d} bytes"
)
def step_impl(context, size, interim, piece):
    head = INTERIM_BY_NAME[interim] + OK_STATUS_LINE + b"Content-Length: 5\r\nX: "
    head += b"a" * (size - len(head) - 4) + b"\r\n\r\n"
    assert len(head) == size
    data = head + b"hello"

    async def script(server, reader, writer):
        await server.request(reader)
        for first in range(0, len(data), piece):
            writer.write(data[first : first + piece])
            await asyncio.sleep(0.001)

    start(context, script)


async def send_and_wait(context, **options):
    """Return the result of a request, once the server has sent what it could."""
    result = await send(context, "GET", backends=limited_backends(), **options)
    context.server.late_answer_due.set()
    if hasattr(context, "sender"):
        await context.sender.done.wait()
    return result


@when("a request is sent to it")
def step_impl(context):
    context.result = context.loop.run_until_complete(send_and_wait(context))


@when("a pooled request is sent to it")
def step_impl(context):
    sent = send_and_wait(context, pooled=True)
    context.result = context.loop.run_until_complete(sent)


@when("a request is sent to it and its answer isn't read")
def step_impl(context):
    async def send_only():
        call = BackendCall(
            context.address,
            "GET",
            b"/p",
            (),
            b"",
            context.timeouts,
            False,
            may_end_by_close=True,
        )
        answer = (await limited_backends().send(call)).unwrap()
        sent_bytes = None
        while context.sender.sent_bytes != sent_bytes:
            sent_bytes = context.sender.sent_bytes
            await asyncio.sleep(PAUSE_S)
        answer.close()

    context.loop.run_until_complete(send_only())


@then("the server was let go after at most {factor:d} times {limit:d} bytes")
def step_impl(context, factor, limit):
    sender = context.sender
    assert sender.is_let_go, sender.sent_bytes
    assert sender.sent_bytes <= factor * limit, sender.sent_bytes


@then("the server is paused after at most {factor:d} times {limit:d} bytes")
def step_impl(context, factor, limit):
    sender = context.sender
    assert sender.sent_bytes <= factor * limit, sender.sent_bytes


@then("the failure names the limit and is told to callers as {status:d}")
def step_impl(context, status):
    outcome, failure, _ = context.result
    assert outcome == "unknown", context.result
    assert str(LIMITS.max_head_bytes) in failure.reason, failure
    assert from_call_failure(failure).status == status, failure
