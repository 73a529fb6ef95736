"""Steps of stopping.feature on the idle time of connections."""

import asyncio

from behave import then, when

from almondfield_daemon.serving.tests.steps.stopping_steps import REQUEST


@when(
    "the caller sends a blank line after an answer, and idle connections are closed "
    "after {seconds:g} s"
)
def step_impl(context, seconds):
    async def send_blank_line():
        (connection,) = context.listener._server.server_state.connections
        connection.timeout_keep_alive = seconds
        context.writer.write(REQUEST)
        await context.reader.readuntil(b"hello")
        context.writer.write(b"\r\n")

    context.loop.run_until_complete(send_blank_line())


@then("the connection is closed within {seconds:g} s")
def step_impl(context, seconds):
    async def read():
        async with asyncio.timeout(seconds):
            return await context.reader.read()

    assert context.loop.run_until_complete(read()) == b""
