"""Steps of cut_answers.feature."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from almondfield_core.tables import Timeouts
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.backend.tests.scripted import (
    OK_STATUS_LINE,
    end_at_once,
    start,
)
from almondfield_daemon.router import AnswerCutError, BackendCall
from almondfield_daemon.router.tests.fakes import settings
from almondfield_testing import run

TIMEOUTS = Timeouts(connect_s=1.0, first_byte_s=1.0, chunk_s=1.0)
EVENTS = OK_STATUS_LINE + b"Content-Type: text/event-stream\r\n"
CHUNKED = EVENTS + b"Transfer-Encoding: chunked\r\n\r\n"
SENT_BY_SCRIPT = {
    "closes without an answer": b"",
    "resets without an answer": b"",
    "closes after the head": CHUNKED,
    "resets after the head": CHUNKED,
    "closes inside a chunk": CHUNKED + b"9\r\ndata: a\n\n\r\n9\r\ndat",
    "closes inside an unframed event": EVENTS + b"\r\ndata: a\n\nda",
    "closes before an unframed event": EVENTS + b"\r\n",
    "ends chunks inside an event": CHUNKED + b"6\r\ndata: \r\n0\r\n\r\n",
    "stays silent": b"",
    "stays silent after the head": CHUNKED,
    "sends a malformed head": b"HTTP/7 nothing\r\n\r\n",
    "sends an answer that never ends": EVENTS + b"\r\n" + b"data: " + b"a" * 2_000_000,
}


@given(
    "a cutting server that closes its open connection {seconds:g} s after the second "
    "request"
)
def step_impl(context, seconds):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nok")
        await server.request(reader)
        await asyncio.sleep(seconds)

    start(context, script, TIMEOUTS)


@given("a cutting server that {script}")
def step_impl(context, script):
    async def answer(server, reader, writer):
        await server.request(reader)
        writer.write(SENT_BY_SCRIPT[script])
        await writer.drain()
        # The reset must not overtake what was sent.
        await asyncio.sleep(0.05)
        if script.startswith("resets"):
            end_at_once(writer)
        elif not script.startswith(("closes", "ends")):
            await reader.read()

    start(context, answer, TIMEOUTS)


@when("a pooled POST is sent to it")
def step_impl(context):
    send_all(context, 1)


@when("{count:d} pooled POSTs are sent to it")
def step_impl(context, count):
    send_all(context, count)


def send_all(context, count):
    """Send requests one after the other, and keep the failure of the last one."""
    call = BackendCall(
        context.address,
        "POST",
        b"/p",
        (),
        b"",
        TIMEOUTS,
        True,
        may_end_by_close=True,
    )

    async def send():
        backends = HttpBackends(settings())
        for _ in range(count):
            context.failure = await send_one(backends)

    async def send_one(backends):
        match await backends.send(call):
            case Err(failure):
                return failure
            case Ok(answer):
                try:
                    async for _ in answer.chunks():
                        pass
                except AnswerCutError as error:
                    return error
        return None

    run(context, send())


@then("the server has cut it")
def step_impl(context):
    assert context.failure.is_cut, vars(context.failure)


@then("the server hasn't cut it")
def step_impl(context):
    assert context.failure is not None
    assert not context.failure.is_cut, vars(context.failure)


@then("it {may} have been idle")
def step_impl(context, may):
    assert context.failure.is_idle_cut == (may == "may"), vars(context.failure)


@given("an address where a server {behaviour}")
def step_impl(context, behaviour):
    async def listen():
        listener = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        if behaviour == "has ended":
            listener.close()
            await listener.wait_closed()
        context.listener = listener
        return f"127.0.0.1:{port}"

    context.address = run(context, listen())


@then("it {accepts} a connection, as far as known")
def step_impl(context, accepts):
    seen = run(context, HttpBackends(settings()).accepts_connection(context.address))
    context.listener.close()
    assert seen == (accepts == "accepts"), seen
