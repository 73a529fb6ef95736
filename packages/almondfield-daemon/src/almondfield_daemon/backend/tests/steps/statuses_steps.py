"""Steps of statuses.feature: a scripted server on a free port."""

import asyncio

from behave import given, then

from almondfield_core.tables import Timeouts
from almondfield_daemon.backend.tests.scripted import (
    LONG_TIMEOUTS,
    OK_STATUS_LINE,
    start,
)

BODY_BY_NAME = {
    "no body": b"\r\n",
    "a length": b"Content-Length: 15\r\n\r\ndata: foreign\n\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\nf\r\ndata: foreign\n\n\r\n0\r\n\r\n",
}
SOUND_ANSWER = OK_STATUS_LINE + b"Content-Length: 5\r\n\r\nhello"
INTERIM_INTERVAL_S = 0.05
FIRST_BYTE_S = 0.4


def head(status, body):
    """Return a head with a status, as text, and what follows it."""
    return b"HTTP/1.1 %b X\r\n%b" % (status.encode(), BODY_BY_NAME[body])


@given("a server that answers status {status} with {body} and stays silent")
def step_impl(context, status, body):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(head(status, body))
        await reader.read()

    start(context, script)


@given('a server that sends {status} with {body} before "hello"')
def step_impl(context, status, body):
    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(head(status, body) + SOUND_ANSWER)
        await reader.read()

    start(context, script)


@given("a server that sends interim responses without end")
def step_impl(context):
    async def script(server, reader, writer):
        await server.request(reader)
        while True:
            writer.write(head("102", "no body"))
            await writer.drain()
            await asyncio.sleep(INTERIM_INTERVAL_S)

    start(context, script, Timeouts(LONG_TIMEOUTS.connect_s, FIRST_BYTE_S, 10.0))


@then("the call fails {when} its timeout, and the server may have run it")
def step_impl(context, when):
    outcome, failure, _ = context.result
    assert outcome == "unknown", (outcome, vars(failure))
    assert failure.timed_out == (when == "by"), vars(failure)
