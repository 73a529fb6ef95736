"""Log lines of attempts without a usable answer."""

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import (
    Answered,
    AnswerLost,
    FailedAttempt,
    Misdirected,
    NotExecuted,
    Unsent,
    Withheld,
)
from almondfield_daemon.router.event_types import find_header

__all__ = ["log_attempt", "log_resumed_stream"]

MAX_LOGGED_PARTS = 16  # of one prompt


def log_attempt(
    request: ForwardRequest,
    server: FleetServer,
    outcome: FailedAttempt,
    began_s: float | None = None,
) -> None:
    """Log an attempt without a usable answer.

    :param request: the request.
    :param server: the server that the request was sent to.
    :param outcome: outcome of the attempt.
    :param began_s: when its answer began, in seconds of the loop's clock; None if it
        hasn't.
    """
    prompt = request.metadata.prompt
    parts = prompt.parts if prompt else ()
    eliot.log_message(
        "attempt:failed",
        request_id=request.metadata.request_id,
        server=server.name,
        address=server.address,
        server_sequence=server.sequence,
        server_version=server.version,
        outcome=_describe(outcome),
        was_silent=_was_silent(outcome),
        is_cut=isinstance(outcome, AnswerLost) and outcome.is_cut,
        is_idle_cut=isinstance(outcome, AnswerLost) and outcome.is_idle_cut,
        begun_ms=None if began_s is None else round((now() - began_s) * 1000, 1),
        prompt_parts=[part.part_id for part in parts[:MAX_LOGGED_PARTS]],
        request_digests=list(request.digests),
        after_ms=round((now() - request.arrived_s) * 1000, 1),
    )


def log_resumed_stream(
    request: ForwardRequest,
    server: FleetServer,
    last_event_id: str,
    answered: Answered,
    obstacle: str,
) -> None:
    """Log the head of an answer to a request that goes on with a stream.

    :param request: the request.
    :param server: the server that answered.
    :param last_event_id: last event that the caller has; empty if unknown.
    :param answered: the answer.
    :param obstacle: why it may not go on with the stream; empty if it may.
    """
    answer = answered.answer
    content_type = find_header(answer.headers, b"content-type")
    eliot.log_message(
        "stream:resumed",
        request_id=request.metadata.request_id,
        server=server.name,
        last_event_id=last_event_id,
        status=answer.status,
        content_type=None if content_type is None else content_type.decode("latin-1"),
        is_encoded=answered.metadata.is_encoded,
        framing=answer.framing,
        obstacle=obstacle,
        after_ms=round((now() - request.arrived_s) * 1000, 1),
    )


def _was_silent(outcome: FailedAttempt) -> bool:
    """Return whether this router ended the attempt, as the server sent nothing."""
    match outcome:
        case Unsent(timed_out=True) | AnswerLost(timed_out=True):
            return True
        case _:
            return False


def _describe(outcome: FailedAttempt) -> str:
    match outcome:
        case NotExecuted(status):
            return f"not run: refused with {status}"
        case Misdirected():
            return "not run: another server has the address"
        case Unsent(reason) | Withheld(reason):
            return f"not run: {reason}"
        case AnswerLost(reason):
            return f"unknown: {reason}"
