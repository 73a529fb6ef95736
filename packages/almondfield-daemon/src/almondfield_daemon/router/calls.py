"""Calls to backend servers: the port that the router uses, and its data."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from result import Result

from almondfield_core.findings import AlmondfieldError
from almondfield_core.messages import ServerFailure
from almondfield_core.tables import Timeouts

__all__ = [
    "AnswerCutError",
    "BackendAnswer",
    "BackendCall",
    "Backends",
    "CallFailure",
    "Header",
]

Header = tuple[bytes, bytes]


class AnswerCutError(AlmondfieldError):
    """Raised where an answer stops before it is whole.

    :param failure: how it stopped.
    :param reason: what was seen.
    """

    def __init__(self, failure: ServerFailure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


@dataclass(frozen=True)
class BackendCall:
    """One attempt to have a backend server run a request.

    :ivar address: ``host:port`` of the server.
    :ivar method: HTTP method.
    :ivar target: path and query as the caller sent them.
    :ivar headers: end-to-end headers, without host and content-length.
    :ivar body: the whole body.
    :ivar timeouts: timeouts of the pool.
    :ivar pooled: whether a pooled connection may carry it.
    :ivar authority: value of the host header; empty for the address.
    :ivar may_end_by_close: whether an answer without a length that ends with its
        connection counts as whole.
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


@dataclass(frozen=True)
class CallFailure:
    """Why a call gave no answer.

    :ivar failure: how it failed.
    :ivar may_have_run: whether a byte of the request may have left.
    :ivar reason: what was seen.
    :ivar stale: whether a pooled connection ended before a byte of the answer, as it
        does where the server closes an idle connection.
    """

    failure: ServerFailure
    may_have_run: bool
    reason: str
    stale: bool = False


class BackendAnswer(Protocol):
    """An answer whose head is known and whose body is still coming."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""

    @property
    def headers(self) -> tuple[Header, ...]:
        """Return the end-to-end headers, unchanged."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the body as it comes.

        :raises AnswerCutError: where the body ends before it is whole.
        """

    def close(self) -> None:
        """Give up the answer; the server sees its connection closed."""


class Backends(Protocol):
    """Sends requests to backend servers."""

    async def send(self, call: BackendCall) -> Result[BackendAnswer, CallFailure]:
        """Return the answer of a backend server once its head is known.

        :param call: the attempt; it is made once.
        """
