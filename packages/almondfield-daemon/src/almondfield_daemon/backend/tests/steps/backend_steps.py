"""Steps of backend.feature: a scripted server on a free port."""

import asyncio
import random
import socket
import struct

from behave import given, then, when
from result import Err, Ok

from almondfield_core.tables import Timeouts
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.backend.pool import idle_lifetime_s
from almondfield_daemon.router import AnswerCutError, BackendCall
from almondfield_daemon.router.tests.fakes import settings

GENEROUS = Timeouts(connect_s=10.0, first_byte_s=10.0, chunk_s=10.0)
SHORT = Timeouts(connect_s=0.05, first_byte_s=0.05, chunk_s=0.05)
OK = b"HTTP/1.1 200 OK\r\n"


def unescape(text):
    """Return the bytes of a text with escaped line ends."""
    return text.replace("\\r", "\r").replace("\\n", "\n").encode()


def at_port(listener):
    """Return the address of a socket."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


class Server:
    """Serves each connection by a script, and notes what it saw."""

    def __init__(self, script):
        self.script = script
        self.heads = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.late = asyncio.Event()

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = at_port(server.sockets[0])

    async def request(self, reader):
        """Return the next request's body."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        lines = head.lower().split(b"\r\n")
        lengths = [line for line in lines if line.startswith(b"content-length:")]
        length = int(lengths[0].split(b":")[1]) if lengths else 0
        return await reader.readexactly(length)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self.script(self, reader, writer)
        except (EOFError, ConnectionError, asyncio.CancelledError):
            self.closed.set()
        finally:
            writer.close()


def start(context, script, timeouts=GENEROUS):
    """Start a scripted server and a client for it."""
    context.timeouts = timeouts
    context.server = Server(script)
    context.loop.run_until_complete(context.server.start())
    context.address = context.server.address


def once(data):
    """Return a script that answers one request."""

    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(data)
        await writer.drain()

    return script


async def send(
    context,
    method,
    headers=(),
    body=b"",
    pooled=False,
    backends=None,
    may_end_by_close=False,
):
    """Return (how it ended, answer, body)."""
    call = BackendCall(
        context.address,
        method,
        b"/p",
        headers,
        body,
        context.timeouts,
        pooled,
        may_end_by_close=may_end_by_close,
    )
    backends = backends or HttpBackends(settings())
    match await backends.send(call):
        case Err(failure):
            return ("unknown" if failure.may_have_run else "not-run", failure, b"")
        case Ok(answer):
            got = b""
    try:
        async for chunk in answer.chunks():
            got += chunk
    except AnswerCutError:
        return ("cut", answer, got)
    return ("whole", answer, got)


@given('a server that answers "{head}" and "{body}" and closes')
def step_impl(context, head, body):
    head = head.replace("TE:", "Transfer-Encoding:")
    data = OK + unescape(head) + b"\r\n\r\n" + unescape(body)
    start(context, once(data))


@given('a server that answers "{head}" and "" and closes')
def step_impl(context, head):
    status = b"HTTP/1.1 302 Found\r\n" if "Location" in head else OK
    start(context, once(status + unescape(head) + b"\r\n\r\n"))


@given('a server that answers "" and "" and closes')
def step_impl(context):
    start(context, once(b""))


@given('a server that sends 103 before "{body}"')
def step_impl(context, body):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    answer = OK + b"Content-Length: %d\r\n\r\n" % len(body) + body.encode()
    start(context, once(interim + answer))


@given("a server that is gone")
def step_impl(context):
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        context.address = at_port(free)
    context.timeouts = GENEROUS


@given("a server whose queue of connections is full")
def step_impl(context):
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = context.listener.getsockname()
    context.fillers = [socket.socket() for _ in range(4)]
    for filler in context.fillers:
        filler.setblocking(False)
        filler.connect_ex(address)
    context.address = at_port(context.listener)
    context.timeouts = SHORT


@given('a server that goes silent after "{sent}"')
def step_impl(context, sent):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(unescape(sent))
        await reader.read()

    start(context, script, SHORT)


@given('a server that goes silent after ""')
def step_impl(context):
    async def script(server, reader, writer):
        await reader.read()

    start(context, script, SHORT)


