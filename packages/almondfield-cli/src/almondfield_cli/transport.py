"""Sends one request to one host."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

__all__ = ["AiosonicTransport", "HttpAnswer", "HttpRequest", "NoAnswer", "Transport"]

MAX_CONNECT_S = 2.0

# The client lets errors of the stream and of parsing pass as they are.
_NO_ANSWER = (
    AiosonicError,
    OSError,
    TimeoutError,
    EOFError,
    ValueError,
    asyncio.LimitOverrunError,
)


@dataclass(frozen=True)
class HttpRequest:
    """A request of the operator interface.

    :ivar method: HTTP method.
    :ivar path: path and query.
    :ivar body: JSON body; empty for none.
    :ivar timeout_s: seconds to wait for the whole answer.
    """

    method: str
    path: str
    body: bytes = b""
    timeout_s: float = 5.0


@dataclass(frozen=True)
class HttpAnswer:
    """An answer of the operator interface.

    :ivar host: ``address:port`` that answered.
    :ivar status: HTTP status.
    :ivar body: JSON body.
    """

    host: str
    status: int
    body: bytes


@dataclass(frozen=True)
class NoAnswer:
    """Why a host gave no answer; it may have acted on the request.

    :ivar host: ``address:port`` that was asked.
    :ivar reason: what happened.
    """

    host: str
    reason: str


class Transport(Protocol):
    """Carries a request to a host."""

    async def send(
        self, host: str, request: HttpRequest
    ) -> Result[HttpAnswer, NoAnswer]:
        """Return the answer of a host.

        :param host: ``address:port`` of the operator interface.
        :param request: the request.
        """


class AiosonicTransport:
    """The transport over HTTP; each request has a connection of its own.

    :param token: the operators' token.
    """

    def __init__(self, token: str) -> None:
        self._headers = {
            "authorization": f"Bearer {token}",
            "content-type": "application/json",
        }

    async def send(
        self, host: str, request: HttpRequest
    ) -> Result[HttpAnswer, NoAnswer]:
        """Return the answer of a host."""
        timeouts = Timeouts(
            sock_connect=min(MAX_CONNECT_S, request.timeout_s),
            sock_read=request.timeout_s,
            request_timeout=request.timeout_s,
        )
        try:
            async with aiosonic.HTTPClient() as client:
                response = await client.request(
                    f"http://{host}{request.path}",
                    method=request.method,
                    headers=self._headers,
                    data=request.body or None,
                    timeouts=timeouts,
                )
                body = await response.content()
        except _NO_ANSWER as error:
            return Err(NoAnswer(host, str(error) or type(error).__name__))
        return Ok(HttpAnswer(host, response.status_code, body))
