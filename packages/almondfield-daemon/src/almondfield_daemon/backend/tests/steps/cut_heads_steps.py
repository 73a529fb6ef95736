"""Steps of cut_heads.feature: heads that a server cuts, on real sockets."""

import asyncio
import re

from behave import given, then, when

from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.backend.tests.scripted import (
    OK_STATUS_LINE,
    answer_once,
    end_at_once,
    send,
    start,
    unescape,
)
from almondfield_daemon.router.tests.fakes import settings
from almondfield_testing import run

NAMES = b"Attempt-Id: r\r\nServer-Signature: s\r\n"
OK_HEAD = OK_STATUS_LINE + NAMES
HEAD_BY_KIND = {
    "an answer with a length": OK_HEAD + b"Content-Length: 1234\r\n\r\n",
    "an answer in chunks": OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "an answer without framing": OK_HEAD + b"Content-Type: text/event-stream\r\n\r\n",
    "an HTTP/1.0 answer": b"HTTP/1.0 200 OK\r\n" + NAMES + b"\r\n",
    "an answer after a 103": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + OK_HEAD
    + b"Content-Length: 1234\r\n\r\n",
    "a refusal": b"HTTP/1.1 503 Service Unavailable\r\n"
    + NAMES
    + b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "an answer without body": b"HTTP/1.1 204 No Content\r\n" + NAMES + b"\r\n",
}
READ_S = 0.005  # between two writes that are to be read one by one


@given("a server that cuts the head of {kind} and {ends}")
def step_impl(context, kind, ends):
    context.head = HEAD_BY_KIND[kind]

    async def script(server, reader, writer):
        await server.request(reader)
        place = int(re.search(rb"x-place: (\d+)", server.heads[-1])[1])
        sent = context.head[:place]
        writer.write(sent[: place // 2])
        await asyncio.sleep(READ_S)
        writer.write(sent[place // 2 :])
        if ends == "closes with its last bytes":
            writer.close()
            return
        await asyncio.sleep(READ_S)
        if ends == "resets":
            end_at_once(writer)

    start(context, script)


@given('a server that sends "{head}" and "{body}" bytewise and closes')
def step_impl(context, head, body):
    data = OK_STATUS_LINE + unescape(head) + b"\r\n\r\n" + unescape(body)

    async def script(server, reader, writer):
        await server.request(reader)
        for byte in data:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)

    start(context, script)


@given("a server that sends 103 with a length, a part of a head, and closes")
def step_impl(context):
    interim = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n"
    start(context, answer_once(interim + OK_STATUS_LINE + b"Content-Len"))


@given("a server that cuts the head of its second answer")
def step_impl(context):
    whole = OK_HEAD + b"Content-Length: 2\r\n\r\nok"

    async def script(server, reader, writer):
        while True:
            await server.request(reader)
            if len(server.heads) == 2:
                writer.write(OK_HEAD + b"Content-Length: 2")
                return
            writer.write(whole)

    start(context, script)


@when("a POST is sent for each place at which it may be cut")
def step_impl(context):
    async def send_all():
        places = range(len(context.head))
        backends = HttpBackends(settings())
        return await asyncio.gather(
            *(
                send(
                    context,
                    "POST",
                    ((b"x-place", b"%d" % place),),
                    backends=backends,
                    may_end_by_close=True,
                )
                for place in places
            )
        )

    context.results = run(context, send_all())


@when("3 pooled requests are sent, the second of which gets a cut head")
def step_impl(context):
    async def send_all():
        backends = HttpBackends(settings())
        return [
            await send(context, "POST", pooled=True, backends=backends)
            for _ in range(3)
        ]

    context.results = run(context, send_all())


@then("no POST is answered, and each may have run")
def step_impl(context):
    kinds = [kind for kind, _, _ in context.results]
    assert kinds == ["unknown"] * len(context.head), kinds
    assert len(context.server.heads) == len(context.head)


@then("the others are answered, on two connections")
def step_impl(context):
    kinds = [(kind, body) for kind, _, body in context.results]
    answered = ("complete", b"ok")
    assert kinds == [answered, ("unknown", b""), answered], kinds
    assert context.server.connections == 2
