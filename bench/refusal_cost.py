"""Measures the processor time that a router needs to refuse one request.

The requests are prompts of a team whose refusal the router holds, so that no message is
sent. The callers run in a separate process; only the router's process is measured. Run
``python bench/refusal_cost.py``.
"""

import asyncio
import multiprocessing
import os
import random
import time

import cyclopts
import eliot

from almondfield_core.routing import (
    PoolShare,
    RequestKind,
    RouteRule,
    RoutingIndex,
    RoutingTable,
    ServerPool,
    TeamKeys,
)
from almondfield_core.settings import AnswerSettings
from almondfield_core.tables import hash_key
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding import (
    ForwardEndpoint,
    Forwarder,
    RetryWindow,
    ServerSelector,
)
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.logs import LineLog
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_daemon.server_limits import ServerLimits
from almondfield_daemon.server_notices import ServerNotices
from almondfield_daemon.serving import HttpListener, bind
from almondfield_fairshare.prefix_placement import Placement
from almondfield_platform.headers import PlatformHeaders

POOL = "pool"
KEY = "k"
US_PER_S = 1e6
MAX_HEADER_BYTES = 64 * 1024
MAX_HELD_BYTES = 40_000_000
REFUSAL = EngineRefusal(1.0, True, 0.1, 1)


class StubSubscription:
    """The subscription to a table of one route."""

    def __init__(self):
        route = RouteRule(
            name="route",
            domain="x",
            path_prefix="/",
            kind=RequestKind.STREAMING,
            shares=(PoolShare(POOL),),
            timeout_s=15.0,
            latency_target_s=0.8,
            has_prompt=True,
        )
        self.index = RoutingIndex(
            RoutingTable(
                version=1,
                routes=(route,),
                pools=(ServerPool(POOL, 100),),
                teams=(TeamKeys("team", (hash_key(KEY),)),),
            )
        )
        self.version = 1

    def fresh_left_s(self):
        """Return the time left of the lease."""
        return 3.0


class _StubView:
    def __init__(self):
        self._servers = tuple(
            FleetServer(f"s{n}", POOL, f"127.0.0.1:{n}", "east", 48) for n in range(45)
        )

    def servers(self, pool):
        return self._servers

    def router_count(self):
        return 66


class _StubEngines:
    def held_refusal(self, pool, team, prompt):
        return REFUSAL


def make_request(number, body_bytes):
    """Return a prompt with a body, as its caller sends it."""
    head = (
        f"POST /{number} HTTP/1.1\r\nhost: x\r\nattempt-id: {number:016x}\r\n"
        f"deadline-ms: 15000\r\ncredential: {KEY}\r\nmodel: m\r\n"
        "token-usage: 17020,120\r\n"
        "prefix-hash: 5c1e07a2:8000,91bd3f06:5300,e4402b7d:3720\r\n"
        f"content-length: {body_bytes}\r\n\r\n"
    )
    return head.encode() + b"x" * body_bytes


def run_callers(done, port, callers, requests, body_bytes, keeps):
    """Send requests, each caller one at a time; report how many were refused."""

    async def send(caller):
        refused = 0
        reader = writer = None
        for number in range(requests):
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(make_request(caller * requests + number, body_bytes))
            head = await reader.readuntil(b"\r\n\r\n")
            refused += head.startswith(b"HTTP/1.1 503")
            if not keeps:
                writer.close()
                writer = None
        return refused

    async def main():
        return await asyncio.gather(*(send(caller) for caller in range(callers)))

    done.put(sum(asyncio.run(main())))


async def measure_router(endpoint, gate, run_callers, args):
    """Return a router's processor seconds and what its callers report.

    :param endpoint: the router's endpoint.
    :param gate: decides on requests by their heads; None to pass all of them on.
    :param run_callers: runs in a process of its own with a queue for its report, the
        router's port and further arguments.
    :param args: these arguments.
    """
    log = LineLog(os.open(os.devnull, os.O_WRONLY), "h")
    eliot.add_destinations(log)
    socket = bind("127.0.0.1", 0)
    listener = HttpListener(endpoint, socket, MAX_HEADER_BYTES, gate)
    await listener.start()
    spawn = multiprocessing.get_context("spawn")
    done = spawn.Queue()
    port = socket.getsockname()[1]
    process = spawn.Process(target=run_callers, args=(done, port, *args))
    process.start()
    processor_s = time.process_time()
    while process.is_alive() and done.empty():
        await asyncio.sleep(0.05)
    processor_s = time.process_time() - processor_s
    report = await asyncio.get_running_loop().run_in_executor(None, done.get)
    process.join()
    await listener.stop()
    eliot.remove_destination(log)
    return processor_s, report


async def measure(callers, requests, body_bytes, keeps):
    """Return the router's processor seconds and the refused requests."""
    selector = ServerSelector(
        _StubView(),
        Placement(random.Random(1)),
        "east",
        _StubEngines(),
        HostDelay(),
        ServerNotices(),
        ServerLimits(None, lambda: "", lambda: 1),
    )
    forwarder = Forwarder(
        None,
        selector,
        None,
        lambda: RetryWindow(10.0, 0.2, 50.0, lambda: 66),
        AnswerSettings(),
    )
    endpoint = ForwardEndpoint(
        forwarder, StubSubscription(), PlatformHeaders(), MAX_HELD_BYTES
    )
    args = (callers, requests, body_bytes, keeps)
    return await measure_router(endpoint, None, run_callers, args)


def main(callers: int = 20, requests: int = 200, body_bytes: int = 17_000) -> None:
    """Print the cost of one refusal, on kept and on new connections."""
    for keeps in (True, False):
        processor_s, refused = asyncio.run(
            measure(callers, requests, body_bytes, keeps)
        )
        print(
            f"{'kept' if keeps else 'new'} connections, bodies of {body_bytes} bytes:"
            f" {refused} of {callers * requests} refused,"
            f" {processor_s / (callers * requests) * US_PER_S:.0f} us each"
        )


if __name__ == "__main__":
    cyclopts.run(main)
