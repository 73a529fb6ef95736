"""Log lines of attempts without a usable answer."""

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import (
    AnswerLost,
    FailedAttempt,
    Misdirected,
    NotExecuted,
    Unsent,
    Withheld,
)

__all__ = ["log_attempt"]

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
