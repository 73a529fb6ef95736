"""Steps of serving.feature."""

import asyncio
import json

from behave import given, then, when
from starlette.responses import PlainTextResponse

from almondfield_daemon.serving import HttpListener, ListenError, bind

LOCALHOST = "127.0.0.1"
LONG = "y" * 4096


@given("a listener that allows heads of {size:d} bytes")
def step_impl(context, size):
    context.received = 0

    async def app(scope, receive, send):
        context.received += 1
        await PlainTextResponse("hello")(scope, receive, send)

    listener = bind(LOCALHOST, 0)
    context.port = listener.getsockname()[1]
    context.listener = HttpListener(app, listener, size)
    context.loop.run_until_complete(context.listener.start())
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.listener.stop())
    )


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
