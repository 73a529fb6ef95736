"""Batches of one host's commands to the leader."""

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from almondfield_control.node.messages import BatchReply, BatchRequest, EncodedMessage
from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.wire import decode_message, encode_message, kind_of

__all__ = ["CommandBatcher", "decode_item", "encode_item"]

MAX_BATCH_ITEMS = 64


@dataclass(frozen=True)
class _PendingCommand:
    """A command whose outcome is not known yet.

    :ivar message: the command.
    :ivar deadline: time on the loop's clock at which its caller stops waiting.
    :ivar outcome: result for the caller.
    """

    message: object
    deadline: float
    outcome: asyncio.Future[Result[Any, ControlUnavailable]]


class CommandBatcher:
    """Sends the commands that arrive while a batch is in flight as the next batch.

    :param request_leader: sends a message to the leader and returns its reply; takes
        the message and a timeout in seconds.
    """

    def __init__(self, request_leader: Any) -> None:
        self._request_leader = request_leader
        self._pending: list[_PendingCommand] = []
        self._sender: asyncio.Task[None] | None = None

    async def submit(
        self, message: object, timeout_s: float
    ) -> Result[Any, ControlUnavailable]:
        """Return the outcome of an idempotent command.

        :param message: the command.
        :param timeout_s: seconds after which no further attempt is made.
        """
        outcome = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingCommand(message, now() + timeout_s, outcome))
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_all())
        return await outcome

    async def _send_all(self) -> None:
        while self._pending:
            batch, self._pending = (
                self._pending[:MAX_BATCH_ITEMS],
                self._pending[MAX_BATCH_ITEMS:],
            )
            batch = [item for item in batch if not item.outcome.done()]
            if batch:
                await self._send(batch)

    async def _send(self, batch: list[_PendingCommand]) -> None:
        request = BatchRequest(tuple(encode_item(item.message) for item in batch))
        left_s = max(item.deadline for item in batch) - now()
        match await self._request_leader(request, left_s):
            case Ok(BatchReply(items)):
                for item, reply in zip(batch, items):
                    self._set_outcome(item, decode_item(reply))
            case Err(unavailable):
                for item in batch:
                    if not item.outcome.done():
                        item.outcome.set_result(Err(unavailable))

    def _set_outcome(self, item: _PendingCommand, reply: object) -> None:
        if item.outcome.done():
            return
        if isinstance(reply, ControlUnavailable):
            item.outcome.set_result(Err(reply))
        else:
            item.outcome.set_result(Ok(reply))


def encode_item(message: object) -> EncodedMessage:
    """Return a message encoded as an item of a batch.

    :param message: a registered wire message.
    """
    return EncodedMessage(kind_of(type(message)), encode_message(message))


def decode_item(item: EncodedMessage) -> Any:
    """Return the decoded message of a batch item.

    :param item: the encoded message.
    :raises ValueError: if the kind is unknown or the body cannot be decoded.
    """
    return decode_message(item.kind, item.body).unwrap_or_raise(ValueError)
