"""Steps of pipelining.feature."""

import asyncio
import time

from behave import when

from almondfield_daemon.serving.tests.steps.serving_steps import (
    LOCALHOST,
    PAUSE_S,
    REQUEST_BY_NAME,
    ROUNDS,
    post,
)

BODY = b"x" * 5000  # longer than a head may be
NEXT = post("/", b"")
PART_BYTES = 10
OVERSIZED_HEAD = b"POST / HTTP/1.1\r\npad: " + b"y" * 4096  # it never ends
BODY_REQUEST_BY_NAME = {
    "accepted with 5000": post("/", BODY),
    "accepted with 5000 in chunks": post("/", BODY, "chunks"),
}


async def exchange(context, parts):
    """Send parts, each in one write; record what comes until a pause."""
    reader, writer = await asyncio.open_connection(LOCALHOST, context.port)
    context.add_cleanup(writer.close)
    context.answers, context.is_closed = b"", False
    for part in parts:
        writer.write(part)
        for _ in range(ROUNDS):
            # Real sockets need real time, which the paused loop would jump over.
            time.sleep(PAUSE_S)
            await asyncio.sleep(0)
            while reader._buffer:
                context.answers += await reader.read(65536)
    context.is_closed = reader.at_eof()


def send(context, names, head):
    requests = REQUEST_BY_NAME | BODY_REQUEST_BY_NAME
    first = b"".join(requests[name] for name in names.split(", "))
    parts = [first + head[:PART_BYTES], head[PART_BYTES:]]
    context.loop.run_until_complete(exchange(context, parts))


@when('a client sends "{names}" and a part of a head at once, and the rest later')
def step_impl(context, names):
    send(context, names, NEXT)


@when(
    'a client sends "{names}" and a part of an oversized head at once, and the rest '
    "later"
)
def step_impl(context, names):
    send(context, names, OVERSIZED_HEAD)
