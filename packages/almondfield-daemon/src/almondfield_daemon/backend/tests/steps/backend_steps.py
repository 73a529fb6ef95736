"""Steps of backend.feature: a scripted server on a free port."""

import asyncio
import random
import socket
import struct

from behave import given, then, when

from almondfield_core.tables import Timeouts
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.backend.pool import idle_lifetime_s
from almondfield_daemon.backend.tests.scripted import (
    LONG_TIMEOUTS,
    OK_STATUS_LINE,
    SHORT_TIMEOUTS,
    answer_once,
    send,
    socket_address,
    start,
    unescape,
)
from almondfield_daemon.router import BackendCall
from almondfield_daemon.router.tests.fakes import settings

EARLY_TIMEOUT_S = 1.0


@given('a server that answers "{head}" and "{body}" and closes')
def step_impl(context, head, body):
    head = head.replace("TE:", "Transfer-Encoding:")
    data = OK_STATUS_LINE + unescape(head) + b"\r\n\r\n" + unescape(body)
    start(context, answer_once(data))


@given('a server that answers "{head}" and "" and closes')
def step_impl(context, head):
    status = b"HTTP/1.1 302 Found\r\n" if "Location" in head else OK_STATUS_LINE
    start(context, answer_once(status + unescape(head) + b"\r\n\r\n"))


@given('a server that answers "" and "" and closes')
def step_impl(context):
    start(context, answer_once(b""))


@given('a server that sends 103 before "{body}"')
def step_impl(context, body):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    answer = OK_STATUS_LINE + b"Content-Length: %d\r\n\r\n" % len(body) + body.encode()
    start(context, answer_once(interim + answer))


