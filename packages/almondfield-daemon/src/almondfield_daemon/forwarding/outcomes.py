"""Outcomes of one attempt to run a request on a backend server."""

from dataclasses import dataclass

from almondfield_daemon.forwarding.messages import AnswerMetadata
from almondfield_daemon.router.calls import BackendAnswer

__all__ = [
    "AnswerLost",
    "Answered",
    "Attempt",
    "FailedAttempt",
    "Misdirected",
    "NotExecuted",
    "Unsent",
    "Withheld",
]


@dataclass(frozen=True)
class Answered:
    """The server's own answer to this request; its body may still be incomplete.

    :ivar answer: the answer.
    :ivar metadata: metadata from its headers.
    """

    answer: BackendAnswer
    metadata: AnswerMetadata


@dataclass(frozen=True)
class NotExecuted:
    """The server reported that it did not run the request.

    :ivar status: status of its answer.
    :ivar metadata: metadata from its headers.
    """

    status: int
    metadata: AnswerMetadata


@dataclass(frozen=True)
class Misdirected:
    """Another server has the address now; it did not run the request."""


@dataclass(frozen=True)
class Unsent:
    """No byte of the request was sent.

    :ivar reason: description of the failure.
    :ivar timed_out: whether the server did not answer within a timeout.
    :ivar is_refused: whether no process listens at its address.
    """

    reason: str
    timed_out: bool = False
    is_refused: bool = False


@dataclass(frozen=True)
class Withheld:
    """No byte of the request was sent, as the server takes no work any more.

    :ivar reason: description of the reason.
    """

    reason: str


@dataclass(frozen=True)
class AnswerLost:
    """No usable answer arrived; the request may have run.

    :ivar reason: description of the failure.
    :ivar is_timeout: whether the deadline passed before an answer arrived.
    :ivar timed_out: whether the server did not answer within a timeout.
    :ivar is_cut: whether the server closed or reset the connection.
    :ivar is_idle_cut: whether it did so on a pooled connection that may have been idle.
    """

    reason: str
    is_timeout: bool = False
    timed_out: bool = False
    is_cut: bool = False
    is_idle_cut: bool = False


FailedAttempt = NotExecuted | Misdirected | Unsent | Withheld | AnswerLost
Attempt = Answered | FailedAttempt
