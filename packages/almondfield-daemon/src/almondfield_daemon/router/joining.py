"""Decides what may join a stream whose first events its caller has.

This holds for each answer that goes on with a stream, whoever asked for it: a router
that resumes the stream within one answer, or a caller that takes it up.
"""

import re
from dataclasses import dataclass

from almondfield_daemon.router.calls import Header
from almondfield_daemon.router.event_types import EVENT_STREAM_TYPE, media_type

__all__ = [
    "WRONG_VERSION",
    "AnswerHead",
    "JoinGuard",
    "StreamPosition",
    "begins_event",
    "find_obstacle",
]

WRONG_VERSION = "the server restarted with another version"
MAX_SHOWN_BYTES = 40  # of bytes that are no event, in error messages
MAX_DIGITS = 18
LINE_END = re.compile(rb"\r\n|\n|\r")
# Lower case, as extensions of the format are; heads and prose don't match.
FIELD = re.compile(rb"(data|event|id|retry)(?::(.*))?|([a-z][a-z0-9-]*):.*")


@dataclass(frozen=True)
class AnswerHead:
    """What is known of an answer before its body.

    :ivar status: HTTP status.
    :ivar headers: headers as received.
    :ivar is_encoded: whether a content encoding changed the bytes of its body.
    :ivar names_request: whether it names the request that it answers.
    :ivar is_signed: whether it has the server's signature.
    :ivar has_wrong_version: whether its server restarted with another version than the
        one that began the stream.
    """

    status: int
    headers: tuple[Header, ...]
    is_encoded: bool = False
    names_request: bool = True
    is_signed: bool = True
    has_wrong_version: bool = False


@dataclass(frozen=True)
class StreamPosition:
    """Where a stream that has begun has to go on.

    :ivar last_id: identifier of the last event that the caller has; empty if unknown.
    :ivar is_consecutive: whether the identifiers so far have no gaps, as far as they
        are numbers.
    :ivar is_event_due: whether the stream is known to have a further event.
    """

    last_id: bytes
    is_consecutive: bool = True
    is_event_due: bool = False

    def after(self, event_id: bytes) -> "StreamPosition":
        """Return the position after the next event.

        :param event_id: identifier of that event; an empty one changes nothing.
        """
        if not event_id:
            return self
        last, number = _number(self.last_id), _number(event_id)
        has_gap = last is not None and number is not None and number != last + 1
        is_consecutive = self.is_consecutive and not has_gap
        return StreamPosition(event_id, is_consecutive)


@dataclass(frozen=True)
class _Event:
    """An event.

    :ivar event_id: its identifier; empty for none.
    """

    event_id: bytes


@dataclass(frozen=True)
class _Comment:
    """Comments, blank lines or a retry time, which belong to no event."""


@dataclass(frozen=True)
class _Foreign:
    """Bytes that are no part of an event stream.

    :ivar line: the first line of them.
    """

    line: bytes


def begins_event(data: bytes) -> bool:
    """Return whether the bytes at which a stream broke off belong to a further event.

    :param data: the bytes after the last event.
    """
    lines = LINE_END.split(data)
    for line in lines:
        if line and not line.startswith(b":"):
            names = (b"data:", b"event:", b"id:")
            is_part = any(name.startswith(line) for name in names)
            return is_part or FIELD.fullmatch(line) is not None
    return False


def find_obstacle(head: AnswerHead) -> str:
    """Return why an answer may not go on with a stream; empty if its head allows it.

    An answer without a type is judged by its events alone.

    :param head: what is known of the answer.
    """
    content_type = media_type(head.headers)
    match head:
        case AnswerHead(names_request=False):
            return "the answer does not name its request"
        case AnswerHead(is_signed=False):
            return "the answer has no signature"
        case AnswerHead(status=status) if status != 200:
            return f"the answer has status {status}; a stream goes on with 200"
        case AnswerHead(is_encoded=True):
            return "the answer has a content encoding"
        case AnswerHead(has_wrong_version=True):
            return WRONG_VERSION
        case _ if content_type not in (None, EVENT_STREAM_TYPE):
            name = content_type.decode("latin-1")
            return f"the answer has type {name!r}; a stream goes on with events"
        case _:
            return ""


