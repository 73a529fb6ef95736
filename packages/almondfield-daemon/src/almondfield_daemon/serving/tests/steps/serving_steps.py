"""Steps of serving.feature."""

import asyncio
import json
import resource
import socket
import time

from behave import given, then, when
from starlette.responses import PlainTextResponse

from almondfield_daemon.serving import HttpListener, ListenError, bind

LOCALHOST = "127.0.0.1"
LONG = "y" * 4096
TICK_S = 0.01
ANSWER_TIMEOUT_S = 30.0


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
