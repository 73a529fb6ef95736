"""How one attempt to have a backend server run a request ended."""

from dataclasses import dataclass

from almondfield_daemon.forwarding.messages import AnswerMarks
from almondfield_daemon.router.calls import BackendAnswer

__all__ = [
    "Answered",
    "Attempt",
    "FailedAttempt",
    "Lost",
    "Misdirected",
    "NotExecuted",
    "Unsent",
]


@dataclass(frozen=True)
class Answered:
    """The server's own answer to this request; its body may still be coming.

    :ivar answer: the answer.
    :ivar marks: what its headers say.
    """

    answer: BackendAnswer
    marks: AnswerMarks


@dataclass(frozen=True)
class NotExecuted:
    """The server says that it did not run the request.

    :ivar status: status of its answer.
    """

    status: int


@dataclass(frozen=True)
class Misdirected:
    """Another server has the address now; it did not run the request."""


@dataclass(frozen=True)
class Unsent:
    """No byte of the request left.

    :ivar reason: what was seen.
    """

    reason: str


@dataclass(frozen=True)
class Lost:
    """No usable answer; the request may have run.

    :ivar reason: what was seen.
    :ivar is_timeout: whether the time for an answer ran out.
    """

    reason: str
    is_timeout: bool = False


FailedAttempt = NotExecuted | Misdirected | Unsent | Lost
Attempt = Answered | FailedAttempt
