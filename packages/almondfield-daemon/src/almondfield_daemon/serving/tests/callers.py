"""Callers that go on writing a request while its answer is on its way."""

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass

import httptools

ANSWER_TIMEOUT_S = 30.0
SLOW_PARTS = 40
SLOW_PAUSE_S = 0.01
SLOW_BYTES = 40 * 1024
# Larger than the buffers that the kernel gives both ends of a connection.
LARGE_BYTES = 16 * 1024 * 1024
LARGE_PART_BYTES = 256 * 1024


@dataclass
class Answer:
    """What a caller got.

    :ivar status: status of the last final answer; 0 without one.
    :ivar body: body of that answer.
    :ivar is_whole: whether the answer is complete.
    :ivar is_written: whether the caller could write its whole request.
    :ivar is_ended: whether the connection ended without a reset, or is kept.
    """

    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    is_written: bool = False
    is_ended: bool = False

    @property
    def is_good(self):
        """Return whether nothing was cut on either way."""
        return self.is_whole and self.is_written and self.is_ended


class _AnswerParser:
    def __init__(self, answer):
        self.is_kept = False
        self._answer = answer
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        self._answer.status = self._parser.get_status_code()

    def on_body(self, part):
        self._answer.body += part

    def on_message_complete(self):
        self._answer.is_whole = True
        self.is_kept = self._parser.should_keep_alive()

    def feed(self, data):
        self._parser.feed_data(data)


async def send_request(address, start, way, size=0):
    """Return what a caller gets that reads only after it has written its request.

    :param address: host and port.
    :param start: request line and header lines, without those on the body.
    :param way: "slowly" or at once; "in chunks" or by length.
    :param size: bytes of the body; 0 for more than the caller's limit and buffers.
    """
    is_slow = "slowly" in way
    size = size or (SLOW_BYTES if is_slow else LARGE_BYTES)
    part_size = size // SLOW_PARTS + 1 if is_slow else LARGE_PART_BYTES
    sizes = [min(part_size, size - done) for done in range(0, size, part_size)]
    parts = [b"x" * part for part in sizes]
    framing = b"content-length: %d\r\n\r\n" % size
    if "in chunks" in way:
        framing = b"transfer-encoding: chunked\r\n\r\n"
        parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
    pause_s = SLOW_PAUSE_S if is_slow else 0.0
    return await write_then_read(address, [start + framing, *parts], pause_s)


async def write_then_read(address, parts, pause_s):
    """Return what a caller gets that writes all parts before it reads.

    :param address: host and port.
    :param parts: the bytes, written one after the other.
    :param pause_s: seconds between two parts.
    """
    loop = asyncio.get_running_loop()
    answer = Answer()
    with socket.socket() as connection:
        connection.setblocking(False)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await loop.sock_connect(connection, address)
            with suppress(ConnectionError):
                for part in parts:
                    await loop.sock_sendall(connection, part)
                    await asyncio.sleep(pause_s)
                answer.is_written = True
            with suppress(ConnectionError):
                await _read(connection, answer)
                answer.is_ended = True
    return answer


async def _read(connection, answer):
    loop = asyncio.get_running_loop()
    parser = _AnswerParser(answer)
    while data := await loop.sock_recv(connection, 65536):
        parser.feed(data)
        if parser.is_kept:
            break
