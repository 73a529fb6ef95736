"""Finds a server that answers a request, within the limits on attempts."""

from collections.abc import Callable
from functools import partial

from almondfield_core.clock import now
from almondfield_daemon.forwarding.attempt_log import log_attempt
from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import PendingRepeat, RetryWindow
from almondfield_daemon.forwarding.counts import RefusalCause
from almondfield_daemon.forwarding.delivery import AnswerDelivery
from almondfield_daemon.forwarding.failures import record_failed
from almondfield_daemon.forwarding.hand_over import MIN_REMAINING_S, HandOver
from almondfield_daemon.forwarding.hedge import RequestHedge
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
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_limits import SilenceLimits, silence_limits
from almondfield_daemon.forwarding.silence_watch import SilenceWatch
from almondfield_daemon.forwarding.stop_limits import StopLimits
from almondfield_daemon.forwarding.stream_progress import StreamProgress
from almondfield_daemon.forwarding.unavailable import RETRY_AFTER_S, Unavailable
from almondfield_daemon.hedging import Hedging
from almondfield_daemon.router.calls import AnswerCutError
from almondfield_daemon.router.joining import WRONG_VERSION
from almondfield_daemon.router.problems import Problem
from almondfield_daemon.scheduling import EngineAssignment
from almondfield_daemon.server_notices import ServerClosedError

__all__ = ["RequestAttempts"]

MAX_UNSENT_ATTEMPTS = 4  # attempts without a sent byte before the caller is refused


