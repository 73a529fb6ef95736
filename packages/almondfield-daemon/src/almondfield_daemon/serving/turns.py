"""Reads the input of connections in turns of bounded work."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from almondfield_daemon.serving.flow import InputFlow

__all__ = ["READ_BYTES", "InputTurns"]

READ_BYTES = 64 * 1024  # the most that is read from a connection at a time
# Requests of one connection whose heads are parsed before other connections go on. A
# refused one takes some 30 us.
MAX_HEADS_PER_TURN = 16
MAX_WAITING_REQUESTS = 100  # of a connection; with more, nothing is read from it
HEAD_END = b"\r\n\r\n"


class InputTurns(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Takes in the input of a connection in turns, between which others go on.

    What is received beyond a turn, behind many requests that wait, or while the caller
    doesn't read, is held back unparsed; then nothing further is read.

    :cvar read_buffer: what the connections of a listener read into, one at a time.
    """

    read_buffer = memoryview(b"")

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._unparsed = b""
        self._next_turn: asyncio.Handle | None = None
        self._heads_in_turn = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.flow = InputFlow(transport, self._take_in)

    def connection_lost(self, exc: Exception | None) -> None:
        self._drop_unparsed()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return what the next bytes are read into; called by the event loop."""
        return self.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Take in the bytes that were read; called by the event loop."""
        self.data_received(bytes(self.read_buffer[:count]))

    def data_received(self, data: bytes) -> None:
        """Take in bytes, as far as a turn goes."""
        if self._unparsed:
            # The transport may deliver once more after reading is paused.
            self._unparsed += data
            return
        self._heads_in_turn = 0
        self._parse(data)
        self._after_turn()

    def _parse_part(self, data: bytes) -> None:
        """Parse bytes that hold a bounded number of heads."""
        super().data_received(data)

    def _after_turn(self) -> None:
        """Count what the connection holds now."""

    @property
    def _stops_parsing(self) -> bool:
        """Return whether nothing of the input is parsed any more."""
        return self.transport.is_closing()

    @property
    def _holds_back(self) -> bool:
        """Return whether input has to wait for answers or for the caller to read."""
        if len(self.pipeline) > MAX_WAITING_REQUESTS:
            return True
        return self.flow.write_paused and not self._is_running

    @property
    def _is_running(self) -> bool:
        """Return whether a request waits for its answer."""
        return self.cycle is not None and not self.cycle.response_complete

    def _parse(self, data: bytes) -> None:
        # Most input is one request, or a part of one.
        if data.count(HEAD_END) <= MAX_HEADS_PER_TURN and not self._holds_back:
            self._parse_part(data)
            return
        start = 0
        while start < len(data) and not self._stops_parsing:
            if self._holds_back or self._heads_in_turn >= MAX_HEADS_PER_TURN:
                self._hold_back(data[start:])
                return
            end = _end_of_heads(data, start, MAX_HEADS_PER_TURN - self._heads_in_turn)
            self._parse_part(data[start:end])
            start = end

    def _hold_back(self, data: bytes) -> None:
        self._unparsed = data
        self.flow.pause_reading()
        if not self._holds_back:
            self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self._next_turn is None:
            self._next_turn = self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._next_turn = None
        data, self._unparsed = self._unparsed, b""
        if not data or self._stops_parsing:
            return
        self._heads_in_turn = 0
        self._parse(data)
        self._after_turn()
        if not self._unparsed and not self._stops_parsing:
            self.flow.resume_reading()

    def _take_in(self) -> bool:
        if self._holds_back:
            return False
        if self._unparsed:
            self._schedule_turn()
            return False
        return True

    def _drop_unparsed(self) -> None:
        self._unparsed = b""
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None


def _end_of_heads(data: bytes, start: int, count: int) -> int:
    """Return where the given number of heads or blank lines has ended."""
    end = start
    for _ in range(count):
        found = data.find(HEAD_END, end)
        if found < 0:
            return len(data)
        end = found + len(HEAD_END)
    return end