class JoinGuard:
    """Lets only the events that are due join a stream that has begun.

    The last event may be repeated once, and is left out. Comments before the first
    event are held until it has come, as an answer without events has no part in the
    stream.

    :param position: where the stream has to go on.
    :param max_held_bytes: limit on the comments that are held, in bytes.

    :ivar position: where the stream has to go on now.
    :ivar obstacle: why the answer can't go on with the stream; empty if it does so far.
    """

    def __init__(self, position: StreamPosition, max_held_bytes: int) -> None:
        self.position = position
        self.obstacle = ""
        self._max_held_bytes = max_held_bytes
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._has_event = False
        self._has_repeated = False

    def admit(self, block: bytes) -> bytes:
        """Return the bytes to deliver now that a block of lines has come.

        :param block: lines up to a blank line, or the lines before the end.
        """
        if self.obstacle:
            return b""
        match _parse(block):
            case _Foreign(line):
                shown = line[:MAX_SHOWN_BYTES]
                self.obstacle = f"{shown!r} is no part of an event"
                return b""
            case _Comment() if self._has_event:
                return block
            case _Comment():
                self._hold(block)
                return b""
            case _Event(event_id):
                return self._admit_event(event_id, block)

    def end(self) -> None:
        """Record the end of the answer.

        A stream that broke off inside an event isn't over because its next server has
        nothing to say.
        """
        if self.obstacle or self._has_event:
            return
        if self.position.is_event_due:
            self.obstacle = f"the answer has no event after {self.position.last_id!r}"

    def _admit_event(self, event_id: bytes, block: bytes) -> bytes:
        last_id = self.position.last_id
        is_repeat = bool(event_id) and event_id == last_id
        if is_repeat and not self._has_event and not self._has_repeated:
            self._has_repeated = True
            return b""
        if not _is_due(self.position, event_id, is_first=not self._has_event):
            self.obstacle = f"event {event_id!r} does not follow event {last_id!r}"
            return b""
        self._has_event = True
        self.position = self.position.after(event_id)
        held = b"".join(self._held)
        self._held.clear()
        return held + block

    def _hold(self, block: bytes) -> None:
        self._held.append(block)
        self._held_bytes += len(block)
        if self._held_bytes > self._max_held_bytes:
            self.obstacle = f"no event within {self._max_held_bytes} bytes"


def _is_due(position: StreamPosition, event_id: bytes, is_first: bool) -> bool:
    """Return whether an event may be the next one."""
    if not position.last_id:
        return True
    if not event_id:
        return not is_first
    last, number = _number(position.last_id), _number(event_id)
    if last is None and number is None:
        return event_id != position.last_id
    if last is None or number is None:
        return False
    return number == last + 1 or (not position.is_consecutive and number > last)


def _number(event_id: bytes) -> int | None:
    if event_id.isdigit() and len(event_id) <= MAX_DIGITS:
        return int(event_id)
    return None


def _parse(block: bytes) -> _Event | _Comment | _Foreign:
    """Return what the lines of a block are."""
    event_id = b""
    has_data = False
    other_line = b""
    for line in LINE_END.split(block):
        if not line or line.startswith(b":"):
            continue
        field = FIELD.fullmatch(line)
        if field is None:
            return _Foreign(line)
        match field[1]:
            case b"data":
                has_data = True
            case b"id":
                event_id = (field[2] or b"").removeprefix(b" ")
            case b"retry":
                continue
        other_line = other_line or line
    if has_data:
        return _Event(event_id)
    return _Foreign(other_line) if other_line else _Comment()
