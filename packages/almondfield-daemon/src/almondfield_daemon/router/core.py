"""The router, which serves requests: plan, slot, backend server, answer."""

import eliot
from result import Err, Ok, Result

from almondfield_core.messages import NotRun, NotRunReason, ServerFailure, StoredAnswer
from almondfield_core.ports import Control, SlotSource, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_daemon.router.answers import Answer, RoutedAnswer, StoredReply
from almondfield_daemon.router.calls import Backends
from almondfield_daemon.router.claimed import ClaimedRun
from almondfield_daemon.router.claims import ClaimManager
from almondfield_daemon.router.dispatch import Dispatcher
from almondfield_daemon.router.plans import CallerRequest, Plan, PlanIndex
from almondfield_daemon.router.problems import Outcome, Problem, from_not_run
from almondfield_daemon.router.stats import RouterStats

__all__ = ["Router"]

STALE_RETRY_AFTER_S = 1.0


class Router:
    """Serves callers' requests.

    :param view: provides the tables and their freshness.
    :param slots: grants slots in fair order.
    :param control: stores idempotency keys.
    :param backends: sends requests to backend servers.
    :param settings: settings of the daemon.
    """

    def __init__(
        self,
        view: TableView,
        slots: SlotSource,
        control: Control,
        backends: Backends,
        settings: DaemonSettings,
    ) -> None:
        self._view = view
        self._index = PlanIndex()
        self._claims = ClaimManager(control)
        self._dispatcher = Dispatcher(
            slots,
            backends,
            self._plan,
            settings.limits.retry_budget_share,
            settings.answers.max_event_bytes,
        )
        self._draining = False
        self._running = 0
        self._served = 0
        self._not_run = 0
        self._unknown = 0
        self._cut = 0

    @property
    def running(self) -> int:
        """Return the number of requests being served or settled."""
        return self._running + self._claims.unsettled

    def stats(self) -> RouterStats:
        """Return the router's request counts."""
        return RouterStats(
            running=self._running,
            served=self._served,
            not_run=self._not_run,
            unknown=self._unknown,
            cut=self._cut,
            retries=self._dispatcher.retries,
            resumed=self._dispatcher.resumed,
        )

    def refuse_new(self) -> None:
        """Refuse new requests; running ones continue."""
        self._draining = True

    def admit(self, request: CallerRequest) -> Result[Plan, Problem]:
        """Return the plan of a request, before its body is read.

        :param request: the request; its body is ignored.
        """
        if self._draining:
            return Err(from_not_run(NotRun(NotRunReason.DRAINING)))
        return self._plan(request)

    async def serve(
        self, request: CallerRequest, plan: Plan
    ) -> Result[Answer, Problem]:
        """Return the answer once its head is received.

        :param request: the request.
        :param plan: the plan that :meth:`admit` returned.
        """
        self._served += 1
        if request.idempotency_key and not plan.repeatable:
            served = await self._serve_claimed(request, plan)
        else:
            served = await self._serve_unclaimed(request, plan)
        if served.is_err():
            self._record_problem(request, plan, served.unwrap_err())
        return served

    async def _serve_unclaimed(
        self, request: CallerRequest, plan: Plan
    ) -> Result[Answer, Problem]:
        self._running += 1
        try:
            outcome = await self._dispatcher.run(request, plan, _ignore_send)
        except BaseException:
            self._running -= 1
            raise
        match outcome:
            case Ok(dispatched):
                return Ok(RoutedAnswer(dispatched, self._finish))
            case Err(problem):
                self._running -= 1
                return Err(problem)

    async def _serve_claimed(
        self, request: CallerRequest, plan: Plan
    ) -> Result[Answer, Problem]:
        match await self._claims.claim(request, plan.route.team):
            case Err(problem):
                return Err(problem)
            case Ok(StoredAnswer() as stored):
                return Ok(StoredReply(stored))
            case Ok(claim):
                self._running += 1
                run = ClaimedRun(self._dispatcher, self._claims, claim, self._finish)
                return await run.start(request, plan)

    def _plan(self, request: CallerRequest) -> Result[Plan, Problem]:
        if self._view.freshness_left_s() <= 0:
            not_run = NotRun(NotRunReason.STALE_TABLES, STALE_RETRY_AFTER_S)
            return Err(from_not_run(not_run))
        return self._index.plan(self._view.tables, request)

    def _finish(self, failure: ServerFailure | None) -> None:
        self._running -= 1
        if failure is not None:
            self._cut += 1

    def _record_problem(
        self, request: CallerRequest, plan: Plan, problem: Problem
    ) -> None:
        if problem.outcome is Outcome.NOT_RUN:
            # Not logged: a team that floods the fleet would fill the log.
            self._not_run += 1
            return
        self._unknown += 1
        eliot.log_message(
            "request:unknown",
            request_id=request.request_id,
            team=plan.route.team,
            pool=plan.pool.name,
            error=problem.kind,
            detail=problem.detail,
        )


def _ignore_send() -> None:
    """Do nothing; only a claimed request records that it was sent."""
