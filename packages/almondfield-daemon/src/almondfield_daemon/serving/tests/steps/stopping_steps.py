"""Steps of stopping.feature."""

import asyncio
from contextlib import suppress

from behave import given, then, when

from almondfield_daemon.serving.tests.callers import ANSWER_TIMEOUT_S

LOCALHOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
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
