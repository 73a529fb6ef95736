"""Decides on callers' requests by their heads.

A refusal here costs no task, no reading of the body into memory and no line of the log
of its own, so that a router can refuse many more requests than it can serve.
"""

import http
from collections.abc import Callable
from dataclasses import dataclass, replace

import eliot
from result import Err, Ok, Result

from almondfield_control.publishing import TableSubscription
from almondfield_core.clock import now
from almondfield_core.routing import RouteRule, TeamKeys, regions_of_request
from almondfield_core.tables import hash_key
from almondfield_daemon.edge.bodies import MAX_DISCARDED_BYTES, check_headers
from almondfield_daemon.forwarding.core import Forwarder
from almondfield_daemon.forwarding.counts import RequestCounts
from almondfield_daemon.forwarding.deadlines import TypicalDeadlines
from almondfield_daemon.forwarding.messages import (
    ForwardRequest,
    RequestMetadata,
    UnreadTime,
)
from almondfield_daemon.forwarding.ports import HeaderCodec
from almondfield_daemon.forwarding.reports import unread_fields
from almondfield_daemon.forwarding.split import choose_pool
from almondfield_daemon.forwarding.stop_limits import draining
from almondfield_daemon.forwarding.unavailable import LATE_RETRY_AFTER_S
from almondfield_daemon.loop_delay import arrival_of
from almondfield_daemon.router.problems import Problem, permanent_problem
from almondfield_daemon.serving import HeadRefusal, RequestHead

__all__ = ["REQUEST_KEY", "RequestIntake"]

REQUEST_KEY = "request"  # in the state of an ASGI scope
STALE_RETRY_AFTER_S = 0.5
FORBIDDEN_STATUS = 403
MAX_DEADLINE_S = 3600.0
# Callers give up a request that may run again if it isn't read for this time, or for
# this share of their deadline.
MAX_UNREAD_S = 1.0
MAX_UNREAD_SHARE = 1 / 3


@dataclass(frozen=True)
class _AcceptedHead:
    """What is known of a request by its head.

    :ivar metadata: metadata from the headers.
    :ivar route: the rule that it matches.
    :ivar pool: pool that it is sent to.
    :ivar team: team of the caller; empty without one.
    :ivar unread: how long it was in the socket before; None where that is unknown.
    :ivar allowed_regions: regions whose servers may get it; None for all.
    """

    metadata: RequestMetadata
    route: RouteRule
    pool: str
    team: str
    unread: UnreadTime | None
    allowed_regions: frozenset[str] | None


