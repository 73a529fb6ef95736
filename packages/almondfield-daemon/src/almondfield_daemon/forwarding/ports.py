"""Ports that forwarding depends on."""

from typing import Protocol

from result import Result

from almondfield_daemon.forwarding.messages import (
    AnswerMetadata,
    CallMetadata,
    RequestMetadata,
)
from almondfield_daemon.router.calls import Header
from almondfield_daemon.router.problems import Problem
from almondfield_daemon.streams import StreamOrigin

__all__ = ["HeadWait", "HeaderCodec", "ResponseSink", "StreamOrigins"]


class HeaderCodec(Protocol):
    """Reads and writes the headers that callers and backend servers use."""

    def read_request(
        self, headers: tuple[Header, ...]
    ) -> Result[RequestMetadata, Problem]:
        """Return the metadata in a request's headers.

        :param headers: headers with names in lower case.
        """

    def call_headers(
        self, headers: tuple[Header, ...], metadata: CallMetadata
    ) -> tuple[Header, ...]:
        """Return the headers of a request for one backend server.

        :param headers: end-to-end headers of the caller's request.
        :param metadata: metadata that the router adds.
        """

    def read_answer(self, status: int, headers: tuple[Header, ...]) -> AnswerMetadata:
        """Return the metadata in an answer's head.

        :param status: HTTP status.
        :param headers: headers as received.
        """

    def problem_headers(self, problem: Problem) -> tuple[Header, ...]:
        """Return the headers of an error answer from the router itself.

        :param problem: the error.
        """


class ResponseSink(Protocol):
    """Sends the answer to one caller."""

    def check_caller(self) -> None:
        """Return if the caller still waits.

        :raises CallerDisconnectedError: if it has closed its connection.
        """

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send status and headers.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        """

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body.

        :param chunk: the part.
        """

    async def finish(self) -> None:
        """Mark the answer as complete."""


class HeadWait(Protocol):
    """Learns when the wait for the head of an answer begins and ends."""

    def begin(self) -> None:
        """Record that the request is sent now."""

    def end(self) -> None:
        """Record that the head has arrived, or that none will."""


class StreamOrigins(Protocol):
    """Knows where streams began, over all routers."""

    def record(self, origin: StreamOrigin) -> None:
        """Record where a stream of this router began.

        :param origin: the origin.
        """

    async def find(
        self, request_id: str, pool: str, lookback_s: float
    ) -> StreamOrigin | None:
        """Return where a stream began; None if that isn't known.

        :param request_id: the caller's attempt that brought the first event; empty if
            the caller named none.
        :param pool: pool that the stream probably began in.
        :param lookback_s: longest time since the stream may have begun, in seconds.
        """
