"""One request: its attempts, and what of their answers reaches the caller."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from almondfield_core.clock import now
from almondfield_core.findings import AlmondfieldError
from almondfield_core.messages import ServerFailure
from almondfield_core.routing import RequestKind
from almondfield_daemon.forwarding.attempt_log import log_attempt
from almondfield_daemon.forwarding.attempts import Attempts
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.outcomes import (
    Answered,
    Attempt,
    Lost,
    Misdirected,
    NotExecuted,
    Unsent,
)
from almondfield_daemon.forwarding.ports import ResponseSink
from almondfield_daemon.forwarding.servers import (
    RETRY_AFTER_S,
    Choice,
    ServerChoice,
    Unavailable,
)
from almondfield_daemon.router.calls import AnswerCutError, BackendAnswer, Header
from almondfield_daemon.router.events import EventTracker
from almondfield_daemon.router.problems import Outcome, Problem
from almondfield_daemon.scheduling import EnginePlace

__all__ = ["RequestRun", "StreamBrokenError"]

MAX_UNSENT = 4  # servers that refuse connections before the caller hears of it
LEAST_LEFT_S = 0.02  # a server gets no work that it cannot end
MAX_HELD_BODY_BYTES = 1024 * 1024  # larger answers are streamed
LEAST_ANSWER_TIMEOUT_S = 0.3  # several round trips and a short request
TARGETS_PER_ATTEMPT = 3.0  # a slower answer than this is more likely lost than late
STREAM_SILENCE_S = 1.4  # callers give a silent stream up after 2 s or more


class StreamBrokenError(AlmondfieldError):
    """Raised where an answer that has begun can't be completed."""


