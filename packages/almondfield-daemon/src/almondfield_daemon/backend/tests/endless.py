"""A scripted server that sends without end, and counts the bytes it could send."""

import asyncio
import socket
from dataclasses import replace

from almondfield_core.settings import AnswerSettings
from almondfield_daemon.backend import HttpBackends
from almondfield_daemon.router.tests.fakes import settings

# A client that takes this many bytes never lets the server go.
MAX_SENT_BYTES = 4 * 1024 * 1024
# Little is sent that the client has not read.
SEND_BUFFER_BYTES = 4096
LIMITS = AnswerSettings(
    max_head_bytes=8192, max_framing_bytes=4096, max_event_bytes=16384
)


def limited_backends():
    """Return a client with small limits on answers."""
    return HttpBackends(replace(settings(), answers=LIMITS))


class EndlessSender:
    """Sends a piece of bytes again and again until the client lets the server go."""

    def __init__(self):
        self.sent_bytes = 0
        self.is_let_go = False
        self.done = asyncio.Event()

    async def send(self, writer, piece):
        """Send the piece until the connection is closed."""
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(0)
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(piece)
                await writer.drain()
                # The client, on the same event loop, reads.
                await asyncio.sleep(0)
                self.sent_bytes += len(piece)
        except ConnectionError:
            self.is_let_go = True
        finally:
            self.done.set()
