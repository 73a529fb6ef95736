"""Finds complete server-sent events in a byte stream."""

import math
import re
from dataclasses import replace

from almondfield_daemon.router.joining import JoinGuard, StreamPosition, begins_event

__all__ = ["EventBoundary", "EventTracker"]

# Each pattern begins with a set of bytes or a literal, for which a search is fast.
# A carriage return at the end may belong to a CRLF whose line feed is yet to arrive.
FIRST_LINE_END = rb"[\r\n](?:(?<=\n)|(?<=\r)\n|(?<=\r)(?!\n|\Z))"
LINE_ENDS = rb"(?:\n++|\r\n|\r(?!\n|\Z))"
# A run of blank lines is one end, so that each of them costs next to nothing.
EVENT_END = re.compile(FIRST_LINE_END + LINE_ENDS + rb"++")
EVENT_ID = re.compile(rb"id(?<![^\r\n]id): ?([^\r\n]*)")
EVENT_DATA = re.compile(rb"data(?<![^\r\n]data)[:\r\n]")
# At the end of a stream, a carriage return ends its line.
FINAL_LINE_END = rb"(?>\r\n|\n|\r)"
BLANK_LINES = re.compile(rb"[\r\n](?:(?<=\r)\n)?+(?>\n++|\r\n|\r)++")
COMMENTS = re.compile(rb"(?::[^\r\n]*" + FINAL_LINE_END + rb")*\Z")


class EventBoundary:
    """Determines whether a stream ends inside an event, and checks its limits.

    :param max_event_bytes: limit on one event, in bytes.
    :param max_eventless_bytes: limit on what comes between two events with data, in
        bytes.

    :ivar has_events: whether the stream has had an event, or a comment like one.
    :ivar is_oversized: whether an event, complete or not, is larger than the limit.
    :ivar is_eventless: whether more than the limit came without data.
    """

    def __init__(
        self, max_event_bytes: int, max_eventless_bytes: float = math.inf
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._max_eventless_bytes = max_eventless_bytes
        self._eventless_bytes = 0
        self.has_events = False
        self.is_oversized = False
        self.is_eventless = False
        self._rest = b""  # what follows the last blank line

    @property
    def is_inside_event(self) -> bool:
        """Return whether the stream would be truncated if it ended here.

        Complete lines of comments after the last event belong to no event.
        """
        return not COMMENTS.match(self._rest.lstrip(b"\r\n"))

    def feed(self, chunk: bytes) -> None:
        """Record the next bytes of the stream.

        :param chunk: the bytes.
        """
        data = self._rest + chunk
        start = 0
        # A blank line may begin with the last line end of the earlier bytes.
        for match in BLANK_LINES.finditer(data, max(0, len(self._rest) - 2)):
            self._check_size(match.end() - start)
            self._check_data(data, start, match)
            start = match.end()
        self._check_size(len(data) - start)
        self.has_events = self.has_events or start > 0
        self._rest = data[start:]
        if start == len(data) and data.endswith(b"\r"):
            # The line feed of a last CRLF may be yet to arrive.
            self._rest = b"\r"
            self._eventless_bytes -= 1  # counted with the next block

    def _check_size(self, size: int) -> None:
        if size > self._max_event_bytes:
            self.is_oversized = True

    def _check_data(self, data: bytes, start: int, blank_lines: re.Match) -> None:
        """Count the bytes since the last line of the last event with data.

        :param data: bytes with a block of lines that ends with blank lines.
        :param start: start of the block.
        :param blank_lines: the blank lines, with the line end before them.
        """
        if EVENT_DATA.search(data, start, blank_lines.end()):
            self._eventless_bytes = 0
            start = blank_lines.start()
        self._eventless_bytes += blank_lines.end() - start
        if self._eventless_bytes > self._max_eventless_bytes:
            self.is_eventless = True


class EventTracker:
    """Splits a stream at event boundaries and tracks the identifier of the last event.

    A body without events is passed on in parts that are larger than the limit. Only
    what goes on with it joins a stream that has begun.

    :param max_event_bytes: limit on one event, in bytes.
    :param position: where the stream has to go on; None if it has not begun.

    :ivar last_id: identifier of the last complete event; None if the stream cannot
        be resumed after it.
    """

    def __init__(
        self, max_event_bytes: int, position: StreamPosition | None = None
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self.last_id: bytes | None = None
        self._partial = b""
        self._block_count = 0
        self._oversized = False
        self._position = position
        self._guard = self._make_guard()

    @property
    def has_begun(self) -> bool:
        """Return whether this answer has to go on with events of an earlier one."""
        return self._guard is not None

    @property
    def obstacle(self) -> str:
        """Return why this answer can't go on with the stream; empty if it does."""
        return self._guard.obstacle if self._guard is not None else ""

    @property
    def unfinished_bytes(self) -> int:
        """Return the number of buffered bytes after the last complete event."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Return the buffered bytes up to the end of the last complete event.

        :param chunk: next bytes of the stream.
        """
        if self._oversized:
            return chunk
        data = self._partial + chunk
        complete_events = []
        start = 0
        # The end of an event may begin with up to three earlier bytes.
        for end in EVENT_END.finditer(data, max(0, len(self._partial) - 3)):
            event = data[start : end.end()]
            start = end.end()
            complete_events.append(self._admit(event))
        self._partial = data[start:]
        self._block_count += len(complete_events)
        if len(self._partial) > self._max_event_bytes:
            complete_events.append(self._give_up_events())
        return b"".join(complete_events)

    def take_block_count(self) -> int:
        """Return the number of events and other blocks since the last call."""
        count, self._block_count = self._block_count, 0
        return count

    def finish(self) -> bytes:
        """Return the bytes after the last complete event, at the end of the stream."""
        rest, self._partial = self._partial, b""
        if self._guard is None:
            return rest
        if rest:
            rest = self._admit(rest)
        self._guard.end()
        return rest

    def restart(self) -> None:
        """Discard a partial event; the resumed stream repeats it completely.

        The stream may also repeat the last complete event, which is then skipped.
        """
        if self._position is not None and begins_event(self._partial):
            self._position = replace(self._position, is_event_due=True)
        self._partial = b""
        self._guard = self._make_guard()

    def _make_guard(self) -> JoinGuard | None:
        if self._position is None:
            return None
        return JoinGuard(self._position, self._max_event_bytes)

    def _give_up_events(self) -> bytes:
        """Return bytes that are larger than an event may be."""
        rest, self._partial = self._partial, b""
        if self._guard is not None:
            self._guard.obstacle = f"no event within {self._max_event_bytes} bytes"
            return b""
        self._oversized = True
        self.last_id = None
        return rest

    def _admit(self, block: bytes) -> bytes:
        """Record an event's identifier and return what to deliver."""
        if self._guard is not None:
            block = self._guard.admit(block)
        if EVENT_DATA.search(block):
            ids = EVENT_ID.findall(block)
            self.last_id = ids[-1] if ids and ids[-1] else None
            if self.last_id is not None:
                position = self._position or StreamPosition(b"")
                self._position = position.after(self.last_id)
        return block