@given("a server that is not listening")
def step_impl(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        context.address = socket_address(unused)
    context.timeouts = LONG_TIMEOUTS


@given("a server whose connection backlog is full")
def step_impl(context):
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = context.listener.getsockname()
    # These connections fill the backlog, so that the next one times out.
    context.fillers = [socket.socket() for _ in range(4)]
    for filler in context.fillers:
        filler.setblocking(False)
        filler.connect_ex(address)
    context.address = socket_address(context.listener)
    context.timeouts = SHORT_TIMEOUTS


@given('a server that stops sending after "{sent}"')
def step_impl(context, sent):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(unescape(sent))
        await reader.read()

    start(context, script, SHORT_TIMEOUTS)


@given('a server that stops sending after ""')
def step_impl(context):
    async def script(server, reader, writer):
        await reader.read()

    start(context, script, SHORT_TIMEOUTS)


@given("a server that keeps connections open")
def step_impl(context):
    async def script(server, reader, writer):
        while True:
            await server.request(reader)
            writer.write(OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nok")

    start(context, script)


@given("a server that appends a second answer to its first")
def step_impl(context):
    async def script(server, reader, writer):
        answer = OK_STATUS_LINE + b"Content-Length: 2\r\n\r\n"
        while True:
            await server.request(reader)
            writer.write(answer + b"ok" + answer + b"no")

    start(context, script)


@given("a server that sends a second answer later")
def step_impl(context):
    async def script(server, reader, writer):
        answer = OK_STATUS_LINE + b"Content-Length: 2\r\n\r\n"
        await server.request(reader)
        writer.write(answer + b"ok")
        await server.late_answer_due.wait()
        writer.write(answer + b"no")
        await reader.readexactly(1)

    start(context, script)


@given("a server that closes its open connection at the second request")
def step_impl(context):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nok")
        await server.request(reader)

    start(context, script)


@given("a server that streams without end")
def step_impl(context):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
        await reader.readexactly(1)

    start(context, script)


@given("a server that echoes the body")
def step_impl(context):
    async def script(server, reader, writer):
        body = await server.request(reader)
        writer.write(OK_STATUS_LINE + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    start(context, script)


@given(
    'a server that answers {status:d} and "hello" before it reads the body, and {then}'
)
def step_impl(context, status, then):
    async def script(server, reader, writer):
        server.heads.append(await reader.readuntil(b"\r\n\r\n"))
        head = b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n" % status
        writer.write(head + b"hello")
        await asyncio.sleep(0.05 if then == "reads on late" else EARLY_TIMEOUT_S)
        await reader.read()

    timeouts = Timeouts(LONG_TIMEOUTS.connect_s, EARLY_TIMEOUT_S, EARLY_TIMEOUT_S)
    start(context, script, timeouts)


@when(
    "a pooled POST with a body of {size:d} MiB is sent, then another with an empty body"
)
def step_impl(context, size):
    async def send_both():
        backends = HttpBackends(settings())
        body = bytes(size * 1024 * 1024)
        first = await send(context, "POST", (), body, True, backends)
        await send(context, "POST", (), b"", True, backends)
        return first

    context.result = context.loop.run_until_complete(send_both())


@then("the other one got a connection of its own")
def step_impl(context):
    assert context.server.connections == 2, context.server.connections


@when("a {method:w} is sent")
def step_impl(context, method):
    context.result = context.loop.run_until_complete(send(context, method))


@when('a {method:w} is sent with headers "{first}" and "{second}"')
def step_impl(context, method, first, second):
    headers = tuple(tuple(h.encode().split(b": ")) for h in (first, second))
    context.result = context.loop.run_until_complete(send(context, method, headers))


@when("{count:d} {kind} requests are sent one after the other")
def step_impl(context, count, kind):
    async def send_all():
        backends = HttpBackends(settings())
        pooled = kind == "pooled"
        return [
            await send(context, "GET", pooled=pooled, backends=backends)
            for _ in range(count)
        ]

    context.results = context.loop.run_until_complete(send_all())


@when("a pooled request is sent, then another after the late answer")
def step_impl(context):
    async def send_both():
        backends = HttpBackends(settings())
        first = await send(context, "GET", pooled=True, backends=backends)
        context.server.late_answer_due.set()
        await context.server.closed.wait()
        return [first, await send(context, "GET", pooled=True, backends=backends)]

    context.results = context.loop.run_until_complete(send_both())


@when("a POST is sent and its answer is closed after the first chunk")
def step_impl(context):
    async def send_and_close():
        call = BackendCall(
            context.address, "POST", b"/p", (), b"x", context.timeouts, False
        )
        answer = (await HttpBackends(settings()).send(call)).unwrap()
        assert await anext(answer.chunks()) == b"ok"
        answer.close()

    context.loop.run_until_complete(send_and_close())


@when("a POST of {count:d} bytes is sent")
def step_impl(context, count):
    context.body = random.Random(1).randbytes(count)
    sent = send(context, "POST", body=context.body)
    context.result = context.loop.run_until_complete(sent)


@then('the result is {outcome:w} "{body}"')
def step_impl(context, outcome, body):
    assert (context.result[0], context.result[2]) == (outcome, body.encode()), vars(
        context.result[1]
    )


@then('the result is {outcome:w} ""')
def step_impl(context, outcome):
    assert (context.result[0], context.result[2]) == (outcome, b""), context.result


@then("the result is {outcome}")
def step_impl(context, outcome):
    assert context.result[0] == outcome, context.result


@then('the answer has headers "{first}", "{second}" and "{third}"')
def step_impl(context, first, second, third):
    headers = [b": ".join(header).decode() for header in context.result[1].headers]
    assert headers[:3] == [first, second, third], headers


@then('the server received headers "{first}" and "{second}"')
def step_impl(context, first, second):
    lines = context.server.heads[0].decode().split("\r\n")
    assert first in lines, lines
    assert second in lines, lines


@then("the server received {count:d} requests")
def step_impl(context, count):
    assert len(context.server.heads) == count


@then("the server accepted {count:d} connections")
def step_impl(context, count):
    assert context.server.connections == count


@then("every request gets its own answer")
def step_impl(context):
    assert [result[2] for result in context.results] == [b"ok", b"ok"]


@then("the second request failed as stale")
def step_impl(context):
    outcome, failure, _ = context.results[1]
    assert (outcome, failure.stale) == ("unknown", True), failure


@then("the connection is closed at the server")
def step_impl(context):
    context.loop.run_until_complete(context.server.closed.wait())


@then("the same bytes are returned")
def step_impl(context):
    assert context.result[2] == context.body


@given('a server that answers "{head}" and "{body}" and resets')
def step_impl(context, head, body):
    data = OK_STATUS_LINE + unescape(head) + b"\r\n\r\n" + unescape(body)

    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        connection = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    start(context, script)


@when("a POST is sent whose answer may end with the connection")
def step_impl(context):
    sent = send(context, "POST", may_end_by_close=True)
    context.result = context.loop.run_until_complete(sent)


@then('after an answer with "{header}" the connection may be idle for {seconds:g} s')
def step_impl(context, header, seconds):
    name, _, value = header.partition(": ")
    found = idle_lifetime_s([(name.encode(), value.encode())])
    assert found == seconds, found