class RequestAttempts:
    """The attempts of one request.

    :param request: the request.
    :param attempts: sends it to servers.
    :param servers: chooses servers.
    :param window: retry budget of the pool.
    :param stop_limits: limits on requests while the router stops.
    :param hedging: decides whether it is hedged.
    :param delivery: the answer to the caller.
    :param progress: how far the caller of a stream has got.
    :param reserve: returns whether more bytes of answers may be held, and counts them.

    :ivar sent: attempts of which a byte may have been sent.
    :ivar silent_attempts: attempts that this router ended because their servers sent
        nothing for some time.
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
        window: RetryWindow,
        stop_limits: StopLimits,
        hedging: Hedging,
        delivery: AnswerDelivery,
        progress: StreamProgress,
        reserve: Callable[[int], bool],
    ) -> None:
        self._request = request
        self._stop_limits = stop_limits
        self._attempts = attempts
        self._servers = servers
        self._delivery = delivery
        self._progress = progress
        self._pending = PendingRepeat(window)
        self._hand_over = HandOver(request, servers, window, self._pending, stop_limits)
        self._hedge = RequestHedge(
            request,
            attempts,
            servers,
            hedging,
            window,
            stop_limits,
            delivery.check_caller,
            self._count_hedge,
            reserve,
        )
        self._limits = SilenceLimits()
        self._is_last = False
        self._unsent_attempts = 0
        self._tried: frozenset[str] = frozenset()
        self._has_lost_server = False
        self._may_have_run = False
        self.sent = 0
        self.silent_attempts = 0
        self.first_attempt_s: float | None = None
        self.framing = ""
        self.server_name = ""
        self.server_version = ""
        self.assignment: EngineAssignment | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run the request."""
        return self._may_have_run or self._hedge.may_have_run

    def settle(self) -> None:
        """Record that a server has answered, so that no other copy is needed."""
        self._hand_over.settle()
        self._hedge.close()

    def settle_stream(self, selected: SelectedServer, watch: SilenceWatch) -> None:
        """Record that a server has sent an event, so that the stream stays there.

        :param selected: the server.
        :param watch: watches the waits for it.
        """
        self._hand_over.settle()
        watch.set_limit(self._limits.chunk_s + selected.delay_allowance_s)

    def close(self) -> None:
        """Give back what is kept for a request that has ended."""
        self._hedge.close()
        self._hand_over.close()
        self._pending.drop()

    def _count_hedge(self) -> None:
        self.sent += 1

    async def next_answer(self) -> Problem | tuple[SelectedServer, Answered]:
        """Return a server's answer and the server, or the problem to send instead."""
        while True:
            if self._remaining_s() < MIN_REMAINING_S:
                return self.no_answer(
                    "the deadline passed before the answer was complete", True
                )
            if refused := self._stop_refusal():
                return refused
            selected = await self._choose()
            if isinstance(selected, Unavailable):
                if self._hand_over.try_return():
                    continue
                return self._refusal(selected.detail, selected.retry_after_s)
            self._record_server(selected)
            selected, outcome = await self._attempt(selected)
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

    async def _choose(self) -> SelectedServer | Unavailable:
        if self._hedge.is_running:
            return self._hedge.selected
        return await self._hand_over.choose(
            self._tried | self._hedge.tried,
            self._has_lost_server,
            self._progress.version,
        )

    def _record_server(self, selected: SelectedServer) -> None:
        self.server_name = selected.server.name
        self.server_version = selected.server.version
        self.assignment = selected.assignment

    async def _attempt(
        self, selected: SelectedServer
    ) -> tuple[SelectedServer, Attempt]:
        """Return the server that decided an attempt, and the outcome there."""
        may_have_run = self._may_have_run
        is_hedge = selected is self._hedge.selected
        if self.first_attempt_s is None:
            self.first_attempt_s = now() - self._request.arrived_s
        counted = self.sent if is_hedge else self.sent + 1
        self._is_last = counted >= self._request.route.max_attempts
        self._limits = silence_limits(
            self._request.route,
            is_last=self._is_last,
            can_go_back=self._hand_over.can_go_back,
            takes_over=self._hand_over.takes_over,
            time_to_first_token_s=selected.time_to_first_token_s,
        )
        try:
            if is_hedge:
                outcome = await self._take_hedge(selected)
            else:
                outcome = await self._race(selected)
        except AnswerCutError as error:
            outcome = AnswerLost(str(error), timed_out=error.timed_out)
        except BaseException:
            self._pending.record_sent()
            selected.end()
            raise
        if is_hedge:
            return selected, outcome
        if isinstance(outcome, Unsent | Withheld | NotExecuted | Misdirected):
            self._may_have_run = may_have_run
        if not isinstance(outcome, Unsent | Withheld):
            self._pending.record_sent()
            self.sent += 1
        self._hedge.record_first(outcome)
        if outcome is None:
            # The second copy has an answer already.
            selected.end()
            self._record_server(self._hedge.selected)
            return self._hedge.selected, await self._hedge.take()
        if not isinstance(outcome, Answered):
            log_attempt(self._request, selected.server, outcome)
        return selected, outcome

    async def _take_hedge(self, selected: SelectedServer) -> Attempt:
        """Return the outcome of the second copy, which serves as a retry now."""
        async with self._watch(selected) as watch:
            watch.begin()
            return await self._hedge.take()

    async def _race(self, selected: SelectedServer) -> Attempt | None:
        """Return the outcome of an attempt; None if a second copy was faster."""
        async with self._hedge, self._watch(selected) as watch:
            return await self._send(selected, watch)
        return None

    async def _send(self, selected: SelectedServer, watch: SilenceWatch) -> Attempt:
        def check() -> None:
            self._check_before_sending(selected)
            tried = self._tried | {selected.server.name}
            self._hedge.begin(selected, tried, lambda: self._may_hedge(watch))

        return await self._attempts.send(
            self._request,
            selected.server,
            self._progress.last_event_id,
            watch,
            check,
            partial(selected.record_notices, self._request.metadata.request_id),
            is_repeat=self.may_have_run,
        )

    def _may_hedge(self, watch: SilenceWatch) -> bool:
        """Return whether a second copy may be sent beside the attempt that runs."""
        is_handed_over = watch.is_searching or self._hand_over.can_go_back
        return not is_handed_over and self._may_add_attempt()

    def _may_add_attempt(self) -> bool:
        """Return whether a further attempt may begin beside the one that runs."""
        return self.sent + 2 <= self._request.route.max_attempts

    def watch_events(self, selected: SelectedServer) -> SilenceWatch:
        """Return what watches the waits for a stream's events.

        :param selected: its server.
        """
        return self._watch(selected, self._limits.first_event_s)

    def _watch(
        self, selected: SelectedServer, limit_s: float | None = None
    ) -> SilenceWatch:
        tried = self._tried | {selected.server.name}

        async def choose() -> SelectedServer | Unavailable:
            is_first = selected is not self._hedge.selected
            is_used_up = bool(self._hedge.tried) and not self._may_add_attempt()
            if is_first and (self._hedge.is_begun or is_used_up):
                return Unavailable("a second copy was sent", RefusalCause.NO_SERVER)
            return await self._servers.choose_replacement(
                self._request, tried | self._hedge.tried, self._progress.version
            )

        def choose_again(name: str) -> SelectedServer | Unavailable:
            return self._servers.choose_again(
                self._request, name, self._progress.version, is_just_left=False
            )

        return self._hand_over.watch(
            selected,
            self._limits.answer_s if limit_s is None else limit_s,
            None if self._is_last else choose,
            choose_again,
            self._progress.can_go_on,
        )

    def _check_before_sending(self, selected: SelectedServer) -> None:
        self._delivery.check_caller()
        if refused := self._stop_refusal():
            raise ServerClosedError(refused.detail)
        selected.check_notices()
        selected.use_permit()
        if self._progress.has_wrong_version(selected.server):
            raise ServerClosedError(WRONG_VERSION)
        # A cancellation or timeout from now on leaves it unknown whether it ran.
        self._may_have_run = True

    def _handle_failure(
        self, selected: SelectedServer, outcome: Attempt
    ) -> Problem | None:
        """Return the problem that ends the request; None for another attempt."""
        self._tried |= {selected.server.name}
        if isinstance(outcome, AnswerLost):
            if self._record_loss(selected, outcome):
                return None
            return self.no_answer(outcome.reason, outcome.is_timeout)
        record_failed(self._servers, selected, outcome)
        match outcome:
            case Unsent(reason) | Withheld(reason):
                self._has_lost_server |= isinstance(outcome, Unsent)
                self._unsent_attempts += 1
                if self._unsent_attempts < MAX_UNSENT_ATTEMPTS:
                    return None
                is_withheld = isinstance(outcome, Withheld)
                after_s = self._retry_after_s() if is_withheld else RETRY_AFTER_S
                return self._refusal(reason, after_s)
            case Misdirected():
                detail = "another server has the address"
                return None if self._may_send_again() else self._refusal(detail)
            case NotExecuted(status):
                if self._may_send_again():
                    return None
                detail = f"the server refused with {status}"
                return self._refusal(detail, self._retry_after_s())

    def record_truncation(
        self, selected: SelectedServer, error: AnswerCutError
    ) -> bool:
        """Return whether the request may be sent again after a truncated answer.

        :param selected: the server that sent it.
        :param error: why it ended.
        """
        lost = AnswerLost(str(error), timed_out=error.timed_out, is_cut=error.is_cut)
        log_attempt(self._request, selected.server, lost, selected.began_s)
        return self._record_loss(selected, lost)

    def _record_loss(self, selected: SelectedServer, lost: AnswerLost) -> bool:
        """Return whether the request may be sent again after a lost answer."""
        self._may_have_run = True
        self._has_lost_server = True
        self.silent_attempts += lost.timed_out
        record_failed(self._servers, selected, lost)
        return self.may_go_on(selected)

    def may_go_on(self, selected: SelectedServer) -> bool:
        """Return whether a request that may have run gets another attempt now.

        :param selected: the server that failed, which gets it no more.
        """
        self._tried |= {selected.server.name}
        return self._may_repeat() or self._hand_over.try_return()

    def _may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again now."""
        if self._hand_over.is_secured:
            return True
        return self._request.route.may_run_again and self._may_send_again()

    def _may_send_again(self) -> bool:
        if self._hedge.is_running:
            return True
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

    def no_answer(self, detail: str, is_timeout: bool) -> Problem:
        """Return the problem of a request that got no usable answer.

        :param detail: why there is none.
        :param is_timeout: whether the deadline passed before an answer arrived.
        """
        return no_answer(detail, self.may_have_run, is_timeout)

    def _retry_after_s(self) -> float:
        return self._servers.retry_after_s(self._request, self._progress.version)
