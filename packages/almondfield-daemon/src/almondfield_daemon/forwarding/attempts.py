"""Sends a request to one backend server and returns the outcome."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import replace

from result import Err, Ok

from almondfield_core.clock import now
from almondfield_core.messages import ServerFailure
from almondfield_core.routing import RequestKind
from almondfield_core.tables import Timeouts
from almondfield_daemon.backend.headers import end_to_end
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.messages import (
    AnswerMetadata,
    CallMetadata,
    ForwardRequest,
)
from almondfield_daemon.forwarding.outcomes import (
    Answered,
    AnswerLost,
    Attempt,
    Misdirected,
    NotExecuted,
    Unsent,
    Withheld,
)
from almondfield_daemon.forwarding.ports import HeaderCodec, HeadWait
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.router.calls import (
    SUCCESS_STATUSES,
    AnswerCutError,
    AnswerHead,
    BackendAnswer,
    BackendCall,
    Backends,
    Header,
)
from almondfield_daemon.server_notices import ServerClosedError, ServerNotice

__all__ = ["AttemptSender"]

CONNECT_TIMEOUT_S = 0.5  # many round trips; TCP retransmits a lost SYN only after 1 s
MISDIRECTED_STATUS = 421


class AttemptSender:
    """Sends requests to single backend servers over the ``Backends`` port.

    :param backends: sends requests.
    :param codec: reads and writes headers.
    :param host_delay: delay of this host, which timeouts leave out.
    :param max_discarded_bytes: most bytes of a refusal that are received.
    """

    def __init__(
        self,
        backends: Backends,
        codec: HeaderCodec,
        host_delay: HostDelay,
        max_discarded_bytes: int,
    ) -> None:
        self._max_discarded_bytes = max_discarded_bytes
        self._backends = backends
        self._codec = codec
        self._host_delay = host_delay

    async def send(
        self,
        request: ForwardRequest,
        server: FleetServer,
        last_event_id: str,
        watch: HeadWait,
        check: Callable[[], None],
        on_notices: Callable[[tuple[ServerNotice, ...], float], None],
        is_repeat: bool,
    ) -> Attempt:
        """Return the outcome of one attempt, once the head of the answer has arrived.

        :param request: the request.
        :param server: the server.
        :param last_event_id: last event that the caller received; empty for none.
        :param watch: watches the wait for the head of the answer.
        :param check: called right before the request is sent; raises an error if the
            caller has left or the server takes no work any more.
        :param on_notices: called with what the head of an answer says about further
            work, and when it was received, whatever becomes of the answer.
        :param is_repeat: whether an earlier attempt may have run.
        """

        def check_and_begin() -> None:
            check()
            watch.begin()

        metadata = AnswerMetadata()

        def on_head(head: AnswerHead) -> None:
            nonlocal metadata
            metadata = self._codec.read_answer(head.status, head.headers)
            # Another server's answer says nothing about this one.
            if head.status != MISDIRECTED_STATUS:
                on_notices(metadata.notices, head.received_s)

        call = self._call(request, server, last_event_id, check_and_begin, is_repeat)
        call = replace(call, on_head=on_head)
        try:
            result = await self._backends.send(call)
            watch.end()
        except ServerClosedError as error:
            return Withheld(str(error))
        match result:
            case Err(failure) if not failure.may_have_run:
                return Unsent(failure.reason, failure.timed_out, failure.is_refused)
            case Err(failure):
                is_timeout = failure.failure is ServerFailure.FIRST_BYTE
                is_timeout = is_timeout and now() >= request.until_s
                return AnswerLost(
                    failure.reason,
                    is_timeout,
                    failure.timed_out,
                    failure.is_cut,
                    failure.is_idle_cut,
                )
            case Ok(answer):
                return await self._classify(request, answer, metadata)

    def _call(
        self,
        request: ForwardRequest,
        server: FleetServer,
        last_event_id: str,
        check: Callable[[], None],
        is_repeat: bool,
    ) -> BackendCall:
        headers = tuple(
            header
            for header in end_to_end(request.headers)
            if header[0] not in (b"host", b"content-length", b"expect")
        )

        def prepare_headers() -> tuple[Header, ...]:
            check()
            remaining_s = max(0.0, request.until_s - now())
            metadata = CallMetadata(
                server.name, remaining_s, request.team, last_event_id
            )
            return self._codec.call_headers(headers, metadata)

        value_by_name = dict(request.headers)
        return BackendCall(
            address=server.address,
            method=request.method,
            target=request.target,
            headers=(),
            prepare_headers=prepare_headers,
            body=request.body,
            timeouts=self._timeouts(request),
            pooled=_may_share_connection(request, is_repeat),
            authority=value_by_name.get(b"host", b""),
            may_end_by_close=True,
            expects_events=request.route.kind is RequestKind.STREAMING,
        )

    def _timeouts(self, request: ForwardRequest) -> Timeouts:
        """Return timeouts by which only the deadline ends an attempt that was sent."""
        remaining_s = max(0.0, request.until_s - now())
        delay_s = self._host_delay.allowance_s()
        return Timeouts(
            connect_s=min(CONNECT_TIMEOUT_S + delay_s, remaining_s),
            first_byte_s=remaining_s,
            chunk_s=remaining_s,
        )

    async def _classify(
        self,
        request: ForwardRequest,
        answer: BackendAnswer,
        metadata: AnswerMetadata,
    ) -> Attempt:
        if not metadata.request_id and not answer.is_first:
            answer.close()
            return AnswerLost("the answer names no request, on a kept connection")
        if metadata.request_id not in ("", request.metadata.request_id):
            answer.close()
            return AnswerLost("the answer belongs to another request")
        if answer.status == MISDIRECTED_STATUS:
            await self._discard_body(answer)
            return Misdirected()
        if metadata.was_not_run:
            await self._discard_body(answer)
            return NotExecuted(answer.status, metadata)
        is_named = bool(metadata.request_id)
        if answer.status in SUCCESS_STATUSES and not (is_named and metadata.is_signed):
            answer.close()
            return AnswerLost("success status without signature or request identifier")
        if metadata.is_encoded:
            answer.close()
            return AnswerLost("the answer has a content encoding")
        return Answered(answer, metadata)

    async def _discard_body(self, answer: BackendAnswer) -> None:
        """Read a short answer to its end, so that its connection can be reused."""
        try:
            async with (
                asyncio.timeout(CONNECT_TIMEOUT_S),
                aclosing(answer.chunks()) as chunks,
            ):
                async for _ in chunks:
                    if answer.received_bytes > self._max_discarded_bytes:
                        break
        except (TimeoutError, AnswerCutError):
            # The status decides the outcome; only the connection can't be reused.
            pass
        finally:
            answer.close()


def _may_share_connection(request: ForwardRequest, is_repeat: bool) -> bool:
    """Return whether a pooled connection may carry the request.

    If the server closes an idle connection while the request is sent, or repeats an
    earlier answer, it is unknown whether the request ran. A repeat, which may be the
    last one, is spared that.
    """
    return request.route.may_run_again and not is_repeat
