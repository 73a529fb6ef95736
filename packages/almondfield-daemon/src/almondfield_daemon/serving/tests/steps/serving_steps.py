"""Steps of serving.feature."""

import asyncio
import json
import logging
import re
import resource
import socket
import time
from contextlib import suppress

from behave import given, then, when
from starlette.responses import PlainTextResponse

from almondfield_daemon.edge.bodies import CallerDisconnectedError
from almondfield_daemon.edge.watch import CallerWatch
from almondfield_daemon.serving import (
    HeadRefusal,
    HttpListener,
    ListenError,
    bind,
    connection_of,
)

LOCALHOST = "127.0.0.1"
LONG = "y" * 4096
TICK_S = 0.01
ANSWER_TIMEOUT_S = 30.0
MAX_REFUSED_BYTES = 10
LONG_S = 1000.0
ROUNDS = 20
PAUSE_S = 0.005


def listen(context, max_header_bytes, work_s):
    """Serve an application that uses the processor for a time on each request."""
    context.received = 0

    async def app(scope, receive, send):
        context.received += 1
        until_s = time.process_time() + work_s
        while time.process_time() < until_s:
            pass
        await PlainTextResponse("hello")(scope, receive, send)

    listener = bind(LOCALHOST, 0)
    context.port = listener.getsockname()[1]
    context.listener = HttpListener(app, listener, max_header_bytes)
    context.loop.run_until_complete(context.listener.start())
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.listener.stop())
    )


@given("a listener that allows heads of {size:d} bytes")
def step_impl(context, size):
    listen(context, size, work_s=0.0)


@given("a listener for an application that works {milliseconds:g} ms on each request")
def step_impl(context, milliseconds):
    listen(context, 1024, milliseconds / 1000)


@when('a client sends "{head}"')
def step_impl(context, head):
    text = head.replace("{long}", LONG).encode().decode("unicode_escape")

    async def exchange():
        reader, writer = await asyncio.open_connection(LOCALHOST, context.port)
        writer.write(text.encode("latin-1"))
        answer = await reader.readuntil(b"\r\n\r\n")
        body = await reader.read(4096)
        writer.close()
        return answer, body

    context.head, context.body = context.loop.run_until_complete(exchange())


@then("the status is {status:d}")
def step_impl(context, status):
    assert context.head.split()[1] == str(status).encode(), context.head


@then("the answer reports that the request was not run")
def step_impl(context):
    assert b"almondfield-outcome: not-run" in context.head
    assert json.loads(context.body)["outcome"] == "not-run"


@then("the application received {count:d} requests")
def step_impl(context, count):
    assert context.received == count, context.received


@when("its port is bound a second time")
def step_impl(context):
    try:
        bind(LOCALHOST, context.port)
    except ListenError as error:
        context.error = str(error)


@then("the error names the address and port")
def step_impl(context):
    assert f"{LOCALHOST}:{context.port}" in context.error


@when("{count:d} callers have connected and sent a request before the loop runs")
def step_impl(context, count):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    context.add_cleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    context.callers = []
    for _ in range(count):
        caller = socket.create_connection((LOCALHOST, context.port))
        context.add_cleanup(caller.close)
        caller.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        context.callers.append(caller)


@then("every caller gets an answer")
def step_impl(context):
    context.gaps_s = []

    async def wait():
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while context.received < len(context.callers):
                before_s = time.process_time()
                await asyncio.sleep(TICK_S)
                context.gaps_s.append(time.process_time() - before_s)

    context.loop.run_until_complete(wait())
    for caller in context.callers:
        caller.settimeout(ANSWER_TIMEOUT_S)
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")


@then("a timer never waited for more than {seconds:g} s of processor time")
def step_impl(context, seconds):
    assert max(context.gaps_s) <= seconds, context.gaps_s


class PathGate:
    """A gate that refuses paths below /no/."""

    def check(self, head):
        if not head.path.startswith(b"/no/"):
            return None
        closes = head.query == b"close"
        lines = b"content-length: 0\r\n" + b"connection: close\r\n" * closes
        answer = b"HTTP/1.1 503 Service Unavailable\r\n%b\r\n" % lines
        return HeadRefusal(answer, closes, MAX_REFUSED_BYTES)


