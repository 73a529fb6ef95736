"""Measures the processor time that a router needs for one prompt, by its pool's size.

The callers and the backend server run in separate processes, and a stand-in of the
scheduler decides at once; only the router's process is measured. Run
``python bench/request_cost.py``.
"""

import asyncio
import multiprocessing
import random

import cyclopts

from almondfield_core.settings import (
    AnswerSettings,
    DaemonSettings,
    HostSettings,
    SecuritySettings,
)
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.fleet.messages import RouterHello, RouterState
from almondfield_daemon.forwarding import (
    AttemptSender,
    ForwardEndpoint,
    Forwarder,
    RetryWindow,
    ServerSelector,
)
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.scheduling import EngineAssignment
from almondfield_daemon.scheduling.messages import EngineInFlight
from almondfield_daemon.server_limits import ServerLimits
from almondfield_daemon.server_notices import ServerNotices
from almondfield_fairshare.prefix_placement import Placement
from almondfield_platform.headers import PlatformHeaders
from chunk_cost import send_events, serve_connections
from refusal_cost import (
    MAX_HELD_BYTES,
    POOL,
    REFUSAL,
    US_PER_S,
    StubSubscription,
    make_request,
    measure_router,
)

EVENT = b"id: %d\ndata: %b\n\n"
EVENT_DATA = b"t" * 40
EVENT_GAP_S = 0.01
SLOTS = 16


class _StubReports:
    def begin_answer(self, item):
        pass

    def end(self, item):
        pass


class _StubEngines:
    """Decides at once: admits at a random server, or refuses for the team's share."""

    has_undecided = False

    def __init__(self, servers, refuses):
        self._servers = servers
        self._refuses = refuses

    def held_refusal(self, pool, team, prompt):
        pass

    def may_ask(self, latency_target_s):
        return True

    def may_go_on(self, pool, team):
        return False

    def last_server(self, prompt):
        return ""

    def record_server(self, pool, prompt, server, started_ms):
        pass

    async def request_engine(self, pool, request):
        await asyncio.sleep(0)
        if self._refuses:
            return REFUSAL
        server = random.choice(self._servers).name
        return EngineAssignment(_StubReports(), EngineInFlight(1, pool, server, 1), 0.0)


class _StubOrigins:
    def record(self, origin):
        pass


def run_backend(ports, events):
    """Answer each request with a stream of events."""

    async def serve(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        lines = (line.split(b": ", 1) for line in head.split(b"\r\n") if b": " in line)
        value_by_name = dict(lines)
        await reader.readexactly(int(value_by_name[b"content-length"]))
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"server-signature: s\r\ntransfer-encoding: chunked\r\nattempt-id: "
            + value_by_name[b"attempt-id"]
            + b"\r\n\r\n"
        )
        items = [EVENT % (number + 1, EVENT_DATA) for number in range(events)]
        await send_events(writer, items, EVENT_GAP_S)

    serve_connections(ports, serve)


def run_callers(done, port, callers, requests, body_bytes):
    """Send requests on new connections; report how many were answered whole."""

    async def send(caller):
        complete = 0
        for number in range(requests):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(make_request(caller * requests + number, body_bytes))
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                complete += (await reader.readuntil(b"0\r\n\r\n")).endswith(b"\n")
            else:
                complete += head.startswith(b"HTTP/1.1 503")
            writer.close()
        return complete

    async def main():
        return await asyncio.gather(*(send(caller) for caller in range(callers)))

    done.put(sum(asyncio.run(main())))


async def measure(servers, events, refuses, callers, requests, body_bytes):
    """Return the router's processor seconds and the requests that were answered."""
    spawn = multiprocessing.get_context("spawn")
    loop = asyncio.get_running_loop()
    ports = spawn.Queue()
    backend = spawn.Process(target=run_backend, args=(ports, events))
    backend.start()
    address = f"127.0.0.1:{await loop.run_in_executor(None, ports.get)}"
    endpoint = _make_endpoint(servers, address, refuses)
    args = (callers, requests, body_bytes)
    try:
        return await measure_router(endpoint, endpoint.intake, run_callers, args)
    finally:
        backend.terminate()


def _make_endpoint(count, address, refuses):
    """Return the endpoint of a router whose servers all have one address."""
    hello = RouterHello("east", "r", "127.0.0.1:1", RouterState.READY)
    view = FleetView(None, hello, (), lambda: None)
    servers = [FleetServer(f"s{n}", POOL, address, "east", SLOTS) for n in range(count)]
    for server in servers:
        # A merge would let only one server have the address.
        view._registry._put(server)
    selector = ServerSelector(
        view,
        Placement(random.Random(1)),
        "east",
        _StubEngines(servers, refuses),
        HostDelay(),
        ServerNotices(),
        ServerLimits(None, lambda: "", lambda: 1),
    )
    host = HostSettings("h", "east", "127.0.0.1")
    settings = DaemonSettings("h", (host,), SecuritySettings("", "", ""))
    codec = PlatformHeaders()
    limits = AnswerSettings()
    attempts = AttemptSender(
        HttpBackends(settings), codec, HostDelay(), limits.max_discarded_bytes
    )
    forwarder = Forwarder(
        attempts,
        selector,
        _StubOrigins(),
        lambda: RetryWindow(10.0, 0.2, 50.0, lambda: 66),
        limits,
    )
    endpoint = ForwardEndpoint(forwarder, StubSubscription(), codec, MAX_HELD_BYTES)
    endpoint.limit_connections(lambda: 0, 1)
    return endpoint


def main(callers: int = 20, requests: int = 100, body_bytes: int = 17_000) -> None:
    """Print the cost of one prompt, refused by the scheduler and served."""
    for refuses, events in ((True, 0), (False, 1), (False, 20)):
        for servers in (45, 140):
            processor_s, answered = asyncio.run(
                measure(servers, events, refuses, callers, requests, body_bytes)
            )
            kind = "refused" if refuses else f"served with {events} events"
            print(
                f"{servers} servers, {kind}: {answered} of {callers * requests},"
                f" {processor_s / (callers * requests) * US_PER_S:.0f} us each"
            )


if __name__ == "__main__":
    cyclopts.run(main)
