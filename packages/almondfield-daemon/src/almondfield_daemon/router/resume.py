"""Resumes an event stream over a new connection when its connection is cut."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from result import Err, Ok, Result

from almondfield_daemon.router.calls import AnswerCutError, BackendAnswer, CallFailure
from almondfield_daemon.router.events import EventTracker, has_event_stream_type

__all__ = ["ResumingAnswer", "can_resume"]

MAX_RESUMES_WITHOUT_PROGRESS = 3
RESUME_DELAY_S = 0.1
UNRESUMABLE_HEADERS = (b"content-length", b"content-encoding")


def can_resume(answer: BackendAnswer) -> bool:
    """Return whether an answer is a plain event stream.

    :param answer: the answer.
    """
    names = {name.lower() for name, _ in answer.headers}
    if any(name in names for name in UNRESUMABLE_HEADERS):
        return False
    return answer.status == 200 and has_event_stream_type(answer.headers)


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
                rest = tracker.take_remainder()
                if rest:
                    yield rest
                return
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
