"""Steps of sender.feature."""

import asyncio
import json

from behave import given, then, when

from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.backend.tests.endless import EndlessSender
from almondfield_daemon.orders import FencedOrder, HttpOrderSender, LoadModel
from almondfield_daemon.router.tests.fakes import settings
from almondfield_testing import run

ENDLESS_BY_PART = {
    "header fields": (b"", b"X-A: aaaaaaaaaa\r\n"),
    "one header field": (b"X-A: ", b"aaaaaaaaaaaaaaaa"),
    "a body": (b"\r\n", b"aaaaaaaaaaaaaaaa"),
}


def serve(context, answer):
    context.requests = []

    async def receive(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = next(int(x[15:]) for x in lines if x.startswith("content-length:"))
        context.requests.append((lines, json.loads(await reader.readexactly(length))))
        await answer(writer)

    async def start():
        context.server = await asyncio.start_server(receive, "127.0.0.1", 0)
        port = context.server.sockets[0].getsockname()[1]
        context.address = f"127.0.0.1:{port}"

    run(context, start())


@given("a backend server that answers orders with {status:d}")
def step_impl(context, status):
    async def answer(writer):
        writer.write(f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}".encode())
        await writer.drain()
        writer.close()

    serve(context, answer)


@given("a backend server that closes each connection")
def step_impl(context):
    async def answer(writer):
        writer.close()

    serve(context, answer)


@given("a backend server that never answers")
def step_impl(context):
    async def answer(writer):
        # Keeps the connection open without an answer.
        context.open_writer = writer

    serve(context, answer)


@given("a backend server that answers orders with {part} without end")
def step_impl(context, part):
    beginning, piece = ENDLESS_BY_PART[part]
    sender = context.sender = EndlessSender()

    async def answer(writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + beginning)
        await sender.send(writer, piece * 64)

    serve(context, answer)


@given("no backend server")
def step_impl(context):
    async def answer(writer):
        writer.close()

    serve(context, answer)
    context.server.close()
    run(context, context.server.wait_closed())


@when('an order to load "{model}" with fencing number {fencing:d} is sent')
def step_impl(context, model, fencing):
    order = FencedOrder("engine-1", context.address, LoadModel(model), fencing)
    sender = HttpOrderSender(HttpBackends(settings()), "secret")
    context.outcome = run(context, sender.send(order))


@then("the outcome is {name}")
def step_impl(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


@then('the server received token "{token}" and fencing number {fencing:d} once')
def step_impl(context, token, fencing):
    ((lines, body),) = context.requests
    assert lines[0].startswith("post /orders "), lines[0]
    assert f"authorization: bearer {token}" in lines
    assert body["fencing"] == fencing
    assert (body["order"], body["model"]) == ("load-model", "writing"), body


@then("the server was let go after at most {factor:d} times {limit:d} bytes")
def step_impl(context, factor, limit):
    sender = context.sender
    run(context, sender.done.wait())
    assert sender.is_let_go, sender.sent_bytes
    assert sender.sent_bytes <= factor * limit, sender.sent_bytes
