"""Sends a request to one backend server and tells how that ended."""

import asyncio

from result import Err, Ok

from almondfield_core.clock import now
from almondfield_core.messages import ServerFailure
from almondfield_core.routing import RequestKind
from almondfield_core.tables import Timeouts
from almondfield_daemon.backend.headers import end_to_end
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.messages import CallMarks, ForwardRequest
from almondfield_daemon.forwarding.outcomes import (
    Answered,
    Attempt,
    Lost,
    Misdirected,
    NotExecuted,
    Unsent,
)
from almondfield_daemon.forwarding.ports import HeaderCodec
from almondfield_daemon.router.calls import (
    AnswerCutError,
    BackendAnswer,
    BackendCall,
    Backends,
)

__all__ = ["Attempts"]

CONNECT_TIMEOUT_S = 0.5  # many round trips; a lost opening packet comes after 1 s
MISDIRECTED = 421
SUCCESS = range(200, 300)


class Attempts:
    """Makes attempts over the port to backend servers.

    :param backends: sends requests.
    :param codec: reads and writes headers.
    """

    def __init__(self, backends: Backends, codec: HeaderCodec) -> None:
        self._backends = backends
        self._codec = codec

    async def make(
        self,
        request: ForwardRequest,
        server: FleetServer,
        last_event_id: str,
        answer_timeout_s: float,
        silence_s: float,
    ) -> Attempt:
        """Return how one attempt ended, once the head of an answer is known.

        :param request: the request.
        :param server: the server.
        :param last_event_id: last event that the caller has; empty for none.
        :param answer_timeout_s: longest wait for the head of the answer.
        :param silence_s: longest wait for each further part of it.
        """
        timeouts = _timeouts(request, answer_timeout_s, silence_s)
        call = self._call(request, server, last_event_id, timeouts)
        match await self._backends.send(call):
            case Err(failure) if not failure.may_have_run:
                return Unsent(failure.reason)
            case Err(failure):
                is_timeout = failure.failure is ServerFailure.FIRST_BYTE
                is_timeout = is_timeout and now() >= request.until_s
                return Lost(failure.reason, is_timeout)
            case Ok(answer):
                return await self._judge(request, answer)

    def _call(
        self,
        request: ForwardRequest,
        server: FleetServer,
        last_event_id: str,
        timeouts: Timeouts,
    ) -> BackendCall:
        left_s = max(0.0, request.until_s - now())
        marks = CallMarks(server.name, left_s, request.team, last_event_id)
        headers = tuple(
            header
            for header in end_to_end(request.headers)
            if header[0] not in (b"host", b"content-length", b"expect")
        )
        value_by_name = dict(request.headers)
        return BackendCall(
            address=server.address,
            method=request.method,
            target=request.target,
            headers=self._codec.call_headers(headers, marks),
            body=request.body,
            timeouts=timeouts,
            pooled=_may_share_connection(request),
            authority=value_by_name.get(b"host", b""),
            may_end_by_close=True,
        )

    async def _judge(self, request: ForwardRequest, answer: BackendAnswer) -> Attempt:
        marks = self._codec.read_answer(answer.headers)
        if marks.request_id not in ("", request.marks.request_id):
            answer.close()
            return Lost("the answer belongs to another request")
        if answer.status == MISDIRECTED:
            await _read_out(answer)
            return Misdirected()
        if marks.was_not_run:
            await _read_out(answer)
            return NotExecuted(answer.status)
        is_named = bool(marks.request_id)
        if answer.status in SUCCESS and not (is_named and marks.is_signed):
            answer.close()
            return Lost("a success without signature or identifier")
        if marks.is_encoded:
            answer.close()
            return Lost("the body is encoded")
        return Answered(answer, marks)


async def _read_out(answer: BackendAnswer) -> None:
    """Read a short answer to its end, so that its connection can be used again."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            async for _ in answer.chunks():
                pass
    except (TimeoutError, AnswerCutError):
        # The status says all; only the connection is lost.
        pass
    finally:
        answer.close()


def _timeouts(
    request: ForwardRequest, answer_timeout_s: float, silence_s: float
) -> Timeouts:
    left_s = max(0.0, request.until_s - now())
    return Timeouts(
        connect_s=min(CONNECT_TIMEOUT_S, left_s),
        first_byte_s=min(answer_timeout_s, left_s),
        chunk_s=min(silence_s, left_s),
    )


def _may_share_connection(request: ForwardRequest) -> bool:
    """Return whether a kept connection may carry the request.

    One that the server closes meanwhile leaves it open whether the request ran.
    """
    match request.route.kind:
        case RequestKind.IDEMPOTENT:
            return True
        case RequestKind.STREAMING:
            return request.route.is_resumable
        case RequestKind.NON_IDEMPOTENT:
            return False
