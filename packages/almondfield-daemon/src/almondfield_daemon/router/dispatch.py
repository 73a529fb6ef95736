"""Sends a request to backend servers until one answers or no retry is allowed."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from almondfield_core.clock import now
from almondfield_core.messages import SlotRequest
from almondfield_core.ports import Slot, SlotSource
from almondfield_daemon.router.calls import (
    BackendAnswer,
    BackendCall,
    Backends,
    CallFailure,
    Header,
)
from almondfield_daemon.router.plans import CallerRequest, Plan
from almondfield_daemon.router.problems import (
    Outcome,
    Problem,
    from_call_failure,
    from_not_run,
)
from almondfield_daemon.router.resume import ResumingAnswer, can_resume
from almondfield_daemon.router.retry_budget import RetryBudget

__all__ = ["Dispatched", "Dispatcher"]

MAX_ATTEMPTS = 3
FIRST_RETRY_DELAY_S = 0.05
UNFORWARDED_HEADERS = frozenset(
    (b"host", b"authorization", b"content-length", b"expect", b"x-request-id")
)


@dataclass(frozen=True)
class Dispatched:
    """An answer with the slot that its request occupies.

    :ivar answer: the answer; its body may still be arriving.
    :ivar slot: the slot.
    """

    answer: BackendAnswer
    slot: Slot


class Dispatcher:
    """Queues requests, sends them, and retries where that is safe.

    :param slots: grants slots in fair order.
    :param backends: sends requests to backend servers.
    :param replan: returns the plan of a request under the newest tables.
    :param retry_share: highest long-term ratio of retries to requests.
    :param max_event_bytes: limit on one event of an event stream, in bytes.
    """

    def __init__(
        self,
        slots: SlotSource,
        backends: Backends,
        replan: Callable[[CallerRequest], Result[Plan, Problem]],
        retry_share: float,
        max_event_bytes: int,
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._slots = slots
        self._backends = backends
        self._replan = replan
        self._budget = RetryBudget(retry_share)
        self.retries = 0
        self.resumed = 0

    async def run(
        self, request: CallerRequest, plan: Plan, on_send: Callable[[], None]
    ) -> Result[Dispatched, Problem]:
        """Return the first answer of a backend server.

        A request that is not repeatable is retried only if no byte of the failed
        attempt was sent.

        :param request: the request.
        :param plan: how it is to be served.
        :param on_send: called before each attempt.
        """
        deadline = now() + plan.route.queue_deadline_s
        failures: list[CallFailure] = []
        avoid: tuple[str, ...] = ()
        while True:
            match await self._take_slot(request, plan, deadline, avoid):
                case Err(problem):
                    return Err(_final_problem(problem, failures))
                case Ok((slot, plan)):
                    pass
            if not failures:
                self._budget.record_request()
            on_send()
            match await self._attempt(
                request, plan, slot, new_connection=bool(failures)
            ):
                case Ok(dispatched):
                    return Ok(dispatched)
                case Err(failure):
                    failures.append(failure)
            if not self._may_retry(plan, failures):
                return Err(_final_problem(from_call_failure(failure), failures))
            avoid += (slot.server.name,)
            await asyncio.sleep(_retry_delay_s(len(failures)))

    async def _take_slot(
        self,
        request: CallerRequest,
        plan: Plan,
        deadline: float,
        avoid: tuple[str, ...],
    ) -> Result[tuple[Slot, Plan], Problem]:
        """Return a slot of the pool that the newest tables select."""
        while True:
            left_s = max(0.0, deadline - now())
            match await self._slots.acquire(
                _build_slot_request(request, plan, left_s, avoid)
            ):
                case Err(not_run):
                    return Err(from_not_run(not_run))
                case Ok(slot):
                    pass
            match self._replan(request):
                case Err(problem):
                    slot.release()
                    return Err(problem)
                case Ok(newest) if newest.pool.name == plan.pool.name:
                    return Ok((slot, newest))
                case Ok(newest):
                    slot.release()
                    plan = newest

    async def _attempt(
        self, request: CallerRequest, plan: Plan, slot: Slot, new_connection: bool
    ) -> Result[Dispatched, CallFailure]:
        call = _build_call(request, plan, slot, new_connection)
        try:
            sent = await self._backends.send(call)
            if sent.is_err() and sent.unwrap_err().stale and self._budget.try_spend():
                self.retries += 1
                sent = await self._backends.send(replace(call, pooled=False))
        except BaseException:
            slot.release()
            raise
        match sent:
            case Ok(answer):
                return Ok(Dispatched(self._wrap_resumable(answer, call, slot), slot))
            case Err(failure):
                slot.release(failure.failure)
                return Err(failure)

    def _wrap_resumable(
        self, answer: BackendAnswer, call: BackendCall, slot: Slot
    ) -> BackendAnswer:
        if not (slot.server.resumes_streams and can_resume(answer)):
            return answer

        async def resume(last_id: bytes) -> Result[BackendAnswer, CallFailure]:
            self.resumed += 1
            header = (b"last-event-id", last_id)
            headers = tuple(h for h in call.headers if h[0] != b"last-event-id")
            resume_call = replace(call, headers=headers + (header,), pooled=False)
            return await self._backends.send(resume_call)

        return ResumingAnswer(answer, resume, self._max_event_bytes)

    def _may_retry(self, plan: Plan, failures: list[CallFailure]) -> bool:
        if failures[-1].may_have_run and not plan.repeatable:
            return False
        if len(failures) >= MAX_ATTEMPTS:
            return False
        # If no byte of the attempt was sent, it added no load to the servers.
        if failures[-1].may_have_run and not self._budget.try_spend():
            return False
        self.retries += 1
        return True


def _retry_delay_s(failures: int) -> float:
    """Return the back-off in seconds, so that a failing server is excluded first."""
    return FIRST_RETRY_DELAY_S * 2 ** (failures - 1) * random.uniform(0.5, 1.5)


def _final_problem(problem: Problem, failures: list[CallFailure]) -> Problem:
    """Return the problem to report: outcome unknown if any attempt may have run."""
    if not any(failure.may_have_run for failure in failures):
        return problem
    if problem.outcome is Outcome.UNKNOWN:
        return problem
    return next(from_call_failure(f) for f in reversed(failures) if f.may_have_run)


def _build_slot_request(
    request: CallerRequest, plan: Plan, left_s: float, avoid: tuple[str, ...]
) -> SlotRequest:
    route = plan.route
    return SlotRequest(
        pool=plan.pool.name,
        team=route.team,
        route=route.path_prefix,
        weight=route.weight,
        queue_limit=route.queue_limit,
        queue_deadline_s=left_s,
        body_bytes=len(request.body),
        avoid=avoid,
    )


def _build_call(
    request: CallerRequest, plan: Plan, slot: Slot, new_connection: bool
) -> BackendCall:
    return BackendCall(
        address=slot.server.address,
        method=request.method,
        target=request.target,
        headers=_forwarded_headers(request),
        body=request.body,
        timeouts=plan.pool.timeouts,
        pooled=plan.repeatable and not new_connection,
    )


def _forwarded_headers(request: CallerRequest) -> tuple[Header, ...]:
    """Return the headers for the backend server, without the team's key."""
    kept = [
        header for header in request.headers if header[0] not in UNFORWARDED_HEADERS
    ]
    kept.append((b"x-request-id", request.request_id.encode()))
    return tuple(kept)
