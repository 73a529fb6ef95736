"""The task that passes the messages of one sender to their handlers, in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from almondfield_core.clock import now
from almondfield_daemon.peers.envelope_queue import ByteBudget, counted_bytes
from almondfield_daemon.peers.frames import Envelope
from almondfield_daemon.peers.message_counters import MessageCounters
from almondfield_daemon.peers.turns import HandlingTurns

__all__ = ["Inbox"]

MAX_INBOX_ENVELOPES = 8192


class Inbox:
    """Queue of the messages of one sender that wait for their handlers.

    :param handle: called with one message at a time, and how long it has waited in
        this queue, in seconds.
    :param counters: counts dropped messages.
    :param budget: bytes of the waiting messages of all senders.
    :param turns: turns that the inboxes of all senders share.
    :param is_urgent: returns whether a message of a kind needs no turn.
    """

    def __init__(
        self,
        handle: Callable[[Envelope, float], Awaitable[None]],
        counters: MessageCounters,
        budget: ByteBudget,
        turns: HandlingTurns,
        is_urgent: Callable[[str], bool],
    ) -> None:
        self._turns = turns
        self._is_urgent = is_urgent
        self._budget = budget
        self._handle = handle
        self._counters = counters
        self._queue: deque[tuple[Envelope, float]] = deque()
        self._wake = asyncio.Event()

    def put(self, envelope: Envelope) -> None:
        """Queue a message for its handler; it is dropped if the queue is full.

        :param envelope: the message.
        """
        size = counted_bytes(envelope)
        has_room = not size or self._budget.has_room(size)
        if len(self._queue) >= MAX_INBOX_ENVELOPES or not has_room:
            self._counters.count_dropped("inbox full")
            return
        self._budget.used_bytes += size
        self._queue.append((envelope, now()))
        self._wake.set()

    async def run(self) -> None:
        """Pass messages to their handlers until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            turns = 0
            while self._queue:
                if not self._is_urgent(self._queue[0][0].kind):
                    turns = turns or await self._turns.take(self._queue)
                    turns -= 1
                envelope, queued_s = self._queue.popleft()
                self._budget.used_bytes -= counted_bytes(envelope)
                await self._handle(envelope, now() - queued_s)
