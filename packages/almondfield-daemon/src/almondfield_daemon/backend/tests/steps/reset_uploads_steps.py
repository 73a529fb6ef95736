"""Steps of reset_uploads.feature: a scripted server on a free port."""

import asyncio

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.backend.tests.scripted import (
    OK_STATUS_LINE,
    end_at_once,
    send,
    start,
)
from almondfield_daemon.router.tests.fakes import settings

RESETS_AFTER_S = 0.05
TRIES = 5


@given(
    'a server that answers "{content_type}" without a length before it reads an '
    "upload, and resets"
)
def step_impl(context, content_type):
    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        line = b"Content-Type: %b\r\n\r\n" % content_type.encode()
        writer.write(OK_STATUS_LINE + line + b"data: a\n\n")
        await writer.drain()
        await asyncio.sleep(RESETS_AFTER_S)
        end_at_once(writer)

    start(context, script)


@when("a POST of {size:d} kB is uploaded {pace}")
def step_impl(context, size, pace):
    body = bytes(size * 1000)

    async def upload():
        outcomes = []
        for _ in range(TRIES):
            sent = asyncio.ensure_future(
                send(
                    context,
                    "POST",
                    body=body,
                    backends=HttpBackends(settings()),
                    may_end_by_close=True,
                )
            )
            if pace == "by a late loop":
                # The reset and what was sent before it are read together.
                await asyncio.sleep(RESETS_AFTER_S / 2)
                block_loop(2 * RESETS_AFTER_S)
            outcomes.append((await sent)[0])
        return outcomes

    context.outcomes = context.loop.run_until_complete(upload())


def block_loop(seconds):
    """Keep the event loop from running for some time."""
    until_s = now() + seconds
    while now() < until_s:
        pass


@then("the answer never counts as complete")
def step_impl(context):
    assert "complete" not in context.outcomes, context.outcomes
