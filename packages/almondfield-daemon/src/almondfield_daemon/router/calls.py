"""The interface through which the router calls backend servers, and its data."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

from almondfield_core.findings import AlmondfieldError
from almondfield_core.messages import ServerFailure
from almondfield_core.tables import Timeouts

__all__ = [
    "FIRST_ERROR_STATUS",
    "SUCCESS_STATUSES",
    "AnswerCutError",
    "AnswerHead",
    "BackendAnswer",
    "BackendCall",
    "Backends",
    "CallFailure",
    "Framing",
    "Header",
]

Header = tuple[bytes, bytes]

SUCCESS_STATUSES = range(200, 300)
FIRST_ERROR_STATUS = 500


class Framing(StrEnum):
    """How an answer states where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class AnswerCutError(AlmondfieldError):
    """Raised when an answer ends before it is complete.

    :param failure: kind of the failure.
    :param reason: description of the failure.
    :param timed_out: whether nothing arrived within a timeout.
    :param is_cut: whether the server closed or reset the connection.
    """

    def __init__(
        self,
        failure: ServerFailure,
        reason: str,
        timed_out: bool = False,
        is_cut: bool = False,
    ) -> None:
        super().__init__(reason)
        self.failure = failure
        self.timed_out = timed_out
        self.is_cut = is_cut


@dataclass(frozen=True)
class AnswerHead:
    """The head of an answer.

    :ivar status: HTTP status.
    :ivar headers: end-to-end headers, unchanged.
    :ivar received_s: latest time at which it can have arrived, in seconds of the loop's
        clock.
    """

    status: int
    headers: tuple[Header, ...]
    received_s: float


@dataclass(frozen=True)
class BackendCall:
    """One attempt to run a request on a backend server.

    :ivar address: ``host:port`` of the server.
    :ivar method: HTTP method.
    :ivar target: path and query as the caller sent them.
    :ivar headers: end-to-end headers, without ``host`` and ``content-length``.
    :ivar body: the complete body.
    :ivar timeouts: timeouts of the pool.
    :ivar pooled: whether a pooled connection may be used.
    :ivar authority: value of the ``host`` header; empty to use the address.
    :ivar may_end_by_close: whether an answer without a length is complete when the
        server closes the connection.
    :ivar expects_events: whether a success without a content type is an event stream.
    :ivar prepare_headers: returns the headers when the connection is there, instead of
        ``headers``; it may raise an error, and then nothing is sent. None to use them.
    :ivar on_head: called with the head of the answer as it arrives, whether or not
        the answer is used; None for nothing.
    """

    address: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    timeouts: Timeouts
    pooled: bool
    authority: bytes = b""
    may_end_by_close: bool = False
    expects_events: bool = False
    prepare_headers: Callable[[], tuple[Header, ...]] | None = None
    on_head: Callable[[AnswerHead], None] | None = None


@dataclass(frozen=True)
class CallFailure:
    """Why a call returned no answer.

    :ivar failure: kind of the failure.
    :ivar may_have_run: whether any byte of the request may have been sent.
    :ivar reason: description of the failure.
    :ivar stale: whether a pooled connection was closed before the first byte of the
        answer, as happens when the server closes an idle connection.
    :ivar timed_out: whether nothing arrived within a timeout.
    :ivar is_cut: whether the server closed or reset the connection amid the request;
        not for an idle connection that was closed meanwhile.
    :ivar is_idle_cut: whether it closed or reset a pooled connection so soon that the
        connection may have been idle for the server.
    :ivar is_refused: whether its host refused the connection, as no process listens at
        the address.
    """

    failure: ServerFailure
    may_have_run: bool
    reason: str
    stale: bool = False
    timed_out: bool = False
    is_cut: bool = False
    is_idle_cut: bool = False
    is_refused: bool = False


class BackendAnswer(Protocol):
    """An answer whose head has been received and whose body may still be arriving."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""

    @property
    def headers(self) -> tuple[Header, ...]:
        """Return the end-to-end headers, unchanged."""

    @property
    def framing(self) -> Framing:
        """Return how the answer states where its body ends."""

    @property
    def is_first(self) -> bool:
        """Return whether its connection carried no answer before.

        Another answer may be a repetition of an earlier one.
        """

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far, with the head and the framing."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body as they arrive.

        :raises AnswerCutError: if the body ends before it is complete; an event stream
            that ends inside an event is not, however it is framed.
        """

    def close(self) -> None:
        """Discard the answer and close its connection."""


class Backends(Protocol):
    """Sends requests to backend servers."""

    async def send(self, call: BackendCall) -> Result[BackendAnswer, CallFailure]:
        """Return the answer of a backend server once its head is received.

        :param call: the attempt; it is sent at most once.
        """
