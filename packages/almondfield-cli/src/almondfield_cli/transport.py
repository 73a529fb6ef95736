"""HTTP transport between the client and one host."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

__all__ = [
    "AiosonicTransport",
    "FailedAttempt",
    "HttpRequest",
    "HttpResponse",
    "Transport",
]

MAX_CONNECT_S = 2.0
# Statuses of final responses; others belong to no class of RFC 9110, 15.
MIN_STATUS = 200
MAX_STATUS = 599

# aiosonic does not wrap errors of the stream and of its parser.
_REQUEST_ERRORS = (
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
    :ivar timeout_s: time to wait for the whole response, in seconds.
    """

    method: str
    path: str
    body: bytes = b""
    timeout_s: float = 5.0


@dataclass(frozen=True)
class HttpResponse:
    """A response of the operator interface.

    :ivar host: ``address:port`` that responded.
    :ivar status: HTTP status.
    :ivar body: JSON body.
    """

    host: str
    status: int
    body: bytes


@dataclass(frozen=True)
class FailedAttempt:
    """Why a host gave no usable response; it may have acted on the request.

    :ivar host: ``address:port`` that was tried.
    :ivar reason: why the attempt failed.
    """

    host: str
    reason: str


class Transport(Protocol):
    """Sends requests to hosts."""

    async def send(
        self, host: str, request: HttpRequest
    ) -> Result[HttpResponse, FailedAttempt]:
        """Return the response of a host.

        :param host: ``address:port`` of the operator interface.
        :param request: the request.
        """


class AiosonicTransport:
    """Transport over HTTP that opens a connection for each request.

    :param token: the operators' token.
    """

    def __init__(self, token: str) -> None:
        self._headers = {
            "authorization": f"Bearer {token}",
            "content-type": "application/json",
        }

    async def send(
        self, host: str, request: HttpRequest
    ) -> Result[HttpResponse, FailedAttempt]:
        """Return the response of a host."""
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
        except _REQUEST_ERRORS as error:
            return Err(FailedAttempt(host, str(error) or type(error).__name__))
        status = response.status_code
        if not MIN_STATUS <= status <= MAX_STATUS:
            reason = f"HTTP status {status}; {MIN_STATUS} to {MAX_STATUS} are allowed"
            return Err(FailedAttempt(host, reason))
        return Ok(HttpResponse(host, status, body))
