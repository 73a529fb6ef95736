"""Steps of stopping.feature."""

import asyncio
from contextlib import suppress

from behave import given, then, when

from almondfield_daemon.serving.tests.callers import ANSWER_TIMEOUT_S

LOCALHOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


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
        context.answer = b""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            with suppress(ConnectionError):
                context.answer = await context.reader.read()

    context.loop.run_until_complete(stop())


@then("the caller gets a whole answer")
def step_impl(context):
    assert context.answer.startswith(b"HTTP/1.1 "), context.answer
    assert context.answer.endswith(b"hello"), context.answer
