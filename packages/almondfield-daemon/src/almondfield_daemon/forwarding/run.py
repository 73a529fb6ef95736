"""Runs the attempts of one request and sends an answer to the caller."""

from contextlib import aclosing
from functools import partial

from almondfield_core.clock import now
from almondfield_core.findings import AlmondfieldError
from almondfield_core.routing import RequestKind
from almondfield_daemon.forwarding.answers import AnswerReservation, read_body
from almondfield_daemon.forwarding.attempt_log import log_attempt
from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import PendingRepeat, RetryWindow
from almondfield_daemon.forwarding.delivery import AnswerDelivery
from almondfield_daemon.forwarding.hand_over import MIN_REMAINING_S, HandOver
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import (
    Answered,
    AnswerLost,
    Attempt,
    Misdirected,
    NotExecuted,
    Unsent,
    Withheld,
)
from almondfield_daemon.forwarding.own_answers import no_answer, refusal
from almondfield_daemon.forwarding.pacing import StreamPacing
from almondfield_daemon.forwarding.ports import ResponseSink, StreamOrigins
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_limits import (
    SilenceLimits,
    silence_limits,
)
from almondfield_daemon.forwarding.silence_watch import SilenceWatch
from almondfield_daemon.forwarding.stop_limits import StopLimits
from almondfield_daemon.forwarding.stream_progress import StreamProgress
from almondfield_daemon.forwarding.unavailable import RETRY_AFTER_S, Unavailable
from almondfield_daemon.router.calls import (
    FIRST_ERROR_STATUS,
    AnswerCutError,
    Header,
)
from almondfield_daemon.router.joining import WRONG_VERSION
from almondfield_daemon.router.problems import Problem
from almondfield_daemon.scheduling import EngineAssignment
from almondfield_daemon.server_notices import ServerClosedError

__all__ = ["RequestRun", "StreamBrokenError"]

