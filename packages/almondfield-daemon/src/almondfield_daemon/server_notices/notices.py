"""Notices that a backend server gives with an answer."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "ColdTime",
    "InvalidColdTime",
    "InvalidRequestLimit",
    "InvalidRetryAfter",
    "Leaving",
    "NoticeKind",
    "RequestLimit",
    "RetryAfter",
    "ServerNotice",
]


class NoticeKind(StrEnum):
    """Kind of a notice, for counts."""

    LEAVING = "leaving"
    RETRY_AFTER = "retry-after"
    INVALID_RETRY_AFTER = "invalid-retry-after"
    REQUEST_LIMIT = "request-limit"
    INVALID_REQUEST_LIMIT = "invalid-request-limit"
    COLD = "cold"
    INVALID_COLD = "invalid-cold"


@dataclass(frozen=True)
class Leaving:
    """The server shuts down and takes no further work."""


@dataclass(frozen=True)
class RetryAfter:
    """The server refused a request and takes no work of this router for a while.

    :ivar seconds: how long, from its answer.
    """

    seconds: float


@dataclass(frozen=True)
class InvalidRetryAfter:
    """The server refused a request and gave a time that can't be read.

    :ivar text: the value as received.
    """

    text: str


@dataclass(frozen=True)
class RequestLimit:
    """The server takes so many requests from all routers together.

    :ivar per_s: requests a second, for as long as its answers say so.
    """

    per_s: float


@dataclass(frozen=True)
class InvalidRequestLimit:
    """The server named a limit that can't be read.

    :ivar text: the value as received.
    """

    text: str


@dataclass(frozen=True)
class ColdTime:
    """The server is cold: it crashes under more than a low rate of requests.

    :ivar seconds: how long, from its answer; 0 if it isn't cold.
    """

    seconds: float


@dataclass(frozen=True)
class InvalidColdTime:
    """The server named a cold time that can't be read, or more than one.

    :ivar text: the value as received.
    """

    text: str


ServerNotice = (
    Leaving
    | RetryAfter
    | InvalidRetryAfter
    | RequestLimit
    | InvalidRequestLimit
    | ColdTime
    | InvalidColdTime
)
