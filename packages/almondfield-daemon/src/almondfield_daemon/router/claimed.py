"""Runs a claimed request to its end, also when its caller goes away."""

import asyncio
from collections.abc import AsyncIterator, Callable

from result import Err, Ok, Result

from almondfield_core.messages import ClaimRequest, ServerFailure, StoredAnswer
from almondfield_daemon.router.answers import RoutedAnswer
from almondfield_daemon.router.calls import AnswerCutError, Header
from almondfield_daemon.router.claims import ClaimKeeper
from almondfield_daemon.router.dispatch import Dispatched, Dispatcher
from almondfield_daemon.router.plans import CallerRequest, Plan
from almondfield_daemon.router.problems import Outcome, Problem

__all__ = ["ClaimedAnswer", "ClaimedRun"]

MAX_STORED_BYTES = 16 * 1024
BUFFERED_CHUNKS = 8


class ClaimedAnswer:
    """The caller's side of a claimed run.

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
        """Return the body as it comes.

        :raises AnswerCutError: where it ends before it is whole.
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
        """Leave the run to itself; its answer is stored for a repeat."""
        self._run.detach()


class ClaimedRun:
    """One run of a claimed request, in a task of its own.

    Once a byte may have left, the run goes on without its caller, so that a repeat
    of the key hears the true answer.

    :param dispatcher: sends the request.
    :param keeper: settles the claim.
    :param claim: the granted claim.
    :param finished: called with how the answer failed, at the end of the run.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        keeper: ClaimKeeper,
        claim: ClaimRequest,
        finished: Callable[[ServerFailure | None], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._keeper = keeper
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
        """Return the answer once its head is known; cancelling detaches the caller.

        :param request: the request.
        :param plan: how it is to be served.
        """
        head: asyncio.Future[Result[ClaimedAnswer, Problem]] = (
            asyncio.get_running_loop().create_future()
        )
        task = asyncio.ensure_future(self._run(request, plan, head))
        self._keeper.keep(task)
        try:
            return await asyncio.shield(head)
        except asyncio.CancelledError:
            self.detach()
            if not self._sent:
                task.cancel()
            raise

    def detach(self) -> None:
        """Stop handing chunks to the caller."""
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
            dispatched = await self._dispatcher.run(request, plan, self._note_sent)
        except asyncio.CancelledError:
            self._give_up()
            raise
        except Exception as error:
            self._give_up()
            head.set_exception(error)
            return
        match dispatched:
            case Ok(found):
                answer = found.answer
                head.set_result(Ok(ClaimedAnswer(self, answer.status, answer.headers)))
                await self._copy(found)
            case Err(problem):
                ran = problem.outcome is Outcome.UNKNOWN
                self._keeper.settle(self._claim, None, ran)
                self._finished(None)
                head.set_result(Err(problem))

    def _give_up(self) -> None:
        self._keeper.settle(self._claim, None, ran=self._sent)
        self._finished(None)

    async def _copy(self, dispatched: Dispatched) -> None:
        """Hand the answer to the caller and keep it for repeats."""
        answer = RoutedAnswer(dispatched, self._finished)
        stored = None
        end: AnswerCutError | None = None
        try:
            body = await self._read(answer)
            stored = _stored(answer, body)
        except AnswerCutError as error:
            end = error
        finally:
            answer.close()
            # Not after the end is handed over: the caller may be slow to take it.
            self._keeper.settle(self._claim, stored, ran=True)
        await self._hand(end)

    async def _read(self, answer: RoutedAnswer) -> bytes | None:
        """Return the whole body, or None where it is too large to keep."""
        parts = []
        size = 0
        async for chunk in answer.chunks():
            size += len(chunk)
            if size <= MAX_STORED_BYTES:
                parts.append(chunk)
            elif not self._attached:
                return None
            await self._hand(chunk)
        return b"".join(parts) if size <= MAX_STORED_BYTES else None

    async def _hand(self, item: bytes | AnswerCutError | None) -> None:
        if self._attached:
            await self.buffer.put(item)

    def _note_sent(self) -> None:
        self._sent = True


def _stored(answer: RoutedAnswer, body: bytes | None) -> StoredAnswer:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in answer.headers
    )
    return StoredAnswer(answer.status, headers, body or b"", complete=body is not None)