def post(path, body, framing="length"):
    """Return the bytes of one request."""
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\n"
    if framing == "chunks":
        return f"{head}transfer-encoding: chunked\r\n\r\n".encode() + (
            b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        )
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


REQUEST_BY_NAME = {
    "accepted": post("/", b""),
    "accepted and slow": post("/slow", b""),
    "accepted and waiting": post("/wait", b""),
    "malformed": b"POST / HTTP/1.1\r\nhost: a\r\n"
    b"transfer-encoding: chunked\r\n\r\nmalformed\r\n",
    "refused": post("/no/", b""),
    "refused to close": post("/no/?close", b""),
    "refused with 5 bytes": post("/no/", b"12345"),
    "refused with 5 in chunks": post("/no/", b"12345", "chunks"),
    "refused with 50 bytes": post("/no/", b"1" * 50),
    "refused with 50": post("/no/", b"1" * 50),
}


@given("a listener whose gate refuses paths below /no/, and bodies of at most 10 bytes")
def step_impl(context):
    context.received = 0
    context.told = ""
    context.lines = []
    handler = logging.Handler()
    handler.setLevel(logging.WARNING)
    handler.emit = lambda record: context.lines.append(record.getMessage())
    logger = logging.getLogger("uvicorn.error")
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)

    async def app(scope, receive, send):
        context.received += 1
        if scope["path"] == "/slow":
            await receive()
            async with CallerWatch(receive, connection_of(scope)):
                await asyncio.sleep(LONG_S)
        if scope["path"] == "/wait":
            await receive()
            context.told = (await receive())["type"]
        await PlainTextResponse("hello")(scope, receive, send)

    async def guarded(scope, receive, send):
        with suppress(CallerDisconnectedError):
            await app(scope, receive, send)

    listener = bind(LOCALHOST, 0)
    context.port = listener.getsockname()[1]
    context.listener = HttpListener(guarded, listener, 1024, PathGate())
    context.loop.run_until_complete(context.listener.start())
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.listener.stop())
    )


async def exchange(context, data, half_closes=False):
    """Send bytes at once; record what comes until a pause."""
    reader, writer = await asyncio.open_connection(LOCALHOST, context.port)
    context.add_cleanup(writer.close)
    writer.write(data)
    if half_closes:
        writer.write_eof()
    context.answers, context.is_closed = b"", False
    for _ in range(ROUNDS):
        # Real sockets need real time, which the paused loop would jump over.
        time.sleep(PAUSE_S)
        await asyncio.sleep(0)
        while reader._buffer:
            context.answers += await reader.read(65536)
        context.is_closed = reader.at_eof()


@when('a client sends "{names}" at once')
def step_impl(context, names):
    data = b"".join(REQUEST_BY_NAME[name] for name in names.split(", "))
    context.loop.run_until_complete(exchange(context, data))


@when('a client sends "{names}" and closes its side of the connection')
def step_impl(context, names):
    data = b"".join(REQUEST_BY_NAME[name] for name in names.split(", "))
    context.loop.run_until_complete(exchange(context, data, True))


@then('the application has been told "{told}"')
def step_impl(context, told):
    assert context.told == told, context.told


@then("it gets answers with {statuses} and nothing else")
def step_impl(context, statuses):
    found = []
    rest = context.answers
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        status = head.split()[1]
        length = int(re.search(rb"content-length: (\d+)", head)[1])
        found.append(status.decode())
        rest = rest[length:]
    assert found == statuses.split(), context.answers


@then("its connection is {state}")
def step_impl(context, state):
    assert context.is_closed == (state == "closed"), context.answers


@then("it gets no answer")
def step_impl(context):
    assert context.answers == b"", context.answers


@then("no library complains")
def step_impl(context):
    assert not context.lines, context.lines


@then("the listener has at most {count:d} timer of the connection")
def step_impl(context, count):
    timers = [
        handle
        for handle in context.loop._scheduled
        if not handle.cancelled() and "HttpToolsProtocol" in repr(handle)
    ]
    assert len(timers) <= count, timers
