"""The server that is selected for one attempt, and what is recorded of it."""

from collections.abc import Callable

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding.messages import AnswerMetadata
from almondfield_daemon.forwarding.outcomes import (
    FailedAttempt,
    NotExecuted,
    Withheld,
)
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.quarantine import (
    BEGIN_WINDOW_S,
    NoQuarantine,
    RequestQuarantine,
)
from almondfield_daemon.router.calls import (
    FIRST_ERROR_STATUS,
    SUCCESS_STATUSES,
    BackendAnswer,
    Framing,
)
from almondfield_daemon.scheduling import EngineAssignment
from almondfield_daemon.server_limits import ServerLimits, is_cold_time
from almondfield_daemon.server_notices import (
    ColdTime,
    InvalidColdTime,
    RequestLimit,
    ServerClosedError,
    ServerNotice,
    ServerNotices,
    ServerStart,
)
from almondfield_fairshare.prefix_placement import InFlightRequest, Placement

__all__ = ["SelectedServer", "server_start"]

SLOW_PREFILL_TOKENS_PER_S = 20_000.0  # half the rate of large engines


def server_start(server: FleetServer) -> ServerStart:
    """Return the start of a server, by which notices and addresses are kept.

    :param server: the server.
    """
    return ServerStart(server.name, server.born_ms)


