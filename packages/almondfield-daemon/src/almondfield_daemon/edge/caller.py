"""Passes callers' requests to the router and streams the answers."""

from contextlib import aclosing, suppress
from dataclasses import replace
from typing import Any

import eliot
from result import Err, Ok

from almondfield_core.settings import DaemonSettings
from almondfield_daemon.edge.bodies import (
    BodyBudget,
    BodyReservation,
    CallerDisconnectedError,
    read_body,
)
from almondfield_daemon.edge.heads import RequestHead, parse_head, request_id_of
from almondfield_daemon.edge.replies import send_problem
from almondfield_daemon.edge.watch import CallerWatch
from almondfield_daemon.router import (
    Answer,
    AnswerCutError,
    CallerRequest,
    Outcome,
    Plan,
    Problem,
    Router,
)

__all__ = ["CallerEndpoint"]

OUTCOME_HEADER = b"almondfield-outcome"


class CallerEndpoint:
    """ASGI app for callers' requests.

    :param router: serves the requests.
    :param membership: returns other addresses for some error answers.
    :param settings: settings of the daemon.
    """

    def __init__(
        self, router: Router, membership: Any, settings: DaemonSettings
    ) -> None:
        self._router = router
        self._membership = membership
        self._limits = settings.limits
        self.budget = BodyBudget(settings.limits.max_queued_bytes)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        request_id = request_id_of(scope)
        try:
            await self._handle(scope, receive, send, request_id)
        except Exception:
            eliot.write_traceback()
            await self._send_internal_error(send, request_id)

    async def _handle(
        self, scope: Any, receive: Any, send: Any, request_id: str
    ) -> None:
        match parse_head(scope, request_id, self._limits):
            case Ok(head):
                await self._admit(head, receive, send)
            case Err(problem):
                await self._refuse(send, problem, request_id)

    async def _admit(self, head: RequestHead, receive: Any, send: Any) -> None:
        match self._router.admit(head.request):
            case Ok(plan):
                await self._read_and_serve(head, plan, receive, send)
            case Err(problem):
                await self._refuse(send, problem, head.request.request_id)

    async def _read_and_serve(
        self, head: RequestHead, plan: Plan, receive: Any, send: Any
    ) -> None:
        held = BodyReservation(self.budget, plan.route.team)
        try:
            body = await read_body(
                receive, head.declared_bytes, self._limits.max_body_bytes, held.reserve
            )
            match body:
                case Ok(content):
                    request = replace(head.request, body=content)
                    async with CallerWatch(receive) as watch:
                        await self._serve(request, plan, send, held, watch)
                case Err(problem):
                    await self._refuse(send, problem, head.request.request_id)
        except CallerDisconnectedError as error:
            _log_cut(head.request, str(error))
        finally:
            held.release()

    async def _serve(
        self,
        request: CallerRequest,
        plan: Plan,
        send: Any,
        held: BodyReservation,
        watch: CallerWatch,
    ) -> None:
        match await self._router.serve(request, plan):
            case Ok(answer):
                held.release()
                await self._stream(answer, request, send, watch)
            case Err(problem):
                await send_problem(send, problem, request.request_id, self._membership)

    async def _stream(
        self, answer: Answer, request: CallerRequest, send: Any, watch: CallerWatch
    ) -> None:
        """Stream an answer; returning before its end closes the connection."""
        try:
            await send(_start(answer, request))
            async with aclosing(answer.chunks()) as chunks:
                async for chunk in chunks:
                    watch.stall.begin()
                    await send(_part(chunk, more=True))
                    watch.stall.end()
            watch.stall.begin()
            await send(_part(b"", more=False))
        except AnswerCutError as error:
            _log_cut(request, f"backend server: {error}")
        finally:
            answer.close()

    async def _send_internal_error(self, send: Any, request_id: str) -> None:
        """Send an error with outcome "unknown", unless an answer was started."""
        problem = Problem(500, "internal", "unexpected failure", Outcome.UNKNOWN)
        with suppress(RuntimeError):
            await self._refuse(send, problem, request_id)

    async def _refuse(self, send: Any, problem: Problem, request_id: str) -> None:
        # The body may be incomplete; closing the connection avoids reading the rest.
        await send_problem(send, problem, request_id, self._membership, close=True)


def _log_cut(request: CallerRequest, reason: str) -> None:
    eliot.log_message("request:cut", request_id=request.request_id, reason=reason)


def _start(answer: Answer, request: CallerRequest) -> dict[str, Any]:
    headers = [
        header for header in answer.headers if header[0].lower() != OUTCOME_HEADER
    ]
    if not any(name.lower() == b"x-request-id" for name, _ in headers):
        headers.append((b"x-request-id", request.request_id.encode()))
    return {
        "type": "http.response.start",
        "status": answer.status,
        "headers": headers,
    }


def _part(body: bytes, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": more}
