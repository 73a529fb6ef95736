"""HTTP endpoint of a router for callers' requests."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import eliot
from result import Err, Ok, Result

from almondfield_control.publishing import TableSubscription
from almondfield_core.clock import now
from almondfield_core.routing import RequestKind
from almondfield_core.tables import hash_key
from almondfield_daemon.edge.bodies import (
    BodyBudget,
    BodyReservation,
    CallerDisconnectedError,
    check_headers,
    read_body,
)
from almondfield_daemon.edge.watch import CallerWatch
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
from almondfield_daemon.forwarding.run import StreamBrokenError
from almondfield_daemon.forwarding.split import choose_pool
from almondfield_daemon.loop_delay import arrival_of
from almondfield_daemon.router.calls import Header
from almondfield_daemon.router.problems import Outcome, Problem, permanent_problem
from almondfield_daemon.serving import CallerConnection, connection_of

__all__ = ["ForwardEndpoint"]

STALE_RETRY_AFTER_S = 0.5
DRAINING_RETRY_AFTER_S = 0.05  # other routers accept the request at once
LATE_RETRY_AFTER_S = 0.1  # other routers are probably in time
MAX_DEADLINE_S = 3600.0
# Callers give up a request that may run again if it isn't read for this time, or for
# this share of their deadline.
MAX_UNREAD_S = 1.0
MAX_UNREAD_SHARE = 1 / 3


class ForwardEndpoint:
    """ASGI app for callers' requests.

    :param forwarder: serves requests.
    :param subscription: the routing table.
    :param codec: reads and writes headers.
    :param max_held_bytes: limit on the total size of bodies held in memory, in bytes.
    :param counts: counts bodies, and refusals that come before the choice of a server.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        subscription: TableSubscription,
        codec: HeaderCodec,
        max_held_bytes: int,
        counts: RequestCounts | None = None,
    ) -> None:
        self._counts = counts or RequestCounts()
        self._forwarder = forwarder
        self._subscription = subscription
        self._codec = codec
        self._budget = BodyBudget(max_held_bytes)
        self._deadlines = TypicalDeadlines()
        self._is_closing = False
        self._connection_count: Callable[[], int] = lambda: 0
        self._max_connections = 0
        self._refuses_streams = False
        self._refuses_all = False
        self.running = 0

    def close_connections(self) -> None:
        """Close the caller's connection after each answer from now on."""
        self._is_closing = True

    def limit_connections(self, count: Callable[[], int], limit: int) -> None:
        """Close a caller's connection after its answer while too many are open.

        Callers keep connections for later requests; without descriptors left, the host
        would accept no new ones.

        :param count: returns the number of open connections.
        :param limit: number of connections above which they are closed.
        """
        self._connection_count = count
        self._max_connections = limit

    def refuse_streams(self) -> None:
        """Refuse new streaming requests; running requests continue."""
        self._refuses_streams = True

    def refuse_new(self) -> None:
        """Refuse new requests; running requests continue."""
        self._refuses_all = True

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        self.running += 1
        sink = _AsgiSink(send, self._must_close, connection_of(scope))
        try:
            await self._handle(scope, receive, sink)
        except StreamBrokenError:
            # Returning before the end of the answer closes the connection.
            pass
        except Exception:
            eliot.write_traceback()
            problem = Problem(500, "internal", "unexpected failure", Outcome.UNKNOWN)
            with suppress(RuntimeError):
                await self._send_problem(sink, problem, close=True)
        finally:
            self.running -= 1

    def _must_close(self) -> bool:
        return self._is_closing or self._connection_count() > self._max_connections

    async def _handle(self, scope: Any, receive: Any, sink: "_AsgiSink") -> None:
        unread = _unread_time(scope)
        arrived_s = now() - (unread.most_s if unread else 0.0)
        headers = tuple((name.lower(), value) for name, value in scope["headers"])
        match self._prepare_request(scope, headers, arrived_s):
            case Ok(request):
                request = replace(request, unread=unread)
            case Err(problem):
                self._counts.record_refusal("", problem.kind)
                _log_refusal(scope, headers, problem, self._subscription, unread)
                await self._refuse(receive, sink, problem)
                return
        held = BodyReservation(self._budget, request.team)
        try:
            await self._read_and_serve(request, receive, sink, held)
        except CallerDisconnectedError as error:
            eliot.log_message(
                "request:abandoned",
                request_id=request.metadata.request_id,
                reason=str(error),
                after_ms=round((now() - arrived_s) * 1000, 1),
                **unread_fields(unread),
            )
        finally:
            held.release()

    async def _read_and_serve(
        self,
        request: ForwardRequest,
        receive: Any,
        sink: "_AsgiSink",
        held: BodyReservation,
    ) -> None:
        limit = self._subscription.index.table.limits.max_body_bytes
        declared = int(dict(request.headers).get(b"content-length", b"0"))
        match await read_body(receive, declared, limit, held.reserve):
            case Ok(body):
                self._counts.record_body(len(body))
                request = replace(request, body=body)
            case Err(problem):
                self._counts.record_refusal(request.team, problem.kind)
                await self._send_problem(sink, problem, close=True)
                return
        async with CallerWatch(receive, sink.connection) as watch:
            sink.set_watch(watch)
            problem = await self._forwarder.serve(request, sink)
            if problem is not None:
                await self._send_problem(sink, problem, close=False)

    def _prepare_request(
        self, scope: Any, headers: tuple[Header, ...], arrived_s: float
    ) -> Result[ForwardRequest, Problem]:
        index = self._subscription.index
        if not index.table.version:
            return Err(_not_ready("this router has no routing table yet"))
        if self._refuses_all:
            return Err(_draining())
        too_large = check_headers(list(headers), index.table.limits.max_header_bytes)
        if too_large is not None:
            return Err(too_large)
        match self._codec.read_request(headers):
            case Ok(metadata):
                pass
            case Err(problem):
                return Err(problem)
        domain = dict(headers).get(b"host", b"").decode("latin-1").lower()
        domain = domain.partition(":")[0]
        raw_path = scope.get("raw_path") or scope["path"].encode()
        route = index.route(domain, raw_path.decode("latin-1"))
        is_fresh = self._subscription.fresh_left_s() > 0
        if route is None:
            if not is_fresh:
                return Err(_not_ready("the routing table may be out of date"))
            detail = f"no route for {domain!r} and path {scope['path']!r}"
            return Err(permanent_problem(404, "no-route", detail))
        unread_s = now() - arrived_s
        if route.may_run_again and unread_s >= _patience_s(metadata.deadline_s):
            return Err(_unread(unread_s))
        if self._refuses_streams and route.kind is RequestKind.STREAMING:
            return Err(_draining())
        match self._team(metadata, route.is_public, is_fresh):
            case Ok(team):
                pass
            case Err(problem):
                return Err(problem)
        query = scope.get("query_string", b"")
        return Ok(
            ForwardRequest(
                method=scope["method"],
                target=raw_path + b"?" + query if query else raw_path,
                headers=headers,
                metadata=metadata,
                route=route,
                # A stream that is taken up goes on in the pool that it began in.
                pool=choose_pool(
                    route, metadata.first_request_id or metadata.request_id
                ),
                table_version=index.table.version,
                team=team,
                arrived_s=arrived_s,
                waited_s=self._deadlines.waited_s(route.name, metadata.deadline_s),
                until_s=arrived_s
                + min(route.timeout_s, metadata.deadline_s or MAX_DEADLINE_S),
            )
        )

    def _team(
        self, metadata: RequestMetadata, is_public: bool, is_fresh: bool
    ) -> Result[str, Problem]:
        """Return the caller's team; empty if the request needs no team."""
        index = self._subscription.index
        if not index.needs_keys:
            return Ok("")
        if not is_public and not is_fresh:
            # The key may have been revoked since the last table update.
            return Err(_not_ready("the routing table may be out of date"))
        team = index.team(hash_key(metadata.key)) if metadata.key else None
        if team is not None:
            return Ok(team.team)
        if is_public:
            return Ok("")
        detail = "the key belongs to no team" if metadata.key else "no team key"
        return Err(permanent_problem(401, "team-key", detail))

    async def _refuse(self, receive: Any, sink: "_AsgiSink", problem: Problem) -> None:
        """Send an error answer after reading the body.

        Closing the connection with unread data would reset it and lose the answer.
        """
        limit = self._subscription.index.table.limits.max_body_bytes
        try:
            body = await read_body(receive, 0, limit, lambda count: True)
        except CallerDisconnectedError:
            return
        self._counts.record_body(len(body.unwrap_or(b"")))
        await self._send_problem(sink, problem, close=body.is_err())

    async def _send_problem(
        self, sink: "_AsgiSink", problem: Problem, close: bool
    ) -> None:
        if close:
            sink.close_connection()
        headers = self._codec.problem_headers(problem)
        await sink.start(problem.status, headers)
        await sink.finish()


