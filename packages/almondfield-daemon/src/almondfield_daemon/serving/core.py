"""Serves ASGI applications with uvicorn on the daemon's event loop."""

import asyncio
import contextlib
import math
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from almondfield_core.clock import now
from almondfield_core.findings import AlmondfieldError
from almondfield_daemon.connection_budget import ConnectionBudget
from almondfield_daemon.loop_delay import AcceptTimes
from almondfield_daemon.serving.gate import Gate
from almondfield_daemon.serving.protocol import make_protocol
from almondfield_daemon.serving.request_limits import RequestLimits

__all__ = ["BACKLOG", "HttpListener", "ListenError", "bind"]

BACKLOG = 2048
# So that the other work of the event loop goes on while many callers connect at once.
ACCEPTS_PER_ITERATION = 16
CONNECT_ITERATIONS = 3  # of the event loop, until an accepted connection can be read
KEEP_ALIVE_S = 75
MAX_HEADER_LINES = 8192  # a head of 16 KiB has 5,461 lines of 3 bytes at most
MAX_HELD_BYTES = 64 * 1024 * 1024  # where a process has no budget of its own
HEAD_TIMEOUT_S = 30.0
CLOSE_PAUSE_S = 0.1  # uvicorn sleeps as long before it counts the time of a stop


class ListenError(AlmondfieldError):
    """Raised when an address and port cannot be listened on."""


def bind(address: str, port: int) -> socket.socket:
    """Return a socket bound to an address and port.

    :param address: IP address of this host.
    :param port: port number.
    :raises ListenError: if the port is in use or the address is not this host's.
    """
    # asyncio disables Nagle's algorithm only if the socket's protocol is IPPROTO_TCP.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
    except OSError as error:
        listener.close()
        raise ListenError(f"cannot listen on {address}:{port}: {error}") from None
    listener.setblocking(False)
    return listener


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers and without periodic ticks."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.running = asyncio.Event()
        self.exit_requested = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        # The first tick sets the default headers. Later ticks would only refresh the
        # date header, which these listeners don't send.
        await self.on_tick(0)
        self.running.set()
        await self.exit_requested.wait()


class HttpListener:
    """Serves one application on one bound socket.

    :param app: the application.
    :param listener: socket to serve on, from :func:`bind`.
    :param max_header_bytes: largest header section of a request, in bytes.
    :param gate: decides on requests by their heads; None to pass all of them on.
    :param backlog: largest number of connections that wait to be accepted.
    :param max_header_lines: most header lines of a request.
    :param budget: limits what the connections of the process hold in memory; None for
        a budget of the listener's own.
    :param holds_bodies: whether the application holds bodies of requests and doesn't
        count them itself.
    """

    def __init__(
        self,
        app: ASGIApp,
        listener: socket.socket,
        max_header_bytes: int,
        gate: Gate | None = None,
        backlog: int = BACKLOG,
        max_header_lines: int = MAX_HEADER_LINES,
        budget: ConnectionBudget | None = None,
        holds_bodies: bool = False,
    ) -> None:
        self._backlog = backlog
        self._protocol = make_protocol(
            RequestLimits(max_header_bytes, max_header_lines),
            HEAD_TIMEOUT_S,
            AcceptTimes(ACCEPTS_PER_ITERATION, backlog),
            budget or ConnectionBudget(MAX_HELD_BYTES),
            gate,
            holds_bodies,
        )
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=self._protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            # asyncio accepts up to this number of connections in one iteration.
            backlog=ACCEPTS_PER_ITERATION,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self._server = _Server(config)
        self._listener = listener
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Return once requests are accepted."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._listener]))
        running = asyncio.create_task(self._server.running.wait())
        await asyncio.wait([running, self._task], return_when=asyncio.FIRST_COMPLETED)
        running.cancel()
        if not self._task.done():
            self._listener.listen(self._backlog)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    def accepted_count(self) -> int:
        """Return the number of connections accepted since the start."""
        return self._protocol.accepted

    async def stop(self, within_s: float | None = None) -> None:
        """Return once running requests have finished and connections are closed.

        :param within_s: time after which requests that still run are cancelled, in
            seconds; None for no limit.
        """
        if self._task is None:
            return
        if not self._server.exit_requested.is_set():
            until_s = math.inf if within_s is None else now() + within_s
            await self._accept_waiting()
            if until_s < math.inf:
                left_s = max(0.0, until_s - now() - CLOSE_PAUSE_S)
                self._server.config.timeout_graceful_shutdown = left_s
            self._server.exit_requested.set()
        await self._task

    async def _accept_waiting(self) -> None:
        """Accept the connections that wait, and no others.

        The stop resets what waits to be accepted, and a connection that is made after
        it would not be told of it.
        """
        for _ in range(math.ceil(self._backlog / ACCEPTS_PER_ITERATION)):
            await asyncio.sleep(0)
        if not self._task.done():
            asyncio.get_running_loop().remove_reader(self._listener)
        for _ in range(CONNECT_ITERATIONS):
            await asyncio.sleep(0)
