"""Resumes an event stream over a new connection when its connection is cut."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from result import Err, Ok, Result

from almondfield_core.messages import ServerFailure
from almondfield_daemon.router.calls import AnswerCutError, BackendAnswer, CallFailure
from almondfield_daemon.router.event_types import find_header, has_event_stream_type
from almondfield_daemon.router.events import EventTracker
from almondfield_daemon.router.joining import AnswerHead, find_obstacle

__all__ = ["ResumingAnswer", "can_resume"]

MAX_RESUMES_WITHOUT_PROGRESS = 3
RESUME_DELAY_S = 0.1


def can_resume(answer: BackendAnswer) -> bool:
    """Return whether an answer is a plain event stream.

    :param answer: the answer.
    """
    if find_header(answer.headers, b"content-length") is not None:
        return False
    is_encoded = find_header(answer.headers, b"content-encoding") is not None
    head = AnswerHead(answer.status, answer.headers, is_encoded)
    return has_event_stream_type(answer.headers) and not find_obstacle(head)


class _NotJoinedError(AnswerCutError):
    """Raised if an answer does not go on with the stream."""


class ResumingAnswer:
    """An event stream that is resumed after a cut; implements ``BackendAnswer``.

    :param answer: the answer as first received.
    :param resume: requests the events after the given identifier from the same
        server, on a new connection.
    :param max_event_bytes: limit on one event, in bytes.
    """

    def __init__(
        self,
        answer: BackendAnswer,
        resume: Callable[[bytes], Awaitable[Result[BackendAnswer, CallFailure]]],
        max_event_bytes: int,
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self.status = answer.status
        self.headers = answer.headers
        self.framing = answer.framing
        self._answer = answer
        self._resume = resume

    @property
    def is_first(self) -> bool:
        """Return whether the newest answer is the first one of its connection."""
        return self._answer.is_first

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far of the newest answer."""
        return self._answer.received_bytes

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the stream, each event complete and exactly once.

        :raises AnswerCutError: if the stream cannot be resumed.
        """
        tracker = EventTracker(self._max_event_bytes)
        tries = 0
        while True:
            try:
                async for chunk in self._answer.chunks():
                    events = tracker.feed(chunk)
                    if events:
                        tries = 0
                        yield events
                    _check_joined(tracker)
                rest = tracker.finish()
                if rest:
                    yield rest
                _check_joined(tracker)
                return
            except _NotJoinedError:
                self._answer.close()
                raise
            except AnswerCutError as error:
                tries += 1
                await self._reconnect(tracker, tries, error)

    def close(self) -> None:
        """Discard the rest of the stream and close its connection."""
        self._answer.close()

    async def _reconnect(
        self, tracker: EventTracker, tries: int, error: AnswerCutError
    ) -> None:
        """Replace the answer with one that starts after the last complete event."""
        if tracker.last_id is None:
            raise error
        tracker.restart()
        while tries <= MAX_RESUMES_WITHOUT_PROGRESS:
            await asyncio.sleep(RESUME_DELAY_S * (tries - 1))
            match await self._resume(tracker.last_id):
                case Ok(answer) if can_resume(answer):
                    self._answer = answer
                    return
                case Ok(answer):
                    answer.close()
                    raise error
                case Err(_):
                    tries += 1
        raise error


def _check_joined(tracker: EventTracker) -> None:
    if tracker.obstacle:
        raise _NotJoinedError(ServerFailure.STREAM, tracker.obstacle)
