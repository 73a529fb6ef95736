"""Ensures that a request with an idempotency key runs once across the fleet."""

import asyncio
import hashlib
import uuid

import eliot
from result import Err, Ok, Result

from almondfield_core.clock import now
from almondfield_core.messages import (
    ClaimAnswered,
    ClaimGranted,
    ClaimLost,
    ClaimMismatch,
    ClaimRequest,
    ClaimRunning,
    NotRun,
    NotRunReason,
    StoredAnswer,
)
from almondfield_core.ports import Control
from almondfield_daemon.router.plans import CallerRequest
from almondfield_daemon.router.problems import (
    Outcome,
    Problem,
    from_not_run,
    permanent_problem,
)

__all__ = ["ClaimManager"]

CLAIM_WAIT_S = 10.0
FIRST_POLL_S = 0.05
LONGEST_POLL_S = 1.0
RETRY_AFTER_S = 1.0
SETTLE_TRIES = 8
FIRST_SETTLE_DELAY_S = 0.1


class ClaimManager:
    """Claims idempotency keys before dispatch and settles them afterwards.

    :param control: stores the keys.
    """

    def __init__(self, control: Control) -> None:
        self._control = control
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Return the number of tasks that are running or settling claimed requests."""
        return len(self._tasks)

    async def claim(
        self, request: CallerRequest, team: str
    ) -> Result[ClaimRequest | StoredAnswer, Problem]:
        """Return the granted claim, or the answer already stored under the key.

        :param request: the request; it has an idempotency key.
        :param team: name of the team.
        """
        claim = _claim_request(request, team)
        deadline = now() + CLAIM_WAIT_S
        delay_s = FIRST_POLL_S
        while True:
            try:
                claimed = await self._control.claim(claim)
            except asyncio.CancelledError:
                self.settle(claim, None, ran=False)
                raise
            match claimed:
                case Ok(ClaimRunning()) if now() + delay_s <= deadline:
                    await asyncio.sleep(delay_s)
                    delay_s = min(2 * delay_s, LONGEST_POLL_S)
                case Ok(outcome):
                    return _from_outcome(outcome, claim)
                case Err(_):
                    # The claim may have been stored and would block a repeated request.
                    self.settle(claim, None, ran=False)
                    reason = NotRunReason.CONTROL_UNAVAILABLE
                    return Err(from_not_run(NotRun(reason, RETRY_AFTER_S)))

    def settle(
        self, claim: ClaimRequest, answer: StoredAnswer | None, ran: bool
    ) -> None:
        """Store the result of a claimed request in the background.

        :param claim: the claim.
        :param answer: the answer; None if it is not known.
        :param ran: whether the request may have run.
        """
        self.track(asyncio.ensure_future(self._settle(claim, answer, ran)))

    def track(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a task until it is done, and count it as unsettled.

        :param task: a task that runs or settles a claimed request.
        """
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(
        self, claim: ClaimRequest, answer: StoredAnswer | None, ran: bool
    ) -> None:
        delay_s = FIRST_SETTLE_DELAY_S
        for _ in range(SETTLE_TRIES):
            settled = await self._control.settle_claim(claim, answer, ran)
            # Ok(False): the claim is not stored yet; it may still arrive.
            if settled == Ok(True):
                return
            await asyncio.sleep(delay_s)
            delay_s *= 2
        eliot.log_message(
            "claim:unsettled", team=claim.team, key=claim.key, tries=SETTLE_TRIES
        )


def _claim_request(request: CallerRequest, team: str) -> ClaimRequest:
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.target, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return ClaimRequest(
        team=team,
        key=request.idempotency_key,
        fingerprint=digest.hexdigest(),
        claimant=uuid.uuid4().hex,
    )


def _from_outcome(
    outcome: object, claim: ClaimRequest
) -> Result[ClaimRequest | StoredAnswer, Problem]:
    match outcome:
        case ClaimGranted():
            return Ok(claim)
        case ClaimAnswered(answer) if answer.complete:
            return Ok(answer)
        case ClaimAnswered():
            detail = "the request has run; its answer was too large to store"
            return Err(Problem(502, "answer-not-kept", detail, Outcome.UNKNOWN))
        case ClaimLost():
            detail = "the request may have run; its answer is not known"
            return Err(Problem(502, "answer-lost", detail, Outcome.UNKNOWN))
        case ClaimRunning():
            detail = (
                f"the request with this key is still running after {CLAIM_WAIT_S} s"
            )
            problem = Problem(
                409, "key-running", detail, Outcome.UNKNOWN, RETRY_AFTER_S
            )
            return Err(problem)
        case ClaimMismatch():
            detail = (
                f"idempotency-key {claim.key!r} was used for a different request;"
                " allowed: the same method, path, query and body"
            )
            return Err(permanent_problem(422, "key-mismatch", detail))
    raise TypeError(f"unexpected claim outcome: {outcome!r}")
