"""Forwards requests and reports their outcomes."""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from almondfield_core.clock import now
from almondfield_core.routing import Prompt, RequestKind, RouteRule
from almondfield_core.settings import AnswerSettings
from almondfield_daemon.edge.bodies import CallerDisconnectedError
from almondfield_daemon.forwarding.answers import AnswerMemory, AnswerReservation
from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.own_answers import no_answer
from almondfield_daemon.forwarding.pacing import StreamPacing
from almondfield_daemon.forwarding.ports import ResponseSink, StreamOrigins
from almondfield_daemon.forwarding.reports import (
    RequestReport,
    log_report,
    make_report,
)
from almondfield_daemon.forwarding.run import RequestRun, StreamBrokenError
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.stop_limits import StopLimits, draining
from almondfield_daemon.forwarding.take_up import locate_stream
from almondfield_daemon.forwarding.unavailable import Unavailable
from almondfield_daemon.hedging import Hedging
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.router.problems import Outcome, Problem

__all__ = ["Forwarder"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024


class Forwarder:
    """Forwards requests within the retry budgets of their pools.

    :param attempts: sends requests to servers.
    :param servers: chooses servers.
    :param origins: knows where streams began.
    :param make_window: returns a new retry budget for one pool.
    :param limits: limits on answers.
    :param observe: called with the report of each request that ended.
    :param observe_refusal: called with route, team and status of each request that was
        refused by its head.
    :param hedging: decides about second copies of slow requests; None for none.
    :param max_answer_bytes: limit on the answers that are held until they are complete;
        others are passed on as they come.

    :ivar stop_limits: limits on requests while the router stops.
    """

    def __init__(
        self,
        attempts: AttemptSender,
        servers: ServerSelector,
        origins: StreamOrigins,
        make_window: Callable[[], RetryWindow],
        limits: AnswerSettings,
        observe: Callable[[RequestReport], None] = lambda report: None,
        observe_refusal: Callable[[str, str, int], None] = lambda *fields: None,
        hedging: Hedging | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._memory = AnswerMemory(max_answer_bytes)
        self._hedging = hedging or Hedging(0.0, 1.0, HostDelay())
        self._observe_refusal = observe_refusal
        self._observe = observe
        self._attempts = attempts
        self._servers = servers
        self._origins = origins
        self._make_window = make_window
        self._pacing = StreamPacing(limits)
        self._window_by_pool: dict[str, RetryWindow] = {}
        self.stop_limits = StopLimits()

    def known_refusal(
        self,
        route: RouteRule,
        pool: str,
        team: str,
        prompt: Prompt,
        is_scheduled: bool,
        unread_s: float,
        regions: frozenset[str] | None,
    ) -> Problem | None:
        """Return a refusal that is certain before the body is read; None for none.

        The prompt holds a quarantined part, or a refusal of the team's prompts still
        holds, or this router can't pass the prompt on in time, or no scheduler decides
        on it and the team has had its part.

        :param route: route of a request with a prompt.
        :param pool: pool of the request.
        :param team: team of the request.
        :param prompt: its prompt.
        :param is_scheduled: whether the scheduler decides on it.
        :param unread_s: least time that it was unread, in seconds.
        :param regions: regions whose servers may get it; None for all.
        """
        servers = self._servers
        refused = servers.quarantine_refusal(team, prompt)
        if refused is None and is_scheduled:
            refused = servers.held_refusal(pool, team, prompt)
            target_s = route.latency_target_s
            refused = refused or servers.late_refusal(team, target_s, unread_s)
            refused = refused or servers.unscheduled_refusal(
                pool, team, target_s, regions
            )
        return self._refuse_head(route, pool, team, refused)

    def evacuation_refusal(
        self, route: RouteRule, pool: str, team: str, regions: frozenset[str] | None
    ) -> Problem | None:
        """Return a refusal if the servers of a pool are all evacuated; None otherwise.

        :param route: route of a request that doesn't take a stream up.
        :param pool: pool of the request.
        :param team: team of the request.
        :param regions: regions whose servers may get it; None for all.
        """
        refused = self._servers.evacuation_refusal(pool, team, regions)
        return self._refuse_head(route, pool, team, refused)

    def record_forbidden(self, route: RouteRule, team: str, status: int) -> None:
        """Count a request that its route and team allow in no region.

        :param route: route of the request.
        :param team: team of the request.
        :param status: status sent to the caller.
        """
        self._observe_refusal(route.name, team, status)

    def _refuse_head(
        self, route: RouteRule, pool: str, team: str, refused: Unavailable | None
    ) -> Problem | None:
        if refused is None:
            return None
        self._window(pool).record_request()
        problem = Problem(
            503, "no-capacity", refused.detail, retry_after_s=refused.retry_after_s
        )
        self._observe_refusal(route.name, team, problem.status)
        return problem

    async def serve(
        self, request: ForwardRequest, sink: ResponseSink
    ) -> Problem | None:
        """Return None once the answer was sent, or the reason why none was sent.

        :param request: the request.
        :param sink: receives the answer.
        :raises StreamBrokenError: if a partly sent answer can't be completed.
        """
        self._window(request.pool).record_request()
        held = AnswerReservation(self._memory)
        run = self._make_run(request, sink, held)
        began_s = now()
        problem = None
        error = ""
        try:
            async with self.stop_limits.limit(request.until_s):
                if _takes_up_stream(request):
                    match await locate_stream(request, self._origins):
                        case Ok(located):
                            run = self._make_run(located, sink, held)
                        case Err(problem):
                            pass
                if problem is None:
                    problem = await run.serve()
            if run.attempts.sent and problem is None:
                duration_s = now() - began_s
                self.stop_limits.record_duration(request.route.name, duration_s)
        except TimeoutError:
            if not await run.send_failed_answer():
                problem = self._handle_timeout(request, run)
        except (
            StreamBrokenError,
            CallerDisconnectedError,
            asyncio.CancelledError,
        ) as cause:
            error = str(cause) or "the caller disconnected"
            raise
        finally:
            held.release()
            report = make_report(request, run, problem, error)
            log_report(report)
            self._observe(report)
        return problem

    def _make_run(
        self, request: ForwardRequest, sink: ResponseSink, held: AnswerReservation
    ) -> RequestRun:
        window = self._window(request.pool)
        return RequestRun(
            request,
            self._attempts,
            self._servers,
            self._origins,
            window,
            sink,
            self._pacing,
            self.stop_limits,
            self._hedging,
            held,
        )

    def _window(self, pool: str) -> RetryWindow:
        window = self._window_by_pool.get(pool)
        if window is None:
            window = self._window_by_pool[pool] = self._make_window()
        return window

    def _handle_timeout(self, request: ForwardRequest, run: RequestRun) -> Problem:
        is_stop = now() < request.until_s
        if run.delivery.is_started:
            passed = "the router stopped" if is_stop else "the deadline passed"
            raise StreamBrokenError(f"{passed} while the answer was sent") from None
        if is_stop and not run.attempts.may_have_run:
            return draining()
        if is_stop:
            return no_answer("the router stopped before the answer", True, False)
        detail = "no answer before the caller's deadline or the route's timeout"
        outcome = Outcome.UNKNOWN if run.attempts.may_have_run else Outcome.NOT_RUN
        return Problem(504, "timeout", detail, outcome)


def _takes_up_stream(request: ForwardRequest) -> bool:
    is_stream = request.route.kind is RequestKind.STREAMING
    return is_stream and request.takes_up_stream