class RequestIntake:
    """Decides on requests by their heads; implements the ``Gate`` port.

    :param forwarder: knows which teams were refused lately.
    :param subscription: the routing table.
    :param codec: reads and writes headers.
    :param counts: counts refusals.
    :param must_close: returns whether connections close after their answers.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        subscription: TableSubscription,
        codec: HeaderCodec,
        counts: RequestCounts,
        must_close: Callable[[], bool],
    ) -> None:
        self._forwarder = forwarder
        self._subscription = subscription
        self._codec = codec
        self._counts = counts
        self._must_close = must_close
        self._deadlines = TypicalDeadlines()
        self._stop_limits = forwarder.stop_limits

    def check(self, head: RequestHead) -> HeadRefusal | None:
        """Return the refusal of a request; None to pass it to the endpoint."""
        match self._read(head):
            case Ok(accepted):
                problem = self._known_refusal(accepted)
                if problem is None:
                    request = self._make_request(head, accepted)
                    head.state[REQUEST_KEY] = replace(request, is_checked=True)
                    return None
            case Err(problem):
                self.record_refusal(head, problem)
        return self._refusal(problem)

    def prepare(self, head: RequestHead) -> Result[ForwardRequest, Problem]:
        """Return a request, without its body, or the reason to refuse it.

        :param head: head of the request.
        """
        return self._read(head).map(lambda item: self._make_request(head, item))

    def record_refusal(self, head: RequestHead, problem: Problem) -> None:
        """Count and log the refusal of a request that wasn't accepted.

        :param head: head of the request.
        :param problem: the reason.
        """
        self._counts.record_refusal("", problem.kind)
        eliot.log_message(
            "request:refused",
            path=head.path.decode("latin-1"),
            domain=dict(head.headers).get(b"host", b"").decode("latin-1"),
            status=problem.status,
            cause=problem.detail,
            table_version=self._subscription.version,
            fresh_left_s=round(self._subscription.fresh_left_s(), 2),
            **unread_fields(_unread_time(head)),
        )

    def _known_refusal(self, accepted: _AcceptedHead) -> Problem | None:
        metadata, route = accepted.metadata, accepted.route
        if not metadata.takes_up_stream:
            # The pool of a stream that is taken up isn't known yet.
            evacuated = self._forwarder.evacuation_refusal(
                route, accepted.pool, accepted.team, accepted.allowed_regions
            )
            if evacuated is not None:
                return evacuated
        if metadata.prompt is None:
            return None
        is_scheduled = route.has_prompt and not metadata.takes_up_stream
        return self._forwarder.known_refusal(
            route,
            accepted.pool,
            accepted.team,
            metadata.prompt,
            is_scheduled,
            accepted.unread.least_s if accepted.unread else 0.0,
            accepted.allowed_regions,
        )

    def _read(self, head: RequestHead) -> Result[_AcceptedHead, Problem]:
        """Return what is known of a request by its head, or why it is refused."""
        index = self._subscription.index
        if not index.table.version:
            return Err(_not_ready("this router has no routing table yet"))
        if now() >= self._stop_limits.plan.accept_all_until_s:
            return Err(draining())
        headers = list(head.headers)
        too_large = check_headers(headers, index.table.limits.max_header_bytes)
        if too_large is not None:
            return Err(too_large)
        match self._codec.read_request(head.headers):
            case Ok(metadata):
                pass
            case Err(problem):
                return Err(problem)
        match self._route(head):
            case Ok(route):
                pass
            case Err(problem):
                return Err(problem)
        unread = _unread_time(head)
        problem = self._check_route(route, metadata, unread)
        if problem is not None:
            return Err(problem)
        # A stream that is taken up goes on in the pool that it began in.
        pool = choose_pool(route, metadata.first_request_id or metadata.request_id)
        match self._team(metadata, route.is_public):
            case Ok(team):
                pass
            case Err(problem):
                return Err(problem)
        regions = regions_of_request(route, team)
        if regions is not None and not regions:
            return Err(self._forbid(route, team))
        name = team.team if team is not None else ""
        return Ok(_AcceptedHead(metadata, route, pool, name, unread, regions))

    def _forbid(self, route: RouteRule, team: TeamKeys | None) -> Problem:
        """Return the refusal of a request that may be processed in no region."""
        if not self._is_fresh():
            # The lists may have been changed since the last table update.
            return _not_ready("the routing table may be out of date")
        name = team.team if team is not None else ""
        self._forwarder.record_forbidden(route, name, FORBIDDEN_STATUS)
        detail = f"route {route.name!r} and team {name!r} allow no region in common"
        return permanent_problem(FORBIDDEN_STATUS, "homes", detail)

    def _make_request(
        self, head: RequestHead, accepted: _AcceptedHead
    ) -> ForwardRequest:
        metadata, route, unread = accepted.metadata, accepted.route, accepted.unread
        arrived_s = now() - (unread.most_s if unread else 0.0)
        deadline_s = metadata.deadline_s or MAX_DEADLINE_S
        return ForwardRequest(
            method=head.method,
            target=head.path + b"?" + head.query if head.query else head.path,
            headers=head.headers,
            metadata=metadata,
            route=route,
            pool=accepted.pool,
            table_version=self._subscription.version,
            team=accepted.team,
            arrived_s=arrived_s,
            waited_s=self._deadlines.waited_s(route.name, metadata.deadline_s),
            until_s=arrived_s + min(route.timeout_s, deadline_s),
            unread=unread,
            max_body_bytes=self._subscription.index.table.limits.max_body_bytes,
            allowed_regions=accepted.allowed_regions,
        )

    def _route(self, head: RequestHead) -> Result[RouteRule, Problem]:
        domain = dict(head.headers).get(b"host", b"").decode("latin-1").lower()
        domain = domain.partition(":")[0]
        path = head.path.decode("latin-1")
        route = self._subscription.index.route(domain, path)
        if route is not None:
            return Ok(route)
        if not self._is_fresh():
            return Err(_not_ready("the routing table may be out of date"))
        detail = f"no route for {domain!r} and path {path!r}"
        return Err(permanent_problem(404, "no-route", detail))

    def _check_route(
        self, route: RouteRule, metadata: RequestMetadata, unread: UnreadTime | None
    ) -> Problem | None:
        if unread is not None and route.may_run_again:
            patience_s = MAX_UNREAD_S
            if metadata.deadline_s is not None:
                patience_s = min(patience_s, MAX_UNREAD_SHARE * metadata.deadline_s)
            if unread.most_s >= patience_s:
                detail = f"the request was not read for up to {unread.most_s:.3f} s"
                retry_after_s = LATE_RETRY_AFTER_S
                return Problem(503, "late", detail, retry_after_s=retry_after_s)
        return self._stop_limits.refusal(route)

    def _team(
        self, metadata: RequestMetadata, is_public: bool
    ) -> Result[TeamKeys | None, Problem]:
        """Return the caller's team; None if the request needs no team."""
        index = self._subscription.index
        if not index.needs_keys:
            return Ok(None)
        if not is_public and not self._is_fresh():
            # The key may have been revoked since the last table update.
            return Err(_not_ready("the routing table may be out of date"))
        team = index.team(hash_key(metadata.key)) if metadata.key else None
        if team is not None:
            return Ok(team)
        if is_public:
            return Ok(None)
        detail = "the key belongs to no team" if metadata.key else "no team key"
        return Err(permanent_problem(401, "team-key", detail))

    def _is_fresh(self) -> bool:
        return self._subscription.fresh_left_s() > 0

    def _refusal(self, problem: Problem) -> HeadRefusal:
        headers = self._codec.problem_headers(problem)
        closes_connection = self._must_close()
        if closes_connection:
            headers = (*headers, (b"connection", b"close"))
        reason = http.HTTPStatus(problem.status).phrase.encode()
        lines = b"".join(b"%b: %b\r\n" % header for header in headers)
        answer = b"HTTP/1.1 %d %b\r\n%b\r\n" % (problem.status, reason, lines)
        limits = self._subscription.index.table.limits
        max_body_bytes = limits.max_body_bytes + MAX_DISCARDED_BYTES
        return HeadRefusal(answer, closes_connection, max_body_bytes)


def _unread_time(head: RequestHead) -> UnreadTime | None:
    """Return how long a request was in the socket; None where that is unknown."""
    arrival = arrival_of(head.state)
    if arrival is None:
        return None
    read_s = now()
    return UnreadTime(
        read_s - arrival.latest_s, read_s - arrival.earliest_s, arrival.is_first
    )


def _not_ready(detail: str) -> Problem:
    return Problem(503, "not-ready", detail, retry_after_s=STALE_RETRY_AFTER_S)
