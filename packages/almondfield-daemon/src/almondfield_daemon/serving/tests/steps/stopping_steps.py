"""Steps of stopping.feature."""

import asyncio
import socket
import time
from contextlib import suppress

from behave import given, then, when

from almondfield_daemon.serving import HttpListener, bind
from almondfield_daemon.serving.tests.callers import ANSWER_TIMEOUT_S

LOCALHOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
MAX_HEAD_BYTES = 1024
HALF = len(REQUEST) // 2


@given("a caller that has had an answer on a connection that it keeps")
def step_impl(context):
    async def connect():
        reader, writer = await asyncio.open_connection(LOCALHOST, context.port)
        context.add_cleanup(writer.close)
        writer.write(REQUEST)
        await reader.readuntil(b"hello")
        return reader, writer

    context.reader, context.writer = context.loop.run_until_complete(connect())


@given("a listener whose requests run on for {seconds:g} s")
def step_impl(context, seconds):
    async def run_on(scope, receive, send):
        await asyncio.sleep(seconds)

    listener = bind(LOCALHOST, 0)
    context.port = listener.getsockname()[1]
    context.listener = HttpListener(run_on, listener, MAX_HEAD_BYTES)
    context.loop.run_until_complete(context.listener.start())


@when("a request runs, and the listener has to stop within {seconds:g} s")
def step_impl(context, seconds):
    async def stop():
        _, writer = await asyncio.open_connection(LOCALHOST, context.port)
        context.add_cleanup(writer.close)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        began_s = time.monotonic()
        await context.listener.stop(seconds)
        context.stop_s = time.monotonic() - began_s

    context.loop.run_until_complete(stop())


@then("it took at least {seconds:g} s less {margin_s:g} s")
def step_impl(context, seconds, margin_s):
    assert context.stop_s >= seconds - margin_s, context.stop_s


@when("the caller sends a request and the listener stops before it reads it")
def step_impl(context):
    async def stop():
        context.writer.write(REQUEST)  # goes into the socket at once
        await context.listener.stop()
        await read_answer(context)

    context.loop.run_until_complete(stop())


@when("half a head is read, and the rest comes as the listener stops")
def step_impl(context):
    async def stop():
        (connection,) = context.listener._server.server_state.connections
        context.writer.write(REQUEST[:HALF])
        while connection._is_request_read:
            await asyncio.sleep(0)
        context.writer.write(REQUEST[HALF:])  # goes into the socket at once
        await context.listener.stop()
        await read_answer(context)

    context.loop.run_until_complete(stop())


@when("the caller sends a request in the moment in which the idle time is over")
def step_impl(context):
    async def end_idle_time():
        (connection,) = context.listener._server.server_state.connections
        context.writer.write(REQUEST)  # goes into the socket at once
        connection.timeout_keep_alive_handler()
        await read_answer(context, until=b"hello")

    context.loop.run_until_complete(end_idle_time())


async def read_answer(context, until=None):
    """Read an answer, up to the end of the connection or of some bytes."""
    context.answer = b""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            reader = context.reader
            context.answer = await (reader.readuntil(until) if until else reader.read())


@then("the caller gets a whole answer")
def step_impl(context):
    assert context.answer.startswith(b"HTTP/1.1 "), context.answer
    assert context.answer.endswith(b"hello"), context.answer


@when(
    "{count:d} callers have connected and sent a request {iterations:d} iterations "
    "before it stops"
)
def step_impl(context, count, iterations):
    callers = [
        socket.create_connection((LOCALHOST, context.port)) for _ in range(count)
    ]
    for caller in callers:
        context.add_cleanup(caller.close)
        caller.sendall(REQUEST)
        caller.setblocking(False)

    async def read(caller):
        answer = b""
        with suppress(ConnectionError):
            while part := await asyncio.get_running_loop().sock_recv(caller, 65536):
                answer += part
        return answer

    async def stop():
        for _ in range(iterations):
            await asyncio.sleep(0)
        began_s = time.monotonic()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            stopping = asyncio.create_task(context.listener.stop())
            context.answers = await asyncio.gather(*map(read, callers))
            await stopping
        context.stop_s = time.monotonic() - began_s

    context.loop.run_until_complete(stop())


@then("each of them gets a whole answer")
def step_impl(context):
    whole = [answer.endswith(b"hello") for answer in context.answers]
    assert all(whole), f"{sum(whole)} of {len(whole)}"


@then("the listener has stopped within {seconds:g} s")
def step_impl(context, seconds):
    assert context.stop_s < seconds, context.stop_s