class RequestRun:
    """The attempts at one request.

    :param request: the request.
    :param attempts: sends it to servers.
    :param servers: chooses servers.
    :param window: bounds repeated requests.
    :param sink: takes the answer.

    :ivar sent: attempts of which a byte may have left.
    :ivar may_have_run: whether a server may have run the request.
    :ivar is_started: whether the caller has a part of the answer.
    :ivar status: status that the caller got; 0 before.
    :ivar first_s: seconds until the answer began; 0 before.
    :ivar longest_gap_s: longest pause between two events of a stream, in seconds.
    :ivar server_name: server of the last attempt; empty before.
    :ivar place: its place at a model engine; None for other servers.
    """

    def __init__(
        self,
        request: ForwardRequest,
        attempts: Attempts,
        servers: ServerChoice,
        window: RetryWindow,
        sink: ResponseSink,
    ) -> None:
        self._request = request
        self._attempts = attempts
        self._servers = servers
        self._window = window
        self._sink = sink
        self._unsent = 0
        self._tried: frozenset[str] = frozenset()
        self._lost_server = False
        self._last_event_id = request.marks.last_event_id
        self.sent = 0
        self.may_have_run = False
        self.is_started = False
        self.status = 0
        self.first_s = 0.0
        self.longest_gap_s = 0.0
        self._event_s: float | None = None
        self.server_name = ""
        self.place: EnginePlace | None = None

    async def serve(self) -> Problem | None:
        """Return None once the answer was sent, or why nothing was sent.

        :raises StreamBrokenError: where an answer that has begun can't be completed.
        """
        if self._request.route.kind is RequestKind.STREAMING:
            return await self._serve_stream()
        return await self._serve_whole()

    async def _serve_whole(self) -> Problem | None:
        """Deliver an answer once it is whole, so that a cut one can be replaced."""
        failed: tuple[int, tuple[Header, ...], bytes] | None = None
        while True:
            match await self._next_answer():
                case Problem() as problem:
                    if failed is None:
                        return problem
                    await self._deliver(*failed)
                    return None
                case (Choice() as choice, Answered(answer)):
                    pass
            try:
                async with aclosing(answer.chunks()) as chunks:
                    body, is_whole = await _gather(chunks)
                    if not is_whole:
                        await self._deliver_large(answer, body, chunks)
                        choice.succeed()
                        return None
            except AnswerCutError as error:
                if self.is_started:
                    raise StreamBrokenError(str(error)) from None
                if self._note_cut(choice, error):
                    continue
                if failed is None:
                    return self._unknown(str(error), is_timeout=False)
                await self._deliver(*failed)
                return None
            finally:
                answer.close()
                choice.end()
            choice.succeed()
            whole = (answer.status, answer.headers, body)
            is_failure = answer.status >= 500
            if is_failure and self._may_repeat():
                failed = whole
                self._tried |= {choice.server.name}
                continue
            await self._deliver(*whole)
            return None

    async def _serve_stream(self) -> Problem | None:
        tracker = EventTracker()
        while True:
            match await self._next_answer():
                case Problem() as problem:
                    if self.is_started:
                        raise StreamBrokenError(problem.detail)
                    return problem
                case (Choice() as choice, Answered(answer)):
                    pass
            try:
                if self._is_replaceable(answer):
                    raise AnswerCutError(
                        ServerFailure.STREAM, f"a stream with status {answer.status}"
                    )
                await self._relay(answer, choice, tracker)
                choice.succeed()
                return None
            except AnswerCutError as error:
                answer.close()
                tracker.restart()
                if tracker.last_id is not None:
                    self._last_event_id = tracker.last_id.decode("latin-1")
                can_go_on = not self.is_started or tracker.last_id is not None
                if self._note_cut(choice, error) and can_go_on:
                    continue
                if self.is_started:
                    raise StreamBrokenError(str(error)) from None
                return self._unknown(str(error), is_timeout=False)
            finally:
                answer.close()
                choice.end()

    def _is_replaceable(self, answer: BackendAnswer) -> bool:
        """Return whether an answer is a failure that another server may mend."""
        if self.is_started:
            return answer.status != 200
        return answer.status >= 500 and self._request.route.is_resumable

    async def _relay(
        self, answer: BackendAnswer, choice: Choice, tracker: EventTracker
    ) -> None:
        """Send whole events as they come."""
        async for chunk in answer.chunks():
            events = tracker.feed(chunk)
            if events:
                choice.begin_answer()
                await self._start(answer.status, answer.headers)
                self._note_event()
                await self._sink.send(events)
        await self._start(answer.status, answer.headers)
        rest = tracker.take_rest()
        if rest:
            await self._sink.send(rest)
        await self._sink.finish()

    def _note_event(self) -> None:
        event_s = now()
        if self._event_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, event_s - self._event_s)
        self._event_s = event_s

    async def _next_answer(self) -> Problem | tuple[Choice, Answered]:
        """Return an answer of a server, or why there is none."""
        while True:
            if self._left_s() < LEAST_LEFT_S:
                return self._unknown("the time for the answer is over", True)
            choice = await self._servers.choose(
                self._request, self._tried, self._lost_server
            )
            if isinstance(choice, Unavailable):
                return self._refusal(choice.detail, choice.retry_after_s)
            self.server_name = choice.server.name
            self.place = choice.place
            outcome = await self._attempt(choice)
            match outcome:
                case Answered():
                    choice.report(outcome.marks.load)
                    return choice, outcome
                case _:
                    choice.end(was_refused=isinstance(outcome, NotExecuted))
                    problem = self._judge(choice, outcome)
                    if problem is not None:
                        return problem

    async def _attempt(self, choice: Choice) -> Attempt:
        may_have_run = self.may_have_run
        # What ends this attempt from outside leaves open whether it ran.
        self.may_have_run = True
        try:
            outcome = await self._attempts.make(
                self._request,
                choice.server,
                self._last_event_id,
                self._answer_timeout_s(choice),
                self._silence_s(),
            )
        except BaseException:
            choice.end()
            raise
        if isinstance(outcome, Unsent | NotExecuted | Misdirected):
            self.may_have_run = may_have_run
        if not isinstance(outcome, Unsent):
            self.sent += 1
        if not isinstance(outcome, Answered):
            log_attempt(self._request, choice.server, outcome)
        return outcome

    def _judge(self, choice: Choice, outcome: Attempt) -> Problem | None:
        """Return why no further attempt is made; None where one is."""
        self._tried |= {choice.server.name}
        match outcome:
            case Unsent(reason):
                choice.fail(reason)
                self._lost_server = True
                self._unsent += 1
                if self._unsent < MAX_UNSENT:
                    return None
                return self._refusal(reason)
            case Misdirected():
                self._servers.note_misdirected(choice)
                detail = "another server has the address"
                return None if self._may_send_again() else self._refusal(detail)
            case NotExecuted(status):
                detail = f"the server refused with {status}"
                return None if self._may_send_again() else self._refusal(detail)
            case Lost(reason, is_timeout):
                if self._note_lost(choice, outcome):
                    return None
                return self._unknown(reason, is_timeout)

    def _note_cut(self, choice: Choice, error: AnswerCutError) -> bool:
        """Return whether the request may be sent again after its answer was cut."""
        lost = Lost(str(error))
        log_attempt(self._request, choice.server, lost)
        return self._note_lost(choice, lost)

    def _note_lost(self, choice: Choice, lost: Lost) -> bool:
        """Return whether the request may be sent again after an answer was lost."""
        self.may_have_run = True
        self._lost_server = True
        self._tried |= {choice.server.name}
        choice.fail(lost.reason)
        return self._may_repeat()

    def _may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        match self._request.route.kind:
            case RequestKind.IDEMPOTENT:
                return self._may_send_again()
            case RequestKind.STREAMING if self._request.route.is_resumable:
                return self._may_send_again()
            case _:
                return False

    def _may_send_again(self) -> bool:
        if self.sent >= self._request.route.max_attempts:
            return False
        return self._left_s() >= LEAST_LEFT_S and self._window.take()

    def _left_s(self) -> float:
        return self._request.until_s - now()

    def _silence_s(self) -> float:
        """Return how long to wait for the next part of an answer."""
        route = self._request.route
        is_last = self.sent + 1 >= route.max_attempts
        if is_last or not route.is_resumable or not self._window.has_room():
            return self._left_s()
        return STREAM_SILENCE_S

    def _answer_timeout_s(self, choice: Choice) -> float:
        """Return how long to wait for the head of an answer."""
        route = self._request.route
        if route.kind is RequestKind.STREAMING:
            return self._silence_s() + choice.reading_s
        is_last = self.sent + 1 >= route.max_attempts
        if route.kind is not RequestKind.IDEMPOTENT or is_last:
            return self._left_s()
        patience_s = TARGETS_PER_ATTEMPT * route.latency_target_s
        return max(LEAST_ANSWER_TIMEOUT_S, patience_s)

    def _refusal(self, detail: str, retry_after_s: float = RETRY_AFTER_S) -> Problem:
        """Return the problem of a request that no server has begun, if that is so."""
        if self.may_have_run:
            return self._unknown(detail, is_timeout=False)
        return Problem(503, "no-capacity", detail, retry_after_s=retry_after_s)

    def _unknown(self, detail: str, is_timeout: bool) -> Problem:
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
        self, answer: BackendAnswer, begun: bytes, rest: AsyncIterator[bytes]
    ) -> None:
        await self._start(answer.status, answer.headers)
        await self._sink.send(begun)
        async for part in rest:
            await self._sink.send(part)
        await self._sink.finish()

    async def _start(self, status: int, headers: tuple[Header, ...]) -> None:
        if not self.is_started:
            self.is_started = True
            self.status = status
            self.first_s = now() - self._request.arrived_s
            await self._sink.start(status, headers)


async def _gather(chunks: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """Return a body, and whether it is whole; of a large one only the beginning."""
    parts = []
    size = 0
    async for part in chunks:
        parts.append(part)
        size += len(part)
        if size > MAX_HELD_BODY_BYTES:
            return b"".join(parts), False
    return b"".join(parts), True
