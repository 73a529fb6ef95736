"""Answers that the router returns to a caller."""

from collections.abc import AsyncIterator, Callable
from typing import Protocol

from almondfield_core.messages import ServerFailure, StoredAnswer
from almondfield_daemon.router.calls import AnswerCutError, Header
from almondfield_daemon.router.dispatch import Dispatched

__all__ = ["Answer", "RoutedAnswer", "StoredReply"]


class Answer(Protocol):
    """An answer for a caller; its body may still be arriving."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""

    @property
    def headers(self) -> tuple[Header, ...]:
        """Return the end-to-end headers."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body as they arrive.

        :raises AnswerCutError: if the body ends before it is complete.
        """

    def close(self) -> None:
        """Discard the rest of the answer and release its resources."""


class RoutedAnswer:
    """A backend server's answer; holds its slot until it is read or closed.

    :param dispatched: the answer and its slot.
    :param finished: called once the answer is read or closed, with its failure
        or None.
    """

    def __init__(
        self,
        dispatched: Dispatched,
        finished: Callable[[ServerFailure | None], None],
    ) -> None:
        self.status = dispatched.answer.status
        self.headers = dispatched.answer.headers
        self._dispatched: Dispatched | None = dispatched
        self._finished = finished

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body as they arrive.

        :raises AnswerCutError: if the body ends before it is complete.
        """
        failure = None
        try:
            async for chunk in self._dispatched.answer.chunks():
                yield chunk
        except AnswerCutError as error:
            failure = error.failure
            raise
        finally:
            self._finish(failure)

    def close(self) -> None:
        """Cancel the call if it is still running, and release the slot."""
        self._finish(None)

    def _finish(self, failure: ServerFailure | None) -> None:
        if self._dispatched is None:
            return
        dispatched, self._dispatched = self._dispatched, None
        dispatched.answer.close()
        dispatched.slot.release(failure)
        self._finished(failure)


class StoredReply:
    """An answer stored under an idempotency key, replayed to a caller.

    :param stored: the answer.
    """

    def __init__(self, stored: StoredAnswer) -> None:
        self.status = stored.status
        self.headers = tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in stored.headers
        )
        self._body = stored.body

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the body."""
        if self._body:
            yield self._body

    def close(self) -> None:
        """Do nothing; a stored answer holds no resources."""