@given("a server that keeps connections")
def step_impl(context):
    async def script(server, reader, writer):
        while True:
            await server.request(reader)
            writer.write(OK + b"Content-Length: 2\r\n\r\nok")

    start(context, script)


@given("a server that adds a second answer to its first")
def step_impl(context):
    async def script(server, reader, writer):
        answer = OK + b"Content-Length: 2\r\n\r\n"
        while True:
            await server.request(reader)
            writer.write(answer + b"ok" + answer + b"no")

    start(context, script)


@given("a server that sends a second answer later")
def step_impl(context):
    async def script(server, reader, writer):
        answer = OK + b"Content-Length: 2\r\n\r\n"
        await server.request(reader)
        writer.write(answer + b"ok")
        await server.late.wait()
        writer.write(answer + b"no")
        await reader.readexactly(1)

    start(context, script)


@given("a server that closes its kept connection at the second request")
def step_impl(context):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(OK + b"Content-Length: 2\r\n\r\nok")
        await server.request(reader)

    start(context, script)


@given("a server that streams without end")
def step_impl(context):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
        await reader.readexactly(1)

    start(context, script)


@given("a server that echoes")
def step_impl(context):
    async def script(server, reader, writer):
        body = await server.request(reader)
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    start(context, script)


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
        context.server.late.set()
        await context.server.closed.wait()
        return [first, await send(context, "GET", pooled=True, backends=backends)]

    context.results = context.loop.run_until_complete(send_both())


@when("a POST is sent and given up after its first chunk")
def step_impl(context):
    async def send_and_leave():
        call = BackendCall(
            context.address, "POST", b"/p", (), b"x", context.timeouts, False
        )
        answer = (await HttpBackends(settings()).send(call)).unwrap()
        assert await anext(answer.chunks()) == b"ok"
        answer.close()

    context.loop.run_until_complete(send_and_leave())


@when("a POST of {count:d} bytes is sent")
def step_impl(context, count):
    context.body = random.Random(1).randbytes(count)
    sent = send(context, "POST", body=context.body)
    context.result = context.loop.run_until_complete(sent)


@then('the caller sees {how:w} "{body}"')
def step_impl(context, how, body):
    assert (context.result[0], context.result[2]) == (how, body.encode()), vars(
        context.result[1]
    )


@then('the caller sees {how:w} ""')
def step_impl(context, how):
    assert (context.result[0], context.result[2]) == (how, b""), context.result


@then("the caller sees {how}")
def step_impl(context, how):
    assert context.result[0] == how, context.result


@then('the answer has headers "{first}", "{second}" and "{third}"')
def step_impl(context, first, second, third):
    headers = [b": ".join(header).decode() for header in context.result[1].headers]
    assert headers[:3] == [first, second, third], headers


@then('the server saw "{first}" and "{second}"')
def step_impl(context, first, second):
    lines = context.server.heads[0].decode().split("\r\n")
    assert first in lines, lines
    assert second in lines, lines


@then("the server saw {count:d} requests")
def step_impl(context, count):
    assert len(context.server.heads) == count


@then("the server saw {count:d} connections")
def step_impl(context, count):
    assert context.server.connections == count


@then("every answer is its own")
def step_impl(context):
    assert [result[2] for result in context.results] == [b"ok", b"ok"]


@then("the second failed as stale")
def step_impl(context):
    how, failure, _ = context.results[1]
    assert (how, failure.stale) == ("unknown", True), failure


@then("the server saw its connection close")
def step_impl(context):
    context.loop.run_until_complete(context.server.closed.wait())


@then("the same bytes come back")
def step_impl(context):
    assert context.result[2] == context.body


@given('a server that answers "{head}" and "{body}" and resets')
def step_impl(context, head, body):
    data = OK + unescape(head) + b"\r\n\r\n" + unescape(body)

    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        connection = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    start(context, script)


@when("a POST is sent whose answer may end with its connection")
def step_impl(context):
    sent = send(context, "POST", may_end_by_close=True)
    context.result = context.loop.run_until_complete(sent)


@then('an answer with "{header}" leaves its connection idle for {seconds:g} s')
def step_impl(context, header, seconds):
    name, _, value = header.partition(": ")
    found = idle_lifetime_s([(name.encode(), value.encode())])
    assert found == seconds, found
