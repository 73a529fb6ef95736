"""The router: from a request to a slot, a backend server and an answer."""

from collections.abc import AsyncIterator, Callable

from almondfield_core.messages import NotRun, NotRunReason, ServerFailure, SlotRequest
from almondfield_core.ports import Control, Slot, SlotSource, TableView
from almondfield_core.settings import DaemonSettings
from result import Err, Ok, Result

from almondfield_daemon.router.calls import (
    AnswerCutError,
    BackendAnswer,
    BackendCall,
    Backends,
    Header,
)
from almondfield_daemon.router.plans import CallerRequest, Plan, PlanIndex
from almondfield_daemon.router.problems import (
    Problem,
    from_call_failure,
    from_not_run,
)
from almondfield_daemon.router.stats import RouterStats

__all__ = ["RoutedAnswer", "Router"]

STALE_RETRY_AFTER_S = 1.0
PRIVATE_HEADERS = frozenset(
    (b"host", b"authorization", b"content-length", b"expect", b"x-request-id")
)


class RoutedAnswer:
    """A backend server's answer; holds its slot until it is read or closed.

    :param answer: the answer.
    :param slot: the slot of its request.
    :param finished: called once the answer is read or closed.
    """

    def __init__(
        self, answer: BackendAnswer, slot: Slot, finished: Callable[[], None]
    ) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self._answer = answer
        self._slot: Slot | None = slot
        self._finished = finished

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the body as it comes.

        :raises AnswerCutError: where it ends before it is whole.
        """
        failure = None
        try:
            async for chunk in self._answer.chunks():
                yield chunk
        except AnswerCutError as error:
            failure = error.failure
            raise
        finally:
            self.close(failure)

    def close(self, failure: ServerFailure | None = None) -> None:
        """Give up what is left of the answer and release the slot.

        :param failure: how the answer failed, if it did.
        """
        if self._slot is None:
            return
        slot, self._slot = self._slot, None
        self._answer.close()
        slot.release(failure)
        self._finished()


class Router:
    """Serves callers' requests.

    :param view: tables and their freshness.
    :param slots: gives out slots in fair order.
    :param control: keeps idempotency keys.
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
        self._slots = slots
        self._control = control
        self._backends = backends
        self._settings = settings
        self._index = PlanIndex()
        self._draining = False
        self._running = 0
        self._served = 0

    @property
    def running(self) -> int:
        """Return the number of requests that are being served."""
        return self._running

    def stats(self) -> RouterStats:
        """Return counts of what the router did."""
        return RouterStats(running=self._running, served=self._served)

    def refuse_new(self) -> None:
        """Refuse requests from now on; those that run go on."""
        self._draining = True

    def admit(self, request: CallerRequest) -> Result[Plan, Problem]:
        """Return how a request would be served now, before its body is read.

        :param request: the request; its body doesn't matter here.
        """
        if self._draining:
            return Err(from_not_run(NotRun(NotRunReason.DRAINING)))
        if self._view.freshness_left_s() <= 0:
            not_run = NotRun(NotRunReason.STALE_TABLES, STALE_RETRY_AFTER_S)
            return Err(from_not_run(not_run))
        return self._index.plan(self._view.tables, request)

    async def serve(
        self, request: CallerRequest, plan: Plan
    ) -> Result[RoutedAnswer, Problem]:
        """Return the answer of a backend server once its head is known.

        :param request: the request.
        :param plan: what :meth:`admit` returned for it.
        """
        self._running += 1
        self._served += 1
        try:
            served = await self._queue(request, plan)
        except BaseException:
            self._running -= 1
            raise
        if served.is_err():
            self._running -= 1
        return served

    async def _queue(
        self, request: CallerRequest, plan: Plan
    ) -> Result[RoutedAnswer, Problem]:
        match await self._slots.acquire(_slot_request(request, plan)):
            case Err(not_run):
                return Err(from_not_run(not_run))
            case Ok(slot):
                return await self._run(request, plan, slot)

    async def _run(
        self, request: CallerRequest, plan: Plan, slot: Slot
    ) -> Result[RoutedAnswer, Problem]:
        call = _call(request, plan, slot)
        try:
            sent = await self._backends.send(call)
        except BaseException:
            slot.release()
            raise
        match sent:
            case Ok(answer):
                return Ok(RoutedAnswer(answer, slot, self._finished))
            case Err(failure):
                slot.release(failure.failure)
                return Err(from_call_failure(failure))

    def _finished(self) -> None:
        self._running -= 1


def _slot_request(request: CallerRequest, plan: Plan) -> SlotRequest:
    route = plan.route
    return SlotRequest(
        pool=plan.pool.name,
        team=route.team,
        route=route.path_prefix,
        weight=route.weight,
        queue_limit=route.queue_limit,
        queue_deadline_s=route.queue_deadline_s,
        body_bytes=len(request.body),
    )


def _call(request: CallerRequest, plan: Plan, slot: Slot) -> BackendCall:
    return BackendCall(
        address=slot.server.address,
        method=request.method,
        target=request.target,
        headers=_forwarded(request),
        body=request.body,
        timeouts=plan.pool.timeouts,
        repeatable=plan.repeatable,
    )


def _forwarded(request: CallerRequest) -> tuple[Header, ...]:
    """Return the headers for the backend server; the team's key stays here."""
    kept = [header for header in request.headers if header[0] not in PRIVATE_HEADERS]
    kept.append((b"x-request-id", request.request_id.encode()))
    return tuple(kept)
