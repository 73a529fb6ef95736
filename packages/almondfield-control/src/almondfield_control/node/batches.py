"""Claims of one host travel to the leader together."""

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from almondfield_control.node.messages import BatchReply, BatchRequest, CodedItem
from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.wire import decode_message, encode_message, kind_of

__all__ = ["Batches", "coded", "decoded"]

MAX_ITEMS = 64


@dataclass(frozen=True)
class _Waiting:
    """One command that waits for its outcome.

    :ivar message: the command.
    :ivar until: when its caller stops waiting, on the loop's clock.
    :ivar outcome: set once it is known.
    """

    message: object
    until: float
    outcome: asyncio.Future[Result[Any, ControlUnavailable]]


class Batches:
    """Sends what came in while the batch before was under way, as one message.

    :param ask: asks the leader within a number of seconds.
    """

    def __init__(self, ask: Any) -> None:
        self._ask = ask
        self._waiting: list[_Waiting] = []
        self._sender: asyncio.Task[None] | None = None

    async def ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, ControlUnavailable]:
        """Return the outcome of an idempotent command.

        :param message: the command.
        :param timeout_s: seconds to go on trying.
        """
        outcome = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(message, now() + timeout_s, outcome))
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_all())
        return await outcome

    async def _send_all(self) -> None:
        while self._waiting:
            batch, self._waiting = (
                self._waiting[:MAX_ITEMS],
                self._waiting[MAX_ITEMS:],
            )
            batch = [item for item in batch if not item.outcome.done()]
            if batch:
                await self._send(batch)

    async def _send(self, batch: list[_Waiting]) -> None:
        request = BatchRequest(tuple(coded(item.message) for item in batch))
        left_s = max(item.until for item in batch) - now()
        match await self._ask(request, left_s):
            case Ok(BatchReply(items)):
                for item, reply in zip(batch, items):
                    self._settle(item, decoded(reply))
            case Err(unavailable):
                for item in batch:
                    if not item.outcome.done():
                        item.outcome.set_result(Err(unavailable))

    def _settle(self, item: _Waiting, reply: object) -> None:
        if item.outcome.done():
            return
        if isinstance(reply, ControlUnavailable):
            item.outcome.set_result(Err(reply))
        else:
            item.outcome.set_result(Ok(reply))


def coded(message: object) -> CodedItem:
    """Return a message as an item of another.

    :param message: a registered wire message.
    """
    return CodedItem(kind_of(type(message)), encode_message(message))


def decoded(item: CodedItem) -> Any:
    """Return the message of an item.

    :param item: the item.
    :raises WireError: where it holds no known message.
    """
    return decode_message(item.kind, item.body).unwrap_or_raise(ValueError)
