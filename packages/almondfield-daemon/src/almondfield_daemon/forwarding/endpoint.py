"""HTTP endpoint of a router for callers' requests."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import Any

import eliot
from result import Err, Ok, Result

from almondfield_control.publishing import TableSubscription
from almondfield_core.clock import now
from almondfield_daemon.edge.bodies import (
    BodyBudget,
    BodyReservation,
    CallerDisconnectedError,
    IncomingBody,
    discard_body,
    read_body,
)
from almondfield_daemon.edge.watch import CallerWatch
from almondfield_daemon.forwarding.core import Forwarder
from almondfield_daemon.forwarding.counts import RequestCounts
from almondfield_daemon.forwarding.intake import REQUEST_KEY, RequestIntake
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.ports import HeaderCodec
from almondfield_daemon.forwarding.reports import unread_fields
from almondfield_daemon.forwarding.run import StreamBrokenError
from almondfield_daemon.forwarding.stop_limits import StopPlan, draining
from almondfield_daemon.router.calls import Header
from almondfield_daemon.router.problems import Outcome, Problem
from almondfield_daemon.serving import CallerConnection, RequestHead, connection_of

__all__ = ["ForwardEndpoint"]

# A caller that always has a request waiting must not keep its connection.
MAX_DEFERRED_CLOSES = 16


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
        self.intake = RequestIntake(
            forwarder, subscription, codec, self._counts, self._must_close
        )
        self._is_closing = False
        self._connection_count: Callable[[], int] = lambda: 0
        self._max_connections = 0
        self.running = 0

    def drain(self, plan: StopPlan) -> None:
        """Take in requests only for some time, and close connections after answers.

        :param plan: the times of the stop; running requests continue up to its end.
        """
        self._is_closing = True
        self._forwarder.stop_limits.begin(plan)

    def limit_connections(self, count: Callable[[], int], limit: int) -> None:
        """Close a caller's connection after its answer while too many are open.

        Callers keep connections for later requests; without descriptors left, the host
        would accept no new ones.

        :param count: returns the number of open connections.
        :param limit: number of connections above which they are closed.
        """
        self._connection_count = count
        self._max_connections = limit

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        self.running += 1
        connection = connection_of(scope)
        must_close = partial(self._must_close_after, connection)
        sink = _AsgiSink(send, must_close, connection)
        body = IncomingBody(receive, _expects_continue(scope))
        try:
            await self._handle(scope, body, sink)
        except StreamBrokenError:
            # Returning before the end of the answer closes the connection.
            pass
        except Exception:
            eliot.write_traceback()
            eliot.log_message(
                "request:failed",
                request_id=sink.request_id,
                is_started=sink.is_started,
            )
            problem = Problem(500, "internal", "unexpected failure", Outcome.UNKNOWN)
            with suppress(RuntimeError):
                await self._send_problem(sink, problem, close=not body.is_ended)
        finally:
            self.running -= 1

    def _must_close(self) -> bool:
        return self._is_closing or self._connection_count() > self._max_connections

    def _must_close_after(self, connection: CallerConnection | None) -> bool:
        """Return whether a connection closes after the answer that begins now.

        What has come behind the request is answered first.
        """
        if not self._must_close():
            return False
        if connection is None or not connection.has_waiting():
            return True
        if self._is_closing:
            return False
        connection.deferred_closes += 1
        return connection.deferred_closes > MAX_DEFERRED_CLOSES

    async def _handle(self, scope: Any, body: IncomingBody, sink: "_AsgiSink") -> None:
        request = scope.get("state", {}).get(REQUEST_KEY)
        if request is None:
            # The listener passes a request on unchecked while another one is served on
            # its connection.
            head = _read_head(scope)
            match self.intake.prepare(head):
                case Ok(request):
                    pass
                case Err(problem):
                    self.intake.record_refusal(head, problem)
                    await self._refuse(body, sink, problem)
                    return
        sink.request_id = request.metadata.request_id
        held = BodyReservation(self._budget, request.team)
        try:
            await self._read_and_serve(request, body, sink, held)
        except CallerDisconnectedError as error:
            eliot.log_message(
                "request:abandoned",
                request_id=request.metadata.request_id,
                reason=str(error),
                after_ms=round((now() - request.arrived_s) * 1000, 1),
                **unread_fields(request.unread),
            )
        finally:
            held.release()

    async def _read_and_serve(
        self,
        request: ForwardRequest,
        incoming: IncomingBody,
        sink: "_AsgiSink",
        held: BodyReservation,
    ) -> None:
        match await self._read_body(request, incoming, held):
            case Ok(body):
                self._counts.record_body(len(body))
                request = replace(request, body=body)
                # The body may have taken long.
                late = self._forwarder.stop_limits.refusal(request.route)
                if late is not None:
                    self._counts.record_refusal(request.team, late.kind)
                    _log_body_refusal(request, late)
                    await self._send_problem(sink, late, close=False)
                    return
            case Err(problem):
                self._counts.record_refusal(request.team, problem.kind)
                _log_body_refusal(request, problem)
                held.release()
                is_ended = await self._discard_rest(incoming)
                await self._send_problem(sink, problem, close=not is_ended)
                return
        async with CallerWatch(incoming, sink.connection) as watch:
            sink.set_watch(watch)
            problem = await self._forwarder.serve(request, sink)
            if problem is not None:
                await self._send_problem(sink, problem, close=False)

    async def _read_body(
        self, request: ForwardRequest, incoming: IncomingBody, held: BodyReservation
    ) -> Result[bytes, Problem]:
        """Return the whole body of a request, or why it isn't read to its end."""
        declared = int(dict(request.headers).get(b"content-length", b"0"))
        limit = request.max_body_bytes
        try:
            async with self._forwarder.stop_limits.limit():
                return await read_body(incoming, declared, limit, held.reserve)
        except TimeoutError:
            return Err(draining())

    async def _discard_rest(self, incoming: IncomingBody) -> bool:
        """Return whether a refused body has ended, so that the connection goes on."""
        try:
            async with self._forwarder.stop_limits.limit():
                return await incoming.discard_rest()
        except TimeoutError:
            # The connection closes; the refusal is logged with its cause.
            return False

    async def _refuse(
        self, incoming: IncomingBody, sink: "_AsgiSink", problem: Problem
    ) -> None:
        """Send an error answer after discarding the body.

        Closing the connection with unread data would reset it and lose the answer.
        """
        limit = self._subscription.index.table.limits.max_body_bytes
        size = 0
        is_ended = False
        try:
            async with self._forwarder.stop_limits.limit():
                size = await discard_body(incoming, limit)
            is_ended = await self._discard_rest(incoming)
        except CallerDisconnectedError:
            return
        except TimeoutError:
            # The connection closes; the refusal is logged with its cause.
            pass
        self._counts.record_body(size)
        await self._send_problem(sink, problem, close=not is_ended)

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

    :ivar request_id: the request that is answered; empty until its head is read.
    :ivar is_started: whether a part of the answer was sent.
    """

    def __init__(
        self,
        send: Any,
        is_closing: Callable[[], bool],
        connection: CallerConnection | None,
    ) -> None:
        self.connection = connection
        self.request_id = ""
        self.is_started = False
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

    def check_caller(self) -> None:
        """Raise an error if the caller has closed its connection."""
        if self.connection is not None and self.connection.is_closed():
            raise CallerDisconnectedError("the caller closed its connection")

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send status and headers."""
        if self._closes_connection or self._is_closing():
            headers = (*headers, (b"connection", b"close"))
        self.is_started = True
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


def _log_body_refusal(request: ForwardRequest, problem: Problem) -> None:
    """Log a refusal that comes while the body is read, or right after it."""
    eliot.log_message(
        "request:refused",
        request_id=request.metadata.request_id,
        route=request.route.name,
        team=request.team,
        status=problem.status,
        cause=problem.detail,
        table_version=request.table_version,
        after_ms=round((now() - request.arrived_s) * 1000, 1),
        **unread_fields(request.unread),
    )


def _expects_continue(scope: Any) -> bool:
    expect = dict(scope.get("headers", ())).get(b"expect", b"")
    return expect.lower() == b"100-continue"


def _read_head(scope: Any) -> RequestHead:
    return RequestHead(
        method=scope["method"],
        path=scope.get("raw_path") or scope["path"].encode(),
        query=scope.get("query_string", b""),
        headers=tuple((name.lower(), value) for name, value in scope["headers"]),
        state=scope.get("state", {}),
    )
