"""Runs the attempts of one request and sends an answer to the caller."""

from contextlib import aclosing
from functools import partial

from almondfield_core.findings import AlmondfieldError
from almondfield_core.routing import RequestKind
from almondfield_daemon.forwarding.answers import AnswerReservation, read_body
from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.delivery import AnswerDelivery
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import Answered
from almondfield_daemon.forwarding.pacing import StreamPacing
from almondfield_daemon.forwarding.ports import ResponseSink, StreamOrigins
from almondfield_daemon.forwarding.request_attempts import RequestAttempts
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.stop_limits import StopLimits
from almondfield_daemon.forwarding.stream_progress import StreamProgress
from almondfield_daemon.hedging import Hedging
from almondfield_daemon.router.calls import (
    FIRST_ERROR_STATUS,
    AnswerCutError,
    Header,
)
from almondfield_daemon.router.problems import Problem

__all__ = ["RequestRun", "StreamBrokenError"]


class StreamBrokenError(AlmondfieldError):
    """Raised if a partly sent answer can't be completed."""


class RequestRun:
    """Runs the attempts of one request.

    :param request: the request.
    :param attempts: sends it to servers.
    :param servers: chooses servers.
    :param origins: knows where streams began.
    :param window: retry budget of the pool.
    :param sink: receives the answer.
    :param pacing: the work that all streams may cause, and the limits on answers.
    :param stop_limits: limits on requests while the router stops.
    :param hedging: decides about second copies of slow requests.
    :param held: memory of answers that are held until they are complete.

    :ivar delivery: the answer to the caller.
    :ivar progress: how far the caller of a stream has got.
    :ivar attempts: the attempts.
    """

    def __init__(
        self,
        request: ForwardRequest,
        attempts: AttemptSender,
        servers: ServerSelector,
        origins: StreamOrigins,
        window: RetryWindow,
        sink: ResponseSink,
        pacing: StreamPacing,
        stop_limits: StopLimits,
        hedging: Hedging,
        held: AnswerReservation,
    ) -> None:
        self._request = request
        self._held = held
        self.delivery = AnswerDelivery(sink, request.arrived_s)
        self.progress = StreamProgress(request, servers, origins, self.delivery, pacing)
        self.attempts = RequestAttempts(
            request,
            attempts,
            servers,
            window,
            stop_limits,
            hedging,
            self.delivery,
            self.progress,
            held.reserve,
        )
        # An answer with a failure, to be sent unless another attempt has a better one.
        self._failed_answer: tuple[int, tuple[Header, ...], bytes] | None = None

    async def serve(self) -> Problem | None:
        """Return None once the answer was sent, or the reason why none was sent.

        :raises StreamBrokenError: if a partly sent answer can't be completed.
        """
        try:
            if self._request.route.kind is RequestKind.STREAMING:
                return await self._serve_stream()
            return await self._serve_buffered()
        finally:
            self.attempts.close()

    async def _serve_buffered(self) -> Problem | None:
        """Send an answer once it is complete; a truncated one can be replaced."""
        while True:
            match await self.attempts.next_answer():
                case Problem() as problem:
                    return None if await self.send_failed_answer() else problem
                case (SelectedServer() as selected, Answered(answer)):
                    pass
            try:
                async with aclosing(answer.chunks()) as chunks:
                    body, is_complete = await read_body(chunks, self._held.reserve)
                    if not is_complete:
                        self.attempts.settle()
                        await self.delivery.send_large(
                            answer.status, answer.headers, body, chunks
                        )
                        selected.record_success(answer)
                        return None
            except AnswerCutError as error:
                may_repeat = self.attempts.record_truncation(selected, error)
                if self.delivery.is_started:
                    raise StreamBrokenError(str(error)) from None
                if may_repeat:
                    continue
                if await self.send_failed_answer():
                    return None
                return self.attempts.no_answer(str(error), is_timeout=False)
            finally:
                answer.close()
                selected.end()
            selected.record_success(answer)
            complete = (answer.status, answer.headers, body)
            is_failure = answer.status >= FIRST_ERROR_STATUS
            if not is_failure:
                self.attempts.settle()
            if is_failure and self.attempts.may_go_on(selected):
                self._failed_answer = complete
                continue
            await self.delivery.send_whole(*complete)
            return None

    async def send_failed_answer(self) -> bool:
        """Return whether a failure that a server answered was kept and is sent now."""
        if self._failed_answer is None or self.delivery.is_started:
            return False
        await self.delivery.send_whole(*self._failed_answer)
        return True

    async def _serve_stream(self) -> Problem | None:
        while True:
            match await self.attempts.next_answer():
                case Problem() as problem:
                    if self.delivery.is_started:
                        raise StreamBrokenError(problem.detail)
                    return problem
                case (SelectedServer() as selected, Answered(answer) as answered):
                    pass
            try:
                self.progress.check_head(answered, selected.server)
                async with self.attempts.watch_events(selected) as watch:
                    settle = partial(self.attempts.settle_stream, selected, watch)
                    await self.progress.forward(answered, selected, watch, settle)
                selected.record_success(answer, selected.began_s is not None)
                return None
            except AnswerCutError as error:
                answer.close()
                self.progress.cut()
                may_repeat = self.attempts.record_truncation(selected, error)
                if may_repeat and self.progress.can_go_on():
                    continue
                if self.delivery.is_started:
                    raise StreamBrokenError(str(error)) from None
                return self.attempts.no_answer(str(error), is_timeout=False)
            finally:
                answer.close()
                selected.end()