MAX_UNSENT_ATTEMPTS = 4  # attempts without a sent byte before the caller is refused


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
    :param held: memory of answers that are held until they are complete.

    :ivar delivery: the answer to the caller.
    :ivar progress: how far the caller of a stream has got.
    :ivar sent: attempts of which a byte may have been sent.
    :ivar silent_attempts: attempts that this router ended because their servers sent
        nothing for some time.
    :ivar may_have_run: whether a server may have run the request.
    :ivar first_attempt_s: seconds from arrival to the first attempt; None before.
    :ivar framing: how the last answer states where its body ends; empty before.
    :ivar server_name: server of the last attempt; empty before the first.
    :ivar server_version: software version of that server.
    :ivar assignment: the last attempt's assignment to a model engine; None otherwise.
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
        held: AnswerReservation,
    ) -> None:
        self._request = request
        self._held = held
        self._request_id = request.metadata.request_id
        self._stop_limits = stop_limits
        self._attempts = attempts
        self._servers = servers
        self._pending = PendingRepeat(window)
        self.delivery = AnswerDelivery(sink, request.arrived_s)
        self._hand_over = HandOver(request, servers, window, self._pending, stop_limits)
        self.progress = StreamProgress(request, servers, origins, self.delivery, pacing)
        self._limits = SilenceLimits()
        self._is_last = False
        self._unsent_attempts = 0
        self._tried: frozenset[str] = frozenset()
        self._has_lost_server = False
        # An answer with a failure, to be sent unless another attempt has a better one.
        self._failed_answer: tuple[int, tuple[Header, ...], bytes] | None = None
        self.sent = 0
        self.silent_attempts = 0
        self.may_have_run = False
        self.first_attempt_s: float | None = None
        self.framing = ""
        self.server_name = ""
        self.server_version = ""
        self.assignment: EngineAssignment | None = None

    async def serve(self) -> Problem | None:
        """Return None once the answer was sent, or the reason why none was sent.

        :raises StreamBrokenError: if a partly sent answer can't be completed.
        """
        try:
            if self._request.route.kind is RequestKind.STREAMING:
                return await self._serve_stream()
            return await self._serve_buffered()
        finally:
            self._hand_over.close()
            self._pending.drop()

    async def _serve_buffered(self) -> Problem | None:
        """Send an answer once it is complete; a truncated one can be replaced."""
        while True:
            match await self._next_answer():
                case Problem() as problem:
                    return None if await self.send_failed_answer() else problem
                case (SelectedServer() as selected, Answered(answer)):
                    pass
            try:
                async with aclosing(answer.chunks()) as chunks:
                    body, is_complete = await read_body(chunks, self._held.reserve)
                    if not is_complete:
                        self._hand_over.settle()
                        await self.delivery.send_large(
                            answer.status, answer.headers, body, chunks
                        )
                        selected.record_success(answer)
                        return None
            except AnswerCutError as error:
                may_repeat = self._record_truncation(selected, error)
                if self.delivery.is_started:
                    raise StreamBrokenError(str(error)) from None
                if may_repeat:
                    continue
                if await self.send_failed_answer():
                    return None
                return self._no_answer(str(error), is_timeout=False)
            finally:
                answer.close()
                selected.end()
            selected.record_success(answer)
            complete = (answer.status, answer.headers, body)
            is_failure = answer.status >= FIRST_ERROR_STATUS
            if not is_failure:
                self._hand_over.settle()
            if is_failure and (self._may_repeat() or self._hand_over.try_return()):
                self._failed_answer = complete
                self._tried |= {selected.server.name}
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
            match await self._next_answer():
                case Problem() as problem:
                    if self.delivery.is_started:
                        raise StreamBrokenError(problem.detail)
                    return problem
                case (SelectedServer() as selected, Answered(answer) as answered):
                    pass
            try:
                self.progress.check_head(answered, selected.server)
                async with self._watch(selected, self._limits.first_event_s) as watch:
                    settle = partial(self._settle, selected, watch)
                    await self.progress.forward(answered, selected, watch, settle)
                selected.record_success(answer, selected.began_s is not None)
                return None
            except AnswerCutError as error:
                answer.close()
                self.progress.cut()
                may_repeat = self._record_truncation(selected, error)
                if may_repeat and self.progress.can_go_on():
                    continue
                if self.delivery.is_started:
                    raise StreamBrokenError(str(error)) from None
                return self._no_answer(str(error), is_timeout=False)
            finally:
                answer.close()
                selected.end()

    def _settle(self, selected: SelectedServer, watch: SilenceWatch) -> None:
        """Record that a server has sent an event, so that the stream stays there."""
        self._hand_over.settle()
        watch.set_limit(self._limits.chunk_s + selected.delay_allowance_s)

    async def _next_answer(self) -> Problem | tuple[SelectedServer, Answered]:
        """Return a server's answer, or the problem to send instead."""
        while True:
            if self._remaining_s() < MIN_REMAINING_S:
                return self._no_answer(
                    "the deadline passed before the answer was complete", True
                )
            if refused := self._stop_refusal():
                return refused
            selected = await self._hand_over.choose(
                self._tried, self._has_lost_server, self.progress.version
            )
            if isinstance(selected, Unavailable):
                if self._hand_over.try_return():
                    continue
                return self._refusal(selected.detail, selected.retry_after_s)
            self.server_name = selected.server.name
            self.server_version = selected.server.version
            self.assignment = selected.assignment
            outcome = await self._attempt(selected)
            match outcome:
                case Answered():
                    self.framing = outcome.answer.framing
                    selected.record_answer(outcome.metadata)
                    return selected, outcome
                case _:
                    selected.end_failed(outcome)
                    problem = self._handle_failure(selected, outcome)
                    if problem is not None and not self._hand_over.try_return():
                        return problem

    async def _attempt(self, selected: SelectedServer) -> Attempt:
        may_have_run = self.may_have_run
        if self.first_attempt_s is None:
            self.first_attempt_s = now() - self._request.arrived_s
        self._is_last = self.sent + 1 >= self._request.route.max_attempts
        self._limits = silence_limits(
            self._request.route,
            is_last=self._is_last,
            can_go_back=self._hand_over.can_go_back,
            takes_over=self._hand_over.takes_over,
            time_to_first_token_s=selected.time_to_first_token_s,
        )
        try:
            async with self._watch(selected, self._limits.answer_s) as watch:
                outcome = await self._attempts.send(
                    self._request,
                    selected.server,
                    self.progress.last_event_id,
                    watch,
                    lambda: self._check_before_sending(selected),
                    partial(selected.record_notices, self._request_id),
                    is_repeat=may_have_run,
                )
        except AnswerCutError as error:
            outcome = AnswerLost(str(error), timed_out=error.timed_out)
        except BaseException:
            self._pending.record_sent()
            selected.end()
            raise
        if isinstance(outcome, Unsent | Withheld | NotExecuted | Misdirected):
            self.may_have_run = may_have_run
        if not isinstance(outcome, Unsent | Withheld):
            self._pending.record_sent()
            self.sent += 1
        if not isinstance(outcome, Answered):
            log_attempt(self._request, selected.server, outcome)
        return outcome

    def _watch(self, selected: SelectedServer, limit_s: float) -> SilenceWatch:
        tried = self._tried | {selected.server.name}

        async def choose() -> SelectedServer | Unavailable:
            return await self._servers.choose_replacement(
                self._request, tried, self.progress.version
            )

        def choose_again(name: str) -> SelectedServer | Unavailable:
            return self._servers.choose_again(
                self._request, name, self.progress.version, is_just_left=False
            )

        return self._hand_over.watch(
            selected,
            limit_s,
            None if self._is_last else choose,
            choose_again,
            self.progress.can_go_on,
        )

    def _check_before_sending(self, selected: SelectedServer) -> None:
        self.delivery.check_caller()
        if refused := self._stop_refusal():
            raise ServerClosedError(refused.detail)
        selected.check_notices()
        if self.progress.has_wrong_version(selected.server):
            raise ServerClosedError(WRONG_VERSION)
        # A cancellation or timeout from now on leaves it unknown whether it ran.
        self.may_have_run = True

    def _handle_failure(
        self, selected: SelectedServer, outcome: Attempt
    ) -> Problem | None:
        """Return the problem that ends the request; None for another attempt."""
        self._tried |= {selected.server.name}
        match outcome:
            case Unsent(reason, timed_out, is_refused):
                selected.record_failure(reason, timed_out)
                if is_refused:
                    selected.record_refused()
                self._has_lost_server = True
                self._unsent_attempts += 1
                if self._unsent_attempts < MAX_UNSENT_ATTEMPTS:
                    return None
                return self._refusal(reason)
            case Withheld(reason):
                self._unsent_attempts += 1
                if self._unsent_attempts < MAX_UNSENT_ATTEMPTS:
                    return None
                return self._refusal(reason, self._retry_after_s())
            case Misdirected():
                self._servers.exclude_misdirected(selected)
                detail = "another server has the address"
                return None if self._may_send_again() else self._refusal(detail)
            case NotExecuted(status):
                if self._may_send_again():
                    return None
                detail = f"the server refused with {status}"
                return self._refusal(detail, self._retry_after_s())
            case AnswerLost(reason=reason, is_timeout=is_timeout):
                if self._record_loss(selected, outcome):
                    return None
                return self._no_answer(reason, is_timeout)

    def _record_truncation(
        self, selected: SelectedServer, error: AnswerCutError
    ) -> bool:
        """Return whether the request may be sent again after a truncated answer."""
        lost = AnswerLost(str(error), timed_out=error.timed_out, is_cut=error.is_cut)
        log_attempt(self._request, selected.server, lost, selected.began_s)
        return self._record_loss(selected, lost)

    def _record_loss(self, selected: SelectedServer, lost: AnswerLost) -> bool:
        """Return whether the request may be sent again after a lost answer."""
        self.may_have_run = True
        self._has_lost_server = True
        self._tried |= {selected.server.name}
        self.silent_attempts += lost.timed_out
        if lost.is_cut or lost.is_idle_cut:
            selected.record_cut(lost.is_idle_cut)
        selected.record_failure(lost.reason, lost.timed_out)
        return self._may_repeat() or self._hand_over.try_return()

    def _may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again now."""
        if self._hand_over.is_secured:
            return True
        return self._request.route.may_run_again and self._may_send_again()

    def _may_send_again(self) -> bool:
        route = self._request.route
        if self.sent >= route.max_attempts:
            return False
        if not self._stop_limits.allows_attempt(route):
            return False
        return self._remaining_s() >= MIN_REMAINING_S and self._pending.try_spend()

    def _stop_refusal(self) -> Problem | None:
        if self.may_have_run:
            return None
        return self._stop_limits.refusal(self._request.route, is_new=not self.sent)

    def _remaining_s(self) -> float:
        return self._stop_limits.remaining_s(self._request.until_s)

    def _refusal(self, detail: str, retry_after_s: float = RETRY_AFTER_S) -> Problem:
        return refusal(detail, self.may_have_run, retry_after_s)

    def _no_answer(self, detail: str, is_timeout: bool) -> Problem:
        return no_answer(detail, self.may_have_run, is_timeout)

    def _retry_after_s(self) -> float:
        return self._servers.retry_after_s(self._request, self.progress.version)