class _AsgiSink:
    """Sends one answer over ASGI.

    :param send: ASGI send callable.
    :param is_closing: returns whether the connection is closed after the answer.
    :param connection: the caller's connection; None if the listener records none.
    """

    def __init__(
        self,
        send: Any,
        is_closing: Callable[[], bool],
        connection: CallerConnection | None,
    ) -> None:
        self.connection = connection
        self._send = send
        self._is_closing = is_closing
        self._closes_connection = False
        self._watch: CallerWatch | None = None

    def set_watch(self, watch: CallerWatch) -> None:
        """Measure from now on how long sends to the caller block.

        :param watch: monitors the caller's connection.
        """
        self._watch = watch

    def close_connection(self) -> None:
        """Close the connection after the answer."""
        self._closes_connection = True

    def is_closed(self) -> bool:
        """Return whether the caller has closed its connection."""
        return self.connection is not None and self.connection.is_closed()

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send status and headers."""
        if self._closes_connection or self._is_closing():
            headers = (*headers, (b"connection", b"close"))
        message = {"type": "http.response.start", "status": status}
        await self._send(message | {"headers": list(headers)})

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self._deliver(chunk, more=True)

    async def finish(self) -> None:
        """Mark the answer as complete."""
        await self._deliver(b"", more=False)

    async def _deliver(self, chunk: bytes, more: bool) -> None:
        if self._watch is not None:
            self._watch.stall.begin()
        message = {"type": "http.response.body", "body": chunk, "more_body": more}
        await self._send(message)
        if self._watch is not None:
            self._watch.stall.end()


def _not_ready(detail: str) -> Problem:
    return Problem(503, "not-ready", detail, retry_after_s=STALE_RETRY_AFTER_S)


def _patience_s(deadline_s: float | None) -> float:
    """Return how long a caller waits until its request is read, in seconds."""
    if deadline_s is None:
        return MAX_UNREAD_S
    return min(MAX_UNREAD_S, MAX_UNREAD_SHARE * deadline_s)


def _unread(unread_s: float) -> Problem:
    detail = f"the request was not read for up to {unread_s:.3f} s"
    return Problem(503, "late", detail, retry_after_s=LATE_RETRY_AFTER_S)


def _draining() -> Problem:
    detail = "this router is shutting down"
    return Problem(503, "draining", detail, retry_after_s=DRAINING_RETRY_AFTER_S)


def _log_refusal(
    scope: Any,
    headers: tuple[Header, ...],
    problem: Problem,
    subscription: TableSubscription,
    unread: UnreadTime | None,
) -> None:
    eliot.log_message(
        "request:refused",
        path=scope["path"],
        domain=dict(headers).get(b"host", b"").decode("latin-1"),
        status=problem.status,
        cause=problem.detail,
        table_version=subscription.version,
        fresh_left_s=round(subscription.fresh_left_s(), 2),
        **unread_fields(unread),
    )


def _unread_time(scope: Any) -> UnreadTime | None:
    """Return how long a request was in the socket; None where that is unknown."""
    arrival = arrival_of(scope)
    if arrival is None:
        return None
    started_s = now()
    return UnreadTime(
        started_s - arrival.latest_s, started_s - arrival.earliest_s, arrival.is_first
    )
