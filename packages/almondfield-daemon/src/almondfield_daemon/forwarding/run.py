"""Runs the attempts of one request and sends an answer to the caller."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from almondfield_core.clock import now
from almondfield_core.findings import AlmondfieldError
from almondfield_core.messages import ServerFailure
from almondfield_core.routing import RequestKind
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.answers import read_body, stream_headers
from almondfield_daemon.forwarding.attempt_log import log_attempt
from almondfield_daemon.forwarding.attempt_timeouts import (
    AttemptTimeouts,
    attempt_timeouts,
)
from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import (
    Answered,
    AnswerLost,
    Attempt,
    FailedAttempt,
    Misdirected,
    NotExecuted,
    Unsent,
    Withheld,
)
from almondfield_daemon.forwarding.ports import ResponseSink, StreamOrigins
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import (
    RETRY_AFTER_S,
    ServerSelector,
    Unavailable,
)
from almondfield_daemon.forwarding.take_up import make_origin
from almondfield_daemon.router.calls import AnswerCutError, BackendAnswer, Header
from almondfield_daemon.router.events import EventTracker
from almondfield_daemon.router.problems import Outcome, Problem
from almondfield_daemon.scheduling import EngineAssignment

__all__ = ["RequestRun", "StreamBrokenError"]

MAX_UNSENT_ATTEMPTS = 4  # attempts without a sent byte before the caller is refused
MIN_REMAINING_S = 0.02  # less is too short for a backend server to answer


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
    :param max_event_bytes: limit on one event of a stream, in bytes.

    :ivar sent: attempts of which a byte may have been sent.
    :ivar may_have_run: whether a server may have run the request.
    :ivar is_started: whether a part of the answer was sent to the caller.
    :ivar status: status sent to the caller; 0 before.
    :ivar first_attempt_s: seconds from arrival to the first attempt; None before.
    :ivar first_part_s: seconds from arrival to the start of the answer; 0 before.
    :ivar longest_gap_s: longest pause between two events of a stream, in seconds.
    :ivar framing: how the last answer states where its body ends; empty before.
    :ivar unfinished_bytes: bytes after the last complete event of the last answer.
    :ivar stream_version: version at which the stream has to go on; None before its
        first event.
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
        max_event_bytes: int,
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._request = request
        self._attempts = attempts
        self._servers = servers
        self._origins = origins
        self._window = window
        self._sink = sink
        self._unsent_attempts = 0
        self._tried: frozenset[str] = frozenset()
        self._has_lost_server = False
        self._last_event_id = request.metadata.last_event_id
        self.sent = 0
        self.may_have_run = False
        self.is_started = False
        self.status = 0
        self.first_attempt_s: float | None = None
        self.first_part_s = 0.0
        self.longest_gap_s = 0.0
        self._last_event_s: float | None = None
        self.framing = ""
        self.unfinished_bytes = 0
        self.stream_version = request.stream_version
        self.server_name = ""
        self.server_version = ""
        self.assignment: EngineAssignment | None = None

    async def serve(self) -> Problem | None:
        """Return None once the answer was sent, or the reason why none was sent.

        :raises StreamBrokenError: if a partly sent answer can't be completed.
        """
        if self._request.route.kind is RequestKind.STREAMING:
            return await self._serve_stream()
        return await self._serve_buffered()

    async def _serve_buffered(self) -> Problem | None:
        """Send an answer once it is complete; a truncated one can be replaced."""
        failed_answer: tuple[int, tuple[Header, ...], bytes] | None = None
        while True:
            match await self._next_answer():
                case Problem() as problem:
                    if failed_answer is None:
                        return problem
                    await self._deliver(*failed_answer)
                    return None
                case (SelectedServer() as selected, Answered(answer)):
                    pass
            try:
                async with aclosing(answer.chunks()) as chunks:
                    body, is_complete = await read_body(chunks)
                    if not is_complete:
                        await self._deliver_large(answer, body, chunks)
                        selected.record_success(answer)
                        return None
            except AnswerCutError as error:
                if self.is_started:
                    raise StreamBrokenError(str(error)) from None
                if self._record_truncation(selected, error):
                    continue
                if failed_answer is None:
                    return self._no_answer(str(error), is_timeout=False)
                await self._deliver(*failed_answer)
                return None
            finally:
                answer.close()
                selected.end()
            selected.record_success(answer)
            complete = (answer.status, answer.headers, body)
            is_failure = answer.status >= 500
            if is_failure and self._may_repeat():
                failed_answer = complete
                self._tried |= {selected.server.name}
                continue
            await self._deliver(*complete)
            return None

    async def _serve_stream(self) -> Problem | None:
        tracker = EventTracker(self._max_event_bytes)
        while True:
            match await self._next_answer():
                case Problem() as problem:
                    if self.is_started:
                        raise StreamBrokenError(problem.detail)
                    return problem
                case (SelectedServer() as selected, Answered(answer)):
                    pass
            try:
                if self._is_replaceable(answer):
                    raise AnswerCutError(
                        ServerFailure.STREAM, f"the stream has status {answer.status}"
                    )
                await self._forward_events(answer, selected, tracker)
                selected.record_success(answer, selected.began_s is not None)
                return None
            except AnswerCutError as error:
                answer.close()
                self.unfinished_bytes = tracker.unfinished_bytes
                tracker.restart()
                if tracker.last_id is not None:
                    self._last_event_id = tracker.last_id.decode("latin-1")
                can_continue = not self.is_started or tracker.last_id is not None
                if self._record_truncation(selected, error) and can_continue:
                    continue
                if self.is_started:
                    raise StreamBrokenError(str(error)) from None
                return self._no_answer(str(error), is_timeout=False)
            finally:
                answer.close()
                selected.end()

    def _is_replaceable(self, answer: BackendAnswer) -> bool:
        """Return whether an answer is a failure that a retry may replace."""
        if self.is_started:
            return answer.status != 200
        return answer.status >= 500 and self._request.route.is_resumable

    async def _forward_events(
        self, answer: BackendAnswer, selected: SelectedServer, tracker: EventTracker
    ) -> None:
        """Send complete events as they arrive."""
        headers = stream_headers(answer)
        async for chunk in answer.chunks():
            events = tracker.feed(chunk)
            if events:
                selected.begin_answer()
                self._record_origin(selected.server)
                await self._start(answer.status, headers)
                self._record_event()
                await self._sink.send(events)
        await self._start(answer.status, headers)
        self.unfinished_bytes = tracker.unfinished_bytes
        rest = tracker.take_remainder()
        if rest:
            await self._sink.send(rest)
        await self._sink.finish()

    def _record_origin(self, server: FleetServer) -> None:
        """Record where the stream began, before its caller has an event."""
        if not self.is_started:
            self.stream_version = server.version
            if self._request.route.is_resumable:
                self._origins.record(make_origin(self._request, server))

    def _record_event(self) -> None:
        event_s = now()
        if self._last_event_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, event_s - self._last_event_s)
        self._last_event_s = event_s

    async def _next_answer(self) -> Problem | tuple[SelectedServer, Answered]:
        """Return a server's answer, or the problem to send instead."""
        while True:
            if self._remaining_s() < MIN_REMAINING_S:
                return self._no_answer(
                    "the deadline passed before the answer was complete", True
                )
            selected = await self._servers.choose(
                self._request, self._tried, self._has_lost_server, self.stream_version
            )
            if isinstance(selected, Unavailable):
                return self._refusal(selected.detail, selected.retry_after_s)
            self.server_name = selected.server.name
            self.server_version = selected.server.version
            self.assignment = selected.assignment
            outcome = await self._attempt(selected)
            match outcome:
                case Answered():
                    self.framing = outcome.answer.framing
                    selected.record_answer(
                        outcome.metadata,
                        outcome.answer.received_s,
                        self._request.metadata.request_id,
                    )
                    return selected, outcome
                case _:
                    self._end_attempt(selected, outcome)
                    problem = self._handle_failure(selected, outcome)
                    if problem is not None:
                        return problem

    async def _attempt(self, selected: SelectedServer) -> Attempt:
        may_have_run = self.may_have_run
        if self.first_attempt_s is None:
            self.first_attempt_s = now() - self._request.arrived_s
        timeouts = self._timeouts(selected)
        # A cancellation or timeout during the attempt leaves it unknown whether it ran.
        self.may_have_run = True
        try:
            outcome = await self._attempts.send(
                self._request,
                selected.server,
                self._last_event_id,
                timeouts.answer_s,
                timeouts.chunk_s,
                lambda: self._check_before_sending(selected),
            )
        except BaseException:
            selected.end()
            raise
        if isinstance(outcome, Unsent | Withheld | NotExecuted | Misdirected):
            self.may_have_run = may_have_run
        if not isinstance(outcome, Unsent | Withheld):
            self.sent += 1
        if not isinstance(outcome, Answered):
            log_attempt(self._request, selected.server, outcome)
        return outcome

    def _check_before_sending(self, selected: SelectedServer) -> None:
        self._sink.check_caller()
        selected.check_notices()

    def _end_attempt(self, selected: SelectedServer, outcome: FailedAttempt) -> None:
        match outcome:
            case NotExecuted(_, metadata, received_s):
                request_id = self._request.metadata.request_id
                selected.record_answer(
                    metadata, received_s, request_id, was_refused=True
                )
                selected.end(was_refused=True)
            case Withheld():
                selected.end(was_sent=False)
            case _:
                selected.end()

    def _handle_failure(
        self, selected: SelectedServer, outcome: Attempt
    ) -> Problem | None:
        """Return the problem that ends the request; None for another attempt."""
        self._tried |= {selected.server.name}
        match outcome:
            case Unsent(reason, timed_out):
                selected.record_failure(reason, timed_out)
                if not timed_out:
                    selected.record_gone()
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
        selected.record_failure(lost.reason, lost.timed_out, lost.is_cut)
        return self._may_repeat()

    def _may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again now."""
        return self._request.route.may_run_again and self._may_send_again()

    def _may_send_again(self) -> bool:
        if self.sent >= self._request.route.max_attempts:
            return False
        return self._remaining_s() >= MIN_REMAINING_S and self._window.try_spend()

    def _remaining_s(self) -> float:
        return self._request.until_s - now()

    def _timeouts(self, selected: SelectedServer) -> AttemptTimeouts:
        is_last = self.sent + 1 >= self._request.route.max_attempts
        return attempt_timeouts(
            self._request.route,
            self._remaining_s(),
            may_repeat=not is_last and self._window.allows_repeat(),
            is_last=is_last,
            time_to_first_token_s=selected.time_to_first_token_s,
        )

    def _refusal(self, detail: str, retry_after_s: float = RETRY_AFTER_S) -> Problem:
        """Return the problem of a request that no server accepted.

        An earlier attempt that may have run makes the outcome unknown instead.
        """
        if self.may_have_run:
            return self._no_answer(detail, is_timeout=False)
        return Problem(503, "no-capacity", detail, retry_after_s=retry_after_s)

    def _retry_after_s(self) -> float:
        return self._servers.retry_after_s(self._request, self.stream_version)

    def _no_answer(self, detail: str, is_timeout: bool) -> Problem:
        if not self.may_have_run and not is_timeout:
            return self._refusal(detail)
        outcome = Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN
        status = 504 if is_timeout else 502
        return Problem(status, "no-answer", detail, outcome)

    async def _deliver(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        await self._start(status, headers)
        await self._sink.send(body)
        await self._sink.finish()

    async def _deliver_large(
        self, answer: BackendAnswer, beginning: bytes, rest: AsyncIterator[bytes]
    ) -> None:
        await self._start(answer.status, answer.headers)
        await self._sink.send(beginning)
        async for part in rest:
            await self._sink.send(part)
        await self._sink.finish()

    async def _start(self, status: int, headers: tuple[Header, ...]) -> None:
        if not self.is_started:
            self.is_started = True
            self.status = status
            self.first_part_s = now() - self._request.arrived_s
            await self._sink.start(status, headers)