class SelectedServer:
    """The server selected for one attempt.

    :param server: the server.
    :param placement: holds the load record of the server.
    :param in_flight: the attempt's share of that load.
    :param host_delay: delay of this host.
    :param notices: what servers said about further work.
    :param limits: learns what servers take from all routers together.
    :param assignment: the assignment to a model engine, reported to the scheduler; None
        for other servers.
    :param quarantine: learns from the attempt whether its request is sound.
    :param shared_parts: parts of its prompt that other prompts may share.
    :param digests: digests of the whole request.
    :param evacuated: returns the evacuated data centres, whose servers get no request.
    :param permit_s: when a permit for the request was asked for, in seconds of the
        loop's clock; None if it has none.

    :ivar began_s: when the first event of its answer arrived, in seconds of the loop's
        clock; None before.
    """

    def __init__(
        self,
        server: FleetServer,
        placement: Placement,
        in_flight: InFlightRequest,
        host_delay: HostDelay,
        notices: ServerNotices,
        limits: ServerLimits,
        assignment: EngineAssignment | None = None,
        quarantine: RequestQuarantine | None = None,
        shared_parts: tuple[str, ...] = (),
        digests: tuple[str, ...] = (),
        evacuated: Callable[[], frozenset[str]] = frozenset,
        permit_s: float | None = None,
    ) -> None:
        self._permit_s = permit_s
        self._evacuated = evacuated
        self._quarantine = quarantine or NoQuarantine()
        self._shared_parts = shared_parts
        self._digests = digests
        self._selected_s = now()
        self._has_gone_on = False
        self.server = server
        self._start = server_start(server)
        self._notices = notices
        self._limits = limits
        self._trial = notices.begin_trial(self._start)
        self._host_delay = host_delay
        self._placement = placement
        self._in_flight = in_flight
        self.assignment = assignment
        self.began_s: float | None = None

    @property
    def time_to_first_token_s(self) -> float:
        """Return the wait and prefill time of a slow engine, in seconds."""
        if self.assignment is None:
            return 0.0
        wait_s = self.assignment.wait_s or 0.0
        return wait_s + self.assignment.uncached_tokens / SLOW_PREFILL_TOKENS_PER_S

    @property
    def delay_allowance_s(self) -> float:
        """Return by how much longer to wait as this host is late, in seconds."""
        return self._host_delay.allowance_s()

    def check_notices(self) -> None:
        """Return if the server still takes the request.

        :raises ServerClosedError: if it takes no work any more.
        """
        if self._is_evacuated():
            raise ServerClosedError(
                f"data centre {self.server.data_centre!r} is evacuated"
            )
        self._notices.check(self._start, self._trial)

    def use_permit(self) -> None:
        """Return if a server that is cold may be sent the request now.

        :raises ServerClosedError: if the request has no permit, or one that is too old.
        """
        self._limits.check(self._start, self._permit_s)
        self._permit_s = None

    def takes_work(self) -> bool:
        """Return whether the server may get this request again once it has ended."""
        if self._notices.accepts(self._start) and not self._is_evacuated():
            return True
        try:
            self.check_notices()
        except ServerClosedError:
            return False
        return True

    def _is_evacuated(self) -> bool:
        return self.server.data_centre in self._evacuated()

    def record_notices(
        self, request_id: str, notices: tuple[ServerNotice, ...], received_s: float
    ) -> None:
        """Record what the head of an answer says about further work.

        :param request_id: the request that was sent.
        :param notices: the notices.
        :param received_s: when the head was received, in seconds of the loop's clock.
        """
        self._notices.record(self._start, notices, received_s, request_id)
        limits_per_s = [
            notice.per_s for notice in notices if isinstance(notice, RequestLimit)
        ]
        per_s = min(limits_per_s, default=None)
        self._limits.record(self._start, per_s, self._selected_s)
        cold_left_s: float | None = 0.0
        for notice in notices:
            match notice:
                case ColdTime(seconds) if is_cold_time(seconds):
                    cold_left_s = seconds
                case ColdTime() | InvalidColdTime():
                    cold_left_s = None
        self._limits.record_cold(self._start, cold_left_s, self._selected_s)

    def record_answer(
        self, metadata: AnswerMetadata, was_refused: bool = False
    ) -> None:
        """Record the head of the server's answer to this request.

        :param metadata: metadata from the head.
        :param was_refused: whether the server refused the request.
        """
        if not was_refused:
            self._notices.record_served(self._start)
        self._quarantine.record_alive(self._start)
        load = metadata.load
        if load is None:
            return
        record = self._placement.record(self.server.name)
        if not was_refused:
            record.record_load(load.running, load.waiting)
        if load.slowdown is not None:
            is_new = record.record_slowdown(self._start.born_ms, load.slowdown)
            if self.assignment is not None:
                self.assignment.report_slowdown(
                    self._start.born_ms, load.slowdown, is_new
                )

    def begin_answer(self) -> None:
        """Record that prefill has finished, or that the answer goes on."""
        if self.began_s is None:
            self.began_s = now()
        elif not self._has_gone_on and now() - self.began_s >= BEGIN_WINDOW_S:
            self._has_gone_on = True
            self._quarantine.record_sound(self._shared_parts)
        self._in_flight.begin_answer()
        if self.assignment is not None:
            self.assignment.begin_answer()

    def record_success(self, answer: BackendAnswer, has_begun: bool = True) -> None:
        """Record a complete answer.

        :param answer: the answer.
        :param has_begun: whether the server wrote anything of what was asked for.
        """
        self._placement.record(self.server.name).record_success()
        if not has_begun or answer.status >= FIRST_ERROR_STATUS:
            return
        parts = self._digests
        if answer.status in SUCCESS_STATUSES and not self._has_gone_on:
            parts += self._shared_parts
        if answer.framing is Framing.CONNECTION:
            # It may have been cut where it ended.
            self._quarantine.record_unproven(self._start, parts, self._ran_s())
        else:
            self._quarantine.record_sound(parts)

    def record_cut(self, is_idle: bool = False) -> None:
        """Record that the server closed or reset the connection amid the request.

        :param is_idle: whether the connection may have been idle for the server.
        """
        parts = self._digests
        if self.began_s is None or now() - self.began_s < BEGIN_WINDOW_S:
            parts += self._shared_parts
        if is_idle:
            self._quarantine.record_doubtful_cut(
                self._start, self.server.address, parts, self._ran_s()
            )
        else:
            self._quarantine.record_crash(
                self._start, self.server.address, parts, self._ran_s()
            )

    def _ran_s(self) -> float:
        return now() - self._selected_s

    def record_failure(self, reason: str, timed_out: bool = False) -> None:
        """Record that the server gave no answer of its own.

        :param reason: description of the failure.
        :param timed_out: whether it did not answer within a timeout. While this host
            itself is late, one timeout in a row shows nothing.
        """
        record = self._placement.record(self.server.name)
        if timed_out and self._host_delay.is_late and not record.timeouts:
            record.timeouts += 1
            eliot.log_message(
                "server:timeout-ignored",
                server=self.server.name,
                reason=reason,
                host_delay_ms=round(self._host_delay.seconds() * 1000, 1),
            )
            return
        was_avoided = record.is_avoided
        record.record_failure()
        if not was_avoided:
            eliot.log_message(
                "server:avoided",
                server=self.server.name,
                failures=record.failures,
                reason=reason,
            )

    def record_refused(self) -> None:
        """Record that the server refused a connection."""
        self._quarantine.record_refused(self._start)

    def end_failed(self, outcome: FailedAttempt) -> None:
        """Record the end of an attempt without a usable answer.

        :param outcome: outcome of the attempt.
        """
        match outcome:
            case NotExecuted(_, metadata):
                self.record_answer(metadata, was_refused=True)
                self.end(was_refused=True)
            case Withheld():
                self.end(was_sent=False)
            case _:
                self.end()

    def end(self, was_refused: bool = False, was_sent: bool = True) -> None:
        """Record the end of the attempt.

        :param was_refused: whether the server refused it because it was full.
        :param was_sent: whether a byte of the request may have been sent.
        """
        self._in_flight.end()
        self._notices.end_trial(self._start, self._trial)
        if self.assignment is not None:
            self.assignment.end(was_refused, was_sent)
