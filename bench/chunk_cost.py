"""Measures the processor time that a router needs for one streamed chunk.

The backend server and the callers run in separate processes; only the router's
process is measured. Run ``python bench/chunk_cost.py``.
"""

import asyncio
import multiprocessing
import time

import cyclopts
from result import Ok

from almondfield_core.messages import ServerSlots
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Pool, Route, Tables, hash_key
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.edge import build_caller_app
from almondfield_daemon.router import Router
from almondfield_daemon.serving import HttpListener, bind

EVENT = b'id: %d\ndata: {"token":"almond"}\n\n'
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
REQUEST = (
    b"POST /write HTTP/1.1\r\nhost: x\r\nauthorization: Bearer k\r\n"
    b"content-length: 2\r\n\r\n{}"
)
US_PER_S = 1e6
MAX_HEADER_BYTES = 64 * 1024


class _StubSlot:
    def __init__(self, server):
        self.server = server

    def release(self, failure=None):
        pass


class _StubSlots:
    def __init__(self, server):
        self._slot = _StubSlot(server)

    async def acquire(self, request):
        return Ok(self._slot)


class _StubView:
    def __init__(self):
        routes = (Route("team", "/", "pool", key_hashes=(hash_key("k"),)),)
        self.tables = Tables(1, (Pool("pool"),), routes)

    def freshness_left_s(self):
        return 3.0


async def send_events(writer, events, gap_s):
    """Write the body of a stream in chunks, one event per gap, and close."""
    for event in events:
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    writer.close()


def serve_connections(ports, serve):
    """Serve the connections of a free port until the process ends; tell the port."""

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
        ports.put(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())


def run_backend(ports, events, gap_s):
    """Serve event streams, one event per gap."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        await send_events(writer, [EVENT % n for n in range(events)], gap_s)

    serve_connections(ports, serve)


def run_callers(done, port, streams):
    """Read streams to the end and report the total number of bytes."""

    async def read():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        size = 0
        tail = b""
        while not tail.endswith(b"0\r\n\r\n"):
            data = await reader.read(65536)
            if not data:
                break
            size += len(data)
            tail = (tail + data)[-5:]
        writer.close()
        return size

    async def main():
        return await asyncio.gather(*(read() for _ in range(streams)))

    done.put(sum(asyncio.run(main())))


async def measure(streams, events, gap_s, resumes):
    """Return the router's processor and wall-clock seconds for all streams."""
    spawn = multiprocessing.get_context("spawn")
    ports, done = spawn.Queue(), spawn.Queue()
    backend = spawn.Process(target=run_backend, args=(ports, events, gap_s))
    backend.start()
    loop = asyncio.get_running_loop()
    port = await loop.run_in_executor(None, ports.get)
    host = HostSettings("h1", "dc1", "127.0.0.1")
    settings = DaemonSettings("h1", (host,), SecuritySettings("", "", ""))
    server = ServerSlots("s1", 1, f"127.0.0.1:{port}", streams, resumes)
    router = Router(
        _StubView(), _StubSlots(server), None, HttpBackends(settings), settings
    )
    app = build_caller_app(router, None, settings, "token")
    socket = bind("127.0.0.1", 0)
    listener = HttpListener(app, socket, MAX_HEADER_BYTES)
    await listener.start()
    args = (done, socket.getsockname()[1], streams)
    callers = spawn.Process(target=run_callers, args=args)
    callers.start()
    while router.stats().served < streams:
        await asyncio.sleep(0.01)
    processor_s, wall_s = time.process_time(), time.perf_counter()
    while router.running:
        await asyncio.sleep(0.05)
    processor_s = time.process_time() - processor_s
    wall_s = time.perf_counter() - wall_s
    await loop.run_in_executor(None, done.get)
    callers.join()
    backend.terminate()
    await listener.stop()
    return processor_s, wall_s


def main(
    streams: int = 50, events: int = 300, gap_s: float = 0.02, resumes: bool = False
) -> None:
    """Print the cost of one chunk."""
    processor_s, wall_s = asyncio.run(measure(streams, events, gap_s, resumes))
    chunks = streams * events
    print(
        f"{chunks} chunks in {wall_s:.1f} s ({chunks / wall_s:.0f}/s):"
        f" {processor_s / chunks * US_PER_S:.1f} us of processor time each"
    )


if __name__ == "__main__":
    cyclopts.run(main)
