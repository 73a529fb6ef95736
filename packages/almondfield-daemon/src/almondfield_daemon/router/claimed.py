"""Runs a claimed request to completion even if its caller disconnects."""

import asyncio
from collections.abc import AsyncIterator, Callable

from result import Err, Ok, Result

from almondfield_core.messages import ClaimRequest, ServerFailure, StoredAnswer
from almondfield_daemon.router.answers import RoutedAnswer
from almondfield_daemon.router.calls import AnswerCutError, Header
from almondfield_daemon.router.claims import ClaimManager
from almondfield_daemon.router.dispatch import Dispatched, Dispatcher
from almondfield_daemon.router.plans import CallerRequest, Plan
from almondfield_daemon.router.problems import Outcome, Problem

__all__ = ["ClaimedAnswer", "ClaimedRun"]

MAX_STORED_BYTES = 16 * 1024
BUFFERED_CHUNKS = 8


class ClaimedAnswer:
    """The answer of a claimed run as its caller reads it.

    :param run: the run.
    :param status: HTTP status.
    :param headers: end-to-end headers.
    """

    def __init__(
        self, run: "ClaimedRun", status: int, headers: tuple[Header, ...]
    ) -> None:
        self.status = status
        self.headers = headers
        self._run = run

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body as they arrive.

        :raises AnswerCutError: if the body ends before it is complete.
        """
        while True:
            match await self._run.buffer.get():
                case None:
                    return
                case AnswerCutError() as error:
                    raise error
                case chunk:
                    yield chunk

    def close(self) -> None:
        """Detach from the run, which continues so that its answer is stored."""
        self._run.detach()


class ClaimedRun:
    """One run of a claimed request, in its own task.

    Once any byte may have been sent, the run continues without its caller, so that
    a repeated request with the same key gets the real answer.

    :param dispatcher: sends the request.
    :param claims: settles the claim.
    :param claim: the granted claim.
    :param finished: called at the end of the run, with the answer's failure or None.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        claims: ClaimManager,
        claim: ClaimRequest,
        finished: Callable[[ServerFailure | None], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._claims = claims
        self._claim = claim
        self._finished = finished
        self._sent = False
        self._attached = True
        self.buffer: asyncio.Queue[bytes | AnswerCutError | None] = asyncio.Queue(
            BUFFERED_CHUNKS
        )

    async def start(
        self, request: CallerRequest, plan: Plan
    ) -> Result[ClaimedAnswer, Problem]:
        """Return the answer once its head is received; cancelling detaches the caller.

        :param request: the request.
        :param plan: how it is to be served.
        """
        head: asyncio.Future[Result[ClaimedAnswer, Problem]] = (
            asyncio.get_running_loop().create_future()
        )
        task = asyncio.ensure_future(self._run(request, plan, head))
        self._claims.track(task)
        try:
            return await asyncio.shield(head)
        except asyncio.CancelledError:
            self.detach()
            if not self._sent:
                task.cancel()
            raise

    def detach(self) -> None:
        """Stop delivering chunks to the caller."""
        self._attached = False
        while not self.buffer.empty():
            self.buffer.get_nowait()

    async def _run(
        self,
        request: CallerRequest,
        plan: Plan,
        head: asyncio.Future[Result[ClaimedAnswer, Problem]],
    ) -> None:
        try:
            outcome = await self._dispatcher.run(request, plan, self._mark_sent)
        except asyncio.CancelledError:
            self._settle_without_answer()
            raise
        except Exception as error:
            self._settle_without_answer()
            head.set_exception(error)
            return
        match outcome:
            case Ok(dispatched):
                answer = dispatched.answer
                head.set_result(Ok(ClaimedAnswer(self, answer.status, answer.headers)))
                await self._deliver(dispatched)
            case Err(problem):
                ran = problem.outcome is Outcome.UNKNOWN
                self._claims.settle(self._claim, None, ran)
                self._finished(None)
                head.set_result(Err(problem))

    def _settle_without_answer(self) -> None:
        self._claims.settle(self._claim, None, ran=self._sent)
        self._finished(None)

    async def _deliver(self, dispatched: Dispatched) -> None:
        """Deliver the answer to the caller and store it for repeated requests."""
        answer = RoutedAnswer(dispatched, self._finished)
        stored = None
        end: AnswerCutError | None = None
        try:
            body = await self._read_body(answer)
            stored = _to_stored_answer(answer, body)
        except AnswerCutError as error:
            end = error
        finally:
            answer.close()
            # Settle before the end is delivered: a slow caller would delay it.
            self._claims.settle(self._claim, stored, ran=True)
        await self._enqueue(end)

    async def _read_body(self, answer: RoutedAnswer) -> bytes | None:
        """Return the complete body, or None if it is too large to store."""
        parts = []
        size = 0
        async for chunk in answer.chunks():
            size += len(chunk)
            if size <= MAX_STORED_BYTES:
                parts.append(chunk)
            elif not self._attached:
                return None
            await self._enqueue(chunk)
        return b"".join(parts) if size <= MAX_STORED_BYTES else None

    async def _enqueue(self, item: bytes | AnswerCutError | None) -> None:
        if self._attached:
            await self.buffer.put(item)

    def _mark_sent(self) -> None:
        self._sent = True


def _to_stored_answer(answer: RoutedAnswer, body: bytes | None) -> StoredAnswer:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in answer.headers
    )
    return StoredAnswer(answer.status, headers, body or b"", complete=body is not None)
