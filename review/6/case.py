"""Streams that callers take up after all processes were killed once are refused.

There is one software version of the servers, and both servers serve all the time.
"""

import asyncio
import json
import random
import signal
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    BOUNDS,
    DOMAIN,
    KEY,
    REGION,
    ZONE,
    Server,
    UnusableError,
    call,
    config_document,
    is_troubled,
    main,
    read_head,
)

STREAMS = 24
DEADLINE_S = 15.0
EVENTS = 70
EVENT_S = 0.2
BROKEN_AFTER_S = 1.5  # from the start of the streams
DOWN_S = 0.8
# In touch again, as the fault took most of the core.
IN_TOUCH_S = 2 * BOUNDS["contact"] + 0.3
TAKE_UP_TRIES = 4
FIRST_EVENT_S = 2.0


class StreamServer(Server):
    """A server that answers with events, and goes on after ``Last-Event-Id``."""

    async def run(self, writer, named, method, path, headers, body):
        """Write the events that are due, until the caller leaves."""
        last = headers.get("last-event-id", "0")
        first = int(last) + 1 if last.isdigit() else 1
        self._record.write(f"{self.name} runs {named[0][12:]} from event {first}")
        lines = [
            "HTTP/1.1 200 OK",
            *named,
            f"Server-Signature: {self.name}.{named[0][12:20]}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclass
class Caller:
    """A caller of one stream.

    :ivar began_s: when it began, on the steady clock.
    :ivar first_id: its attempt that brought the first event.
    :ivar last_event: the last event that it has.
    """

    began_s: float = 0.0
    first_id: str = ""
    last_event: int = 0
    writer: object = field(default=None, repr=False)


async def attempt(deployment, address, caller, until_s):
    """Send the request of a stream; return the status, and events as they come.

    :param until_s: when the caller stops to read, on the steady clock.
    """
    request_id = f"{random.getrandbits(64):016x}"
    left_ms = int((caller.began_s + DEADLINE_S - time.monotonic()) * 1000)
    lines = [
        "POST /stream/x HTTP/1.1",
        f"Host: {DOMAIN}",
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {left_ms}",
        f"Credential: {KEY}",
        "Content-Length: 1",
    ]
    if caller.last_event:
        lines.append(f"Last-Event-Id: {caller.last_event}")
        lines.append(f"Resumes: {caller.first_id}")
    host, _, port = address.rpartition(":")
    status, events = 0, 0
    writer = None
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(max(0.1, until_s - time.monotonic())):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nx")
            first, _ = await read_head(reader)
            status = int(first.split()[1])
            while status == 200 and (line := await reader.readline()):
                if line.startswith(b"id: "):
                    number = int(line[4:])
                    events += 1
                    caller.first_id = caller.first_id or request_id
                    caller.last_event = number
    if writer is not None:
        writer.transport.abort()
    return request_id, status, events


async def addresses(deployment):
    """Return the routers that the directory names."""
    for directory in deployment.directories:
        query = f"name={DOMAIN}&region={REGION}&zone={ZONE}"
        answer = await call(directory, "GET", f"/v1/resolve?{query}")
        if answer.status == 200:
            named = json.loads(answer.body).get("addresses", [])
            if named:
                return named
    return []


async def take_up(deployment, caller, in_touch_s):
    """Take a stream up, some times if it is refused; return whether it goes on."""
    end_s = caller.began_s + DEADLINE_S
    await asyncio.sleep(max(0.0, in_touch_s - time.monotonic()))
    for _ in range(TAKE_UP_TRIES):
        named = await addresses(deployment)
        if named and time.monotonic() < end_s - 0.2:
            address = random.choice(named)
            until_s = min(end_s, time.monotonic() + FIRST_EVENT_S)
            last = caller.last_event
            request_id, status, events = await attempt(
                deployment, address, caller, until_s
            )
            deployment.record.write(
                f"take-up {request_id} of {caller.first_id} after event {last} "
                f"at {address}: status {status}, {events} further events"
            )
            if events:
                return True
        await asyncio.sleep(0.5)
    return False


async def begin_new(deployment, in_touch_s, index):
    """Begin a new stream; return whether its first event comes."""
    await asyncio.sleep(max(0.0, in_touch_s + 0.1 * index - time.monotonic()))
    named = await addresses(deployment)
    if not named:
        return False
    caller = Caller(time.monotonic())
    address = random.choice(named)
    until_s = time.monotonic() + FIRST_EVENT_S
    request_id, status, events = await attempt(deployment, address, caller, until_s)
    deployment.record.write(
        f"new stream {request_id} at {address}: status {status}, {events} events"
    )
    return events > 0


async def case(deployment):
    """Return whether streams that are taken up go on as new ones begin."""
    record = deployment.record
    route = ("/stream/", "pool", "streaming", {"timeoutMs": 15000, "resumable": True})
    await deployment.begin(config_document(3, [route], ["pool"]))
    servers = [
        StreamServer(
            f"i-{index}",
            "pool",
            deployment.server_address(index),
            deployment.controls,
            record,
        )
        for index in range(2)
    ]
    for server in servers:
        server.slots = 64
        await server.start()
    names = list(deployment.process_by_name)
    # As long before the fault as a system that has run for a while.
    end_s = time.monotonic() + 35.0
    while time.monotonic() < end_s:
        await asyncio.sleep(1.0)
    probe = Caller(time.monotonic())
    for address in deployment.routers:
        await attempt(deployment, address, probe, time.monotonic() + 1.0)
    if not probe.last_event:
        raise UnusableError("no stream begins")

    callers = [Caller(time.monotonic()) for _ in range(STREAMS)]
    broken_s = time.monotonic() + BROKEN_AFTER_S
    streams = [
        asyncio.create_task(
            attempt(
                deployment,
                deployment.routers[index % 2],
                caller,
                broken_s + (5.0 if is_troubled() else 0.0),
            )
        )
        for index, caller in enumerate(callers)
    ]
    await asyncio.sleep(max(0.0, broken_s - time.monotonic()))
    if is_troubled():
        for name in names:
            deployment.send_signal(name, signal.SIGKILL)
        for name in names:
            deployment.process_by_name[name].wait()
        await asyncio.sleep(DOWN_S)
        for name in names:
            deployment.start(name)
    back_s = time.monotonic()
    await asyncio.gather(*streams)
    begun = [caller for caller in callers if caller.last_event]
    record.write(f"{len(begun)} of {STREAMS} streams had begun and broke off")

    in_touch_s = back_s + IN_TOUCH_S
    results = await asyncio.gather(
        *(take_up(deployment, caller, in_touch_s) for caller in begun),
        *(begin_new(deployment, in_touch_s, index) for index in range(STREAMS)),
    )
    went_on, new = results[: len(begun)], results[len(begun) :]
    share = sum(went_on) / max(1, len(begun))
    new_share = sum(new) / len(new)
    record.write(f"{sum(went_on)} of {len(begun)} streams that were taken up go on")
    record.write(f"{sum(new)} of {len(new)} new streams begin")
    if len(begun) < 12 or new_share < 0.5:
        raise UnusableError("too few streams")
    return share >= new_share / 2


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
