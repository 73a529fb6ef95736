"""Report of a request that has ended, and its log line."""

from dataclasses import dataclass

import eliot

from almondfield_core.clock import now
from almondfield_daemon.forwarding.messages import ForwardRequest, UnreadTime
from almondfield_daemon.forwarding.run import RequestRun
from almondfield_daemon.router.problems import Problem

__all__ = ["RequestReport", "log_report", "make_report", "unread_fields"]


@dataclass(frozen=True)
class RequestReport:
    """Outcome of one request and the data that determined it.

    :ivar request_id: identifier of the caller's attempt.
    :ivar route: name of the route.
    :ivar team: team of the caller; empty without one.
    :ivar table_version: version of the routing table with the route.
    :ivar pool: pool that the request was sent to.
    :ivar server: server of the last attempt; empty without one.
    :ivar server_version: software version of that server.
    :ivar stream_version: software version of the server that sent the first event of a
        stream; None for none.
    :ivar last_event_id: event after which the caller takes a stream up; empty for none.
    :ivar first_request_id: the caller's attempt that brought the first event of that
        stream; empty for none.
    :ivar attempts: attempts of which a byte may have been sent, without one that ended
        with the caller's connection.
    :ivar silent_attempts: attempts at requests that may have run which this router
        ended because their servers sent nothing for some time.
    :ivar first_attempt_ms: time to the start of the first attempt, in milliseconds;
        None without one.
    :ivar shared_part: last part of its prompt that other prompts may share; empty for
        none.
    :ivar input_tokens: length of its prompt in tokens; 0 without one.
    :ivar unread_tokens: uncached tokens by the scheduler's estimate; None without one.
    :ivar deadline_ms: how long the caller waits, in milliseconds; None if it sent no
        deadline.
    :ivar waited_ms: how long the caller had waited before, in milliseconds.
    :ivar unread_least_ms: lower bound of the time in the socket before the handler
        started, in milliseconds; None where that is unknown.
    :ivar unread_most_ms: upper bound of that time.
    :ivar is_first_on_connection: whether it is the first request of its connection;
        None where that is unknown.
    :ivar predicted_wait_ms: wait that the scheduler predicted, in milliseconds; None
        without one.
    :ivar status: status sent to the caller; 0 if it disconnected before.
    :ivar cause: why the answer was not a server's own complete answer; empty otherwise.
    :ivar first_ms: time to the first part of the answer, in milliseconds; 0 without
        one.
    :ivar total_ms: time to its end, in milliseconds.
    :ivar longest_gap_ms: longest pause between two events of a stream, in milliseconds.
    :ivar framing: how the last answer states where its body ends: "length", "chunks"
        or "connection"; empty without an answer.
    :ivar slowed_ms: how long a stream waited as it had sent too much, in milliseconds.
    :ivar unfinished_bytes: bytes after the last complete event of a stream, at the end
        of its last answer.
    """

    request_id: str
    route: str
    team: str
    table_version: int
    pool: str
    server: str
    server_version: str
    stream_version: str | None
    last_event_id: str
    first_request_id: str
    attempts: int
    silent_attempts: int
    first_attempt_ms: float | None
    shared_part: str
    input_tokens: int
    unread_tokens: int | None
    deadline_ms: float | None
    waited_ms: float
    unread_least_ms: float | None
    unread_most_ms: float | None
    is_first_on_connection: bool | None
    predicted_wait_ms: float | None
    status: int
    cause: str
    first_ms: float
    total_ms: float
    longest_gap_ms: float
    slowed_ms: float
    framing: str
    unfinished_bytes: int


def make_report(
    request: ForwardRequest, run: RequestRun, problem: Problem | None, error: str
) -> RequestReport:
    """Return the report of a request that has ended.

    :param request: the request.
    :param run: the attempts of the request.
    :param problem: error answer from the router itself; None for a server's answer.
    :param error: why the answer was truncated; empty for a complete answer.
    """
    prompt = request.metadata.prompt
    deadline_s = request.metadata.deadline_s
    assignment = run.attempts.assignment
    wait_s = assignment.wait_s if assignment else None
    first_attempt_s = run.attempts.first_attempt_s
    return RequestReport(
        request_id=request.metadata.request_id,
        route=request.route.name,
        team=request.team,
        table_version=request.table_version,
        pool=request.pool,
        server=run.attempts.server_name,
        server_version=run.attempts.server_version,
        stream_version=run.progress.version,
        last_event_id=request.metadata.last_event_id,
        first_request_id=request.metadata.first_request_id,
        attempts=run.attempts.sent,
        silent_attempts=run.attempts.silent_attempts,
        first_attempt_ms=(
            None if first_attempt_s is None else round(first_attempt_s * 1000, 1)
        ),
        shared_part=prompt.shared_part if prompt else "",
        input_tokens=prompt.input_tokens if prompt else 0,
        unread_tokens=assignment.uncached_tokens if assignment else None,
        deadline_ms=None if deadline_s is None else round(deadline_s * 1000, 1),
        waited_ms=round(request.waited_s * 1000, 1),
        **unread_fields(request.unread),
        predicted_wait_ms=None if wait_s is None else round(wait_s * 1000, 1),
        status=problem.status if problem else run.delivery.status,
        cause=problem.detail if problem else error,
        first_ms=round(run.delivery.first_part_s * 1000, 1),
        total_ms=round((now() - request.arrived_s) * 1000, 1),
        longest_gap_ms=round(run.delivery.longest_gap_s * 1000, 1),
        slowed_ms=round(run.progress.slowed_s * 1000, 1),
        framing=run.attempts.framing,
        unfinished_bytes=run.progress.unfinished_bytes,
    )


def unread_fields(unread: UnreadTime | None) -> dict[str, float | bool | None]:
    """Return the log fields of how long a request was unread.

    :param unread: the time; None where it is unknown.
    """
    match unread:
        case UnreadTime(least_s, most_s, is_first):
            return {
                "unread_least_ms": round(least_s * 1000, 1),
                "unread_most_ms": round(most_s * 1000, 1),
                "is_first_on_connection": is_first,
            }
        case None:
            names = ("unread_least_ms", "unread_most_ms", "is_first_on_connection")
            return dict.fromkeys(names)


def log_report(report: RequestReport) -> None:
    """Log a request that has ended.

    :param report: the report of the request.
    """
    eliot.log_message("request:ended", **vars(report))
