"""A scripted backend server on a free port, and calls to it."""

import asyncio
import socket
import struct

from result import Err, Ok

from almondfield_core.tables import Timeouts
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.router import AnswerCutError, BackendCall
from almondfield_daemon.router.tests.fakes import settings

LONG_TIMEOUTS = Timeouts(connect_s=10.0, first_byte_s=10.0, chunk_s=10.0)
SHORT_TIMEOUTS = Timeouts(connect_s=0.05, first_byte_s=0.05, chunk_s=0.05)
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def unescape(text):
    """Return a text as bytes, with its escaped line ends decoded."""
    return text.replace("\\r", "\r").replace("\\n", "\n").encode()


def socket_address(listener):
    """Return the ``host:port`` address of a listening socket."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


class ScriptedServer:
    """Serves each connection with a script, and records what it receives."""

    def __init__(self, script):
        self.script = script
        self.heads = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.late_answer_due = asyncio.Event()

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = socket_address(server.sockets[0])

    async def request(self, reader):
        """Read one request, record its head and return its body."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        lines = head.lower().split(b"\r\n")
        lengths = [line for line in lines if line.startswith(b"content-length:")]
        length = int(lengths[0].split(b":")[1]) if lengths else 0
        return await reader.readexactly(length)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self.script(self, reader, writer)
        except (EOFError, ConnectionError, asyncio.CancelledError):
            self.closed.set()
        finally:
            writer.close()


def start(context, script, timeouts=LONG_TIMEOUTS):
    """Start a scripted server and a client for it."""
    context.timeouts = timeouts
    context.server = ScriptedServer(script)
    context.loop.run_until_complete(context.server.start())
    context.address = context.server.address


def end_at_once(writer):
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def answer_once(data):
    """Return a script that answers one request."""

    async def script(server, reader, writer):
        await server.request(reader)
        writer.write(data)
        await writer.drain()

    return script


async def send(
    context,
    method,
    headers=(),
    body=b"",
    pooled=False,
    backends=None,
    may_end_by_close=False,
):
    """Return the result's kind, the answer or failure, and the body received."""
    call = BackendCall(
        context.address,
        method,
        b"/p",
        headers,
        body,
        context.timeouts,
        pooled,
        may_end_by_close=may_end_by_close,
    )
    backends = backends or HttpBackends(settings())
    match await backends.send(call):
        case Err(failure):
            return ("unknown" if failure.may_have_run else "not-run", failure, b"")
        case Ok(answer):
            received = b""
    try:
        async for chunk in answer.chunks():
            received += chunk
    except AnswerCutError:
        return ("cut", answer, received)
    return ("complete", answer, received)
