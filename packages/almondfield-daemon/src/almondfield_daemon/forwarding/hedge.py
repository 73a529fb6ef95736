"""The second copy of one slow request, and its race against the first."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from types import TracebackType

import eliot

from almondfield_core.clock import now
from almondfield_core.containment import contain_errors
from almondfield_daemon.edge.bodies import CallerDisconnectedError
from almondfield_daemon.forwarding.answers import ReadAnswer, read_body
from almondfield_daemon.forwarding.attempt_log import log_attempt
from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import Repeat, RetryWindow
from almondfield_daemon.forwarding.failures import record_failed
from almondfield_daemon.forwarding.hand_over import MIN_REMAINING_S
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
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_watch import ARRIVED_S
from almondfield_daemon.forwarding.stop_limits import StopLimits
from almondfield_daemon.forwarding.unavailable import Unavailable
from almondfield_daemon.hedging import HedgeRefusal, HedgeResult, Hedging
from almondfield_daemon.router.calls import (
    FIRST_ERROR_STATUS,
    AnswerCutError,
)

__all__ = ["RequestHedge"]


@dataclass(frozen=True)
class CopyWait:
    """Learns when the second copy is sent and when the head of its answer arrives.

    :ivar begin: called when it is sent.
    :ivar end: called when the head has arrived.
    """

    begin: Callable[[], None]
    end: Callable[[], None]


class RequestHedge:
    """Context manager around the wait for the first copy's answer.

    If that takes long, another copy is sent. Once this one has a whole answer, the wait
    ends: the task that waits is cancelled, and the context suppresses that. If the
    first copy fails before, the second one serves as its retry.

    :param request: the request.
    :param attempts: sends it to servers.
    :param servers: chooses servers.
    :param hedging: decides whether it is hedged.
    :param window: retry budget of the pool.
    :param stop_limits: limits on requests while the router stops.
    :param check_caller: raises an error if the caller has left.
    :param on_sent: called when the second copy is sent.
    :param reserve: returns whether more bytes of answers may be held, and counts them.

    :ivar selected: server of the second copy; None without one.
    :ivar may_have_run: whether a server may have run the second copy.
    """

    def __init__(
        self,
        request: ForwardRequest,
        attempts: AttemptSender,
        servers: ServerSelector,
        hedging: Hedging,
        window: RetryWindow,
        stop_limits: StopLimits,
        check_caller: Callable[[], None],
        on_sent: Callable[[], None],
        reserve: Callable[[int], bool],
    ) -> None:
        self._request = request
        self._attempts = attempts
        self._servers = servers
        self._hedging = hedging
        self._window = window
        self._stop_limits = stop_limits
        self._check_caller = check_caller
        self._on_sent = on_sent
        self._reserve = reserve
        self._applies = hedging.applies_to(request.route)
        self._timer: asyncio.TimerHandle | None = None
        self._copy: asyncio.Task[None] | None = None
        self._waiting: asyncio.Task[None] | None = None
        self._cancelling = 0
        self._has_cancelled = False
        self._first: SelectedServer | None = None
        self._tried: frozenset[str] = frozenset()
        self._may_begin: Callable[[], bool] = lambda: False
        self._first_sent_s = 0.0
        self._delay_s = 0.0
        self._repeat: Repeat | None = None
        self._sent_s: float | None = None
        self._outcome: Attempt | None = None
        self._has_ended = False
        self.selected: SelectedServer | None = None
        self.may_have_run = False

    @property
    def is_begun(self) -> bool:
        """Return whether a server was selected whose copy may serve the request."""
        return self.selected is not None and not self._has_ended

    @property
    def is_running(self) -> bool:
        """Return whether a second copy was sent that may still serve the request."""
        return self._sent_s is not None and not self._has_ended

    @property
    def tried(self) -> frozenset[str]:
        """Return the name of the server that has had the second copy, if one has."""
        if self._sent_s is None:
            return frozenset()
        return frozenset([self.selected.server.name])

    async def __aenter__(self) -> "RequestHedge":
        if self._applies:
            self._waiting = asyncio.current_task()
            self._cancelling = self._waiting.cancelling()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        waiting, self._waiting = self._waiting, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._copy is not None and self._sent_s is None:
            self.close()
        if waiting is None or not self._has_cancelled:
            return False
        self._has_cancelled = False
        # As in asyncio.timeout: others may have cancelled the task as well.
        is_own = waiting.uncancel() <= self._cancelling
        return is_own and kind is asyncio.CancelledError

    def begin(
        self,
        first: SelectedServer,
        tried: frozenset[str],
        may_begin: Callable[[], bool],
    ) -> None:
        """Record that the first copy is sent now.

        :param first: its server.
        :param tried: servers that have had the request.
        :param may_begin: returns whether another attempt is allowed.
        """
        if not self._applies:
            return
        self._first_sent_s = now()
        if self._copy is not None:
            return
        self._first = first
        self._tried = tried
        self._may_begin = may_begin
        route = self._request.route.name
        delay_s = self._hedging.delay_s(self._request.pool, route)
        if delay_s is not None:
            self._delay_s = delay_s
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._begin_copy)

    def record_first(self, outcome: Attempt | None) -> None:
        """Record the time that the first copy took, or at least took.

        :param outcome: its outcome; None if the second copy was faster.
        """
        match outcome:
            case Answered():
                is_known = not _is_failure(outcome)
            case AnswerLost(timed_out=timed_out):
                is_known = timed_out
            case _:
                is_known = outcome is None
        if self._applies and is_known:
            self._record_duration(self._first_sent_s)

    async def take(self) -> Attempt:
        """Return the outcome of the second copy, which the caller of this ends."""
        try:
            await self._copy
        except asyncio.CancelledError:
            # Another server takes over from a silent one, or the request ends.
            self._end(HedgeResult.CANCELLED)
            raise
        outcome = self._outcome or AnswerLost("the second copy ended with an error")
        is_answer = isinstance(outcome, Answered) and not _is_failure(outcome)
        self._end(HedgeResult.WON if is_answer else HedgeResult.FAILED)
        return outcome

    def close(self) -> None:
        """Cancel the second copy if it still runs, and close its connection."""
        if self._timer is not None:
            self._timer.cancel()
        if self._copy is not None:
            self._copy.cancel()
        if self.selected is None or self._has_ended:
            return
        if isinstance(self._outcome, Answered):
            self._outcome.answer.close()
        self.selected.end(was_sent=self._sent_s is not None)
        self._end(HedgeResult.CANCELLED)

    def _begin_copy(self) -> None:
        self._copy = asyncio.create_task(self._run_copy())

    async def _run_copy(self) -> None:
        # What has arrived is read first, and then ends this task.
        await asyncio.sleep(ARRIVED_S)
        with contain_errors("hedged request"):
            if not self._may_begin():
                return
            refusal = await self._select()
            if refusal is not None:
                self._hedging.record_refusal(refusal)
                return
            if self._has_ended:
                return
            self._outcome = await self._send()
            if self._waiting is not None:
                self._settle(self._outcome)

    async def _select(self) -> HedgeRefusal | None:
        """Select a server for the second copy; return why there is none, or None."""
        pool = self._request.pool
        refusal = self._hedging.refusal(
            pool,
            self._delay_s,
            now() - self._first_sent_s,
            self._window.request_count(),
            self._servers.load(pool),
        )
        if refusal is not None:
            return refusal
        remaining_s = self._stop_limits.remaining_s(self._request.until_s)
        allowed = self._stop_limits.allows_attempt(self._request.route)
        if not allowed or remaining_s < max(MIN_REMAINING_S, self._delay_s):
            return HedgeRefusal.NO_TIME
        self._repeat = self._window.reserve_spare()
        if self._repeat is None:
            return HedgeRefusal.RETRY_BUDGET
        selected = None
        try:
            selected = await self._servers.choose_replacement(
                self._request, self._tried, None
            )
        finally:
            if not isinstance(selected, SelectedServer):
                self._window.refund(self._repeat)
        if isinstance(selected, Unavailable):
            return HedgeRefusal.NO_SERVER
        self.selected = selected
        if not self._may_begin():
            # The first copy's server was silent for too long meanwhile.
            self.close()
        return None

    async def _send(self) -> Attempt:
        """Return the outcome of the second copy, with a short body read whole."""
        selected = self.selected
        answer = None
        try:
            outcome = await self._attempts.send(
                self._request,
                selected.server,
                "",
                CopyWait(
                    self._record_sent, lambda: self._record_duration(self._sent_s)
                ),
                lambda: self._check(selected),
                partial(selected.record_notices, self._request.metadata.request_id),
                is_repeat=True,
            )
            if isinstance(outcome, Unsent | Withheld | NotExecuted | Misdirected):
                self.may_have_run = False
            if not isinstance(outcome, Answered):
                return outcome
            answer = outcome.answer
            chunks = answer.chunks()
            body, _ = await read_body(chunks, self._reserve)
            return Answered(ReadAnswer(answer, body, chunks), outcome.metadata)
        except CallerDisconnectedError as error:
            return Withheld(str(error))
        except AnswerCutError as error:
            answer.close()
            is_cut = error.is_cut
            return AnswerLost(str(error), timed_out=error.timed_out, is_cut=is_cut)
        except BaseException:
            if answer is not None:
                answer.close()
            raise

    def _record_sent(self) -> None:
        self._sent_s = now()
        self.may_have_run = True
        self._hedging.record_sent(self._request.pool)
        self._on_sent()

    def _check(self, selected: SelectedServer) -> None:
        self._check_caller()
        selected.check_notices()
        selected.use_permit()

    def _settle(self, outcome: Attempt) -> None:
        """End the wait for the first copy, or record that the second one failed."""
        match outcome:
            case Answered() if not _is_failure(outcome):
                self._has_cancelled = True
                self._waiting.cancel()
                return
            case Answered(answer, metadata):
                answer.close()
                self.selected.record_answer(metadata)
                self.selected.record_success(answer)
                self.selected.end()
            case _:
                log_attempt(self._request, self.selected.server, outcome)
                self.selected.end_failed(outcome)
                record_failed(self._servers, self.selected, outcome)
        self._end(HedgeResult.FAILED)

    def _end(self, result: HedgeResult) -> None:
        self._has_ended = True
        if self._sent_s is None:
            self._window.refund(self._repeat)
            return
        self._hedging.record_result(result)
        eliot.log_message(
            "request:hedged",
            request_id=self._request.metadata.request_id,
            pool=self._request.pool,
            first_server=self._first.server.name,
            server=self.selected.server.name,
            result=result.value,
            delay_ms=round(self._delay_s * 1000, 1),
            ran_ms=round((now() - self._sent_s) * 1000, 1),
            after_ms=round((now() - self._request.arrived_s) * 1000, 1),
        )

    def _record_duration(self, sent_s: float) -> None:
        request = self._request
        self._hedging.record(request.pool, request.route.name, now() - sent_s)


def _is_failure(outcome: Answered) -> bool:
    return outcome.answer.status >= FIRST_ERROR_STATUS
