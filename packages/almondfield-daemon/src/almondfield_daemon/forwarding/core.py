"""The path of requests from their head to the end of their answer."""

import asyncio
from collections.abc import Callable

from almondfield_daemon.forwarding.attempts import Attempts
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.ports import ResponseSink
from almondfield_daemon.forwarding.reports import (
    RequestReport,
    log_report,
    make_report,
)
from almondfield_daemon.forwarding.run import RequestRun, StreamBrokenError
from almondfield_daemon.forwarding.servers import ServerChoice
from almondfield_daemon.router.problems import Outcome, Problem

__all__ = ["Forwarder"]


class Forwarder:
    """Serves requests.

    :param attempts: sends requests to servers.
    :param servers: chooses servers.
    :param make_window: returns the bound on the repeated requests of a pool.
    :param observe: called with what became of each request.
    """

    def __init__(
        self,
        attempts: Attempts,
        servers: ServerChoice,
        make_window: Callable[[], RetryWindow],
        observe: Callable[[RequestReport], None] = lambda report: None,
    ) -> None:
        self._observe = observe
        self._attempts = attempts
        self._servers = servers
        self._make_window = make_window
        self._window_by_pool: dict[str, RetryWindow] = {}

    async def serve(
        self, request: ForwardRequest, sink: ResponseSink
    ) -> Problem | None:
        """Return None once the answer was sent, or why nothing was sent.

        :param request: the request.
        :param sink: takes the answer.
        :raises StreamBrokenError: where an answer that has begun can't be completed.
        """
        window = self._window(request.pool)
        window.note_request()
        run = RequestRun(request, self._attempts, self._servers, window, sink)
        problem = None
        error = ""
        try:
            async with asyncio.timeout_at(request.until_s):
                problem = await run.serve()
        except TimeoutError:
            problem = self._time_out(run)
        except (StreamBrokenError, asyncio.CancelledError) as cause:
            error = str(cause) or "the caller left"
            raise
        finally:
            report = make_report(request, run, problem, error)
            log_report(report)
            self._observe(report)
        return problem

    def _window(self, pool: str) -> RetryWindow:
        window = self._window_by_pool.get(pool)
        if window is None:
            window = self._window_by_pool[pool] = self._make_window()
        return window

    def _time_out(self, run: RequestRun) -> Problem:
        if run.is_started:
            raise StreamBrokenError("the time for the answer is over") from None
        detail = "no answer in the time that the caller or the route allows"
        outcome = Outcome.UNKNOWN if run.may_have_run else Outcome.NOT_RUN
        return Problem(504, "timeout", detail, outcome)
