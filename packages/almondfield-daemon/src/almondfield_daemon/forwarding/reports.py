"""What became of a request, and the log line that tells it."""

from dataclasses import dataclass

import eliot

from almondfield_core.clock import now
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.run import RequestRun
from almondfield_daemon.router.problems import Problem

__all__ = ["RequestReport", "log_report", "make_report"]


@dataclass(frozen=True)
class RequestReport:
    """What became of one request, and what decided it.

    :ivar request_id: identifier of the caller's attempt.
    :ivar route: name of the route.
    :ivar team: team of the caller; empty without one.
    :ivar table_version: version of the table that has the route.
    :ivar pool: pool that took it.
    :ivar server: server of the last attempt; empty where none was made.
    :ivar attempts: attempts of which a byte may have left.
    :ivar shared_part: last part of its prompt that others may share; empty for none.
    :ivar input_tokens: length of its prompt; 0 without one.
    :ivar unread_tokens: tokens that the scheduler took for unread; None without one.
    :ivar waited_ms: how long the caller had waited before.
    :ivar predicted_wait_ms: wait that the scheduler predicted; None without one.
    :ivar status: status that the caller got; 0 where it left before.
    :ivar cause: why the answer was not a server's own and whole; else empty.
    :ivar first_ms: time to the first part of the answer; 0 without one.
    :ivar total_ms: time to its end.
    :ivar longest_gap_ms: longest pause between two events of a stream.
    """

    request_id: str
    route: str
    team: str
    table_version: int
    pool: str
    server: str
    attempts: int
    shared_part: str
    input_tokens: int
    unread_tokens: int | None
    waited_ms: float
    predicted_wait_ms: float | None
    status: int
    cause: str
    first_ms: float
    total_ms: float
    longest_gap_ms: float


def make_report(
    request: ForwardRequest, run: RequestRun, problem: Problem | None, error: str
) -> RequestReport:
    """Return what became of a request.

    :param request: the request.
    :param run: its attempts.
    :param problem: error answer of the router's own, if it gave one.
    :param error: what ended the answer before it was whole; empty for nothing.
    """
    prompt = request.marks.prompt
    place = run.place
    wait_s = place.wait_s if place else None
    return RequestReport(
        request_id=request.marks.request_id,
        route=request.route.name,
        team=request.team,
        table_version=request.table_version,
        pool=request.pool,
        server=run.server_name,
        attempts=run.sent,
        shared_part=prompt.shared_part if prompt else "",
        input_tokens=prompt.input_tokens if prompt else 0,
        unread_tokens=place.unread_tokens if place else None,
        waited_ms=round(request.waited_s * 1000, 1),
        predicted_wait_ms=None if wait_s is None else round(wait_s * 1000, 1),
        status=problem.status if problem else run.status,
        cause=problem.detail if problem else error,
        first_ms=round(run.first_s * 1000, 1),
        total_ms=round((now() - request.arrived_s) * 1000, 1),
        longest_gap_ms=round(run.longest_gap_s * 1000, 1),
    )


def log_report(report: RequestReport) -> None:
    """Write the line of a request that is over.

    :param report: what became of it.
    """
    eliot.log_message("request:ended", **vars(report))
