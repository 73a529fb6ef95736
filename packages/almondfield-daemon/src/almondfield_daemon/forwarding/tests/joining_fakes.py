"""Answers of fake servers that break a stream off or go on with it wrongly."""

from dataclasses import dataclass

from result import Ok

from almondfield_core.messages import ServerFailure
from almondfield_daemon.forwarding import AnswerMetadata
from almondfield_daemon.forwarding.tests.fakes import EVENTS, FakeAnswer, event
from almondfield_daemon.router.calls import AnswerCutError

ERROR = b'{"error": "overloaded"}'
HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
EVENT_STREAM = b"text/event-stream"


def events(first, last=EVENTS):
    """Return some events of a stream."""
    return b"".join(event(number) for number in range(first, last + 1))


@dataclass(frozen=True)
class Script:
    """What a server answers.

    :ivar body: the body.
    :ivar content_type: type of the answer; None for no header.
    :ivar status: its status.
    :ivar is_encoded: whether a content encoding changed its bytes.
    :ivar is_cut: whether the connection breaks off after the body.
    """

    body: bytes
    content_type: bytes | None = EVENT_STREAM
    status: int = 200
    is_encoded: bool = False
    is_cut: bool = False


# Answers to a request that goes on after event 2 of 6.
SCRIPT_BY_NAME = {
    "an error's text as JSON": Script(ERROR, b"application/json"),
    "an error's lines as JSON": Script(ERROR + b"\n\n", b"application/json"),
    "the right events as JSON": Script(events(3), b"application/json"),
    "an error's text as events": Script(ERROR + b"\n\n"),
    "an error's text without a type": Script(ERROR, None),
    "an error's text before the events": Script(ERROR + b"\n\n" + events(3)),
    "an error's line in the first event": Script(ERROR + b"\n" + events(3)),
    "a head before the events": Script(HEAD + events(3)),
    "a head in the first event": Script(HEAD.rstrip() + b"\r\n" + events(3)),
    "a field without data": Script(b"error: overloaded\n\n" + events(3)),
    "an event without a number": Script(b"event: error\ndata: overloaded\n\n"),
    "an event with a word as its number": Script(b"id: error\ndata: x\n\n"),
    "events from 4 on": Script(events(4)),
    "events from 1 on": Script(events(1)),
    "event 2 again and no other": Script(events(2, 2)),
    "event 2 again and events from 4 on": Script(events(2, 2) + events(4)),
    "no events": Script(b""),
    "no events and no type": Script(b"", None),
    "a comment": Script(b": overloaded\n\n"),
    "a part of a comment": Script(b": overloaded\n"),
    "blank lines": Script(b"\n\n\n\n"),
    "the right events with status 201": Script(events(3), status=201),
    "status 204": Script(b"", None, status=204),
    "status 404": Script(b"unknown", b"text/plain", status=404),
    "the right events, encoded": Script(events(3), is_encoded=True),
    "event 3 and events from 5 on": Script(events(3, 3) + events(5)),
    "event 3 and an error's text": Script(events(3, 3) + ERROR),
    "event 3 and an error's lines": Script(events(3, 3) + ERROR + b"\n\n" + events(4)),
    "event 3 and a head": Script(events(3, 3) + HEAD + ERROR + b"\n\n"),
    "a comment and the events": Script(b": hello\n\n" + events(3)),
    "the events and a comment": Script(events(3) + b": bye\n"),
    "event 2 again and the events": Script(events(2)),
    "the events without a type": Script(events(3), None),
    "a version and the events": Script(b"weight-versions: 2\n" + events(3)),
    "events to the last byte but one": Script(events(3)[:-1] + b"\r"),
}


def half_event(number):
    """Return the beginning of an event."""
    return event(number)[:-3]


class ScriptedAnswer(FakeAnswer):
    """An answer with the bytes of a script, one at a time or all at once."""

    def __init__(self, script, metadata, server, is_split):
        chunks = [script.body]
        if is_split:
            chunks = [script.body[i : i + 1] for i in range(len(script.body))]
        super().__init__(script.status, metadata, chunks, script.is_cut, server)
        self.headers = ((b"metadata", metadata),)
        if script.content_type is not None:
            self.headers += ((b"content-type", script.content_type),)

    async def chunks(self):
        """Yield the chunks of the body."""
        for chunk in self._chunks:
            yield chunk
        if self._is_truncated:
            raise AnswerCutError(ServerFailure.STREAM, "cut", is_cut=True)


def follow(server, script, is_split=False):
    """Let a fake server answer by a script."""

    async def answer(call, request_id):
        server.received.append(dict(call.headers)[b"last-event-id"].decode())
        metadata = AnswerMetadata(
            request_id, is_signed=True, is_encoded=script.is_encoded
        )
        return Ok(ScriptedAnswer(script, metadata, server, is_split))

    server.answer = answer
