"""The task that hands over the messages of one sender, in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from almondfield_daemon.peers.frames import Envelope
from almondfield_daemon.peers.meter import Meter

__all__ = ["Inbox"]

MAX_HELD_ENVELOPES = 8192


class Inbox:
    """Messages of one sender that wait for their handlers.

    :param handle: handles one message.
    :param meter: counts what is dropped.
    """

    def __init__(
        self, handle: Callable[[Envelope], Awaitable[None]], meter: Meter
    ) -> None:
        self._handle = handle
        self._meter = meter
        self._held: deque[Envelope] = deque()
        self._wake = asyncio.Event()

    def put(self, envelope: Envelope) -> None:
        """Hold a message for its handler; the newest is dropped if too many wait.

        :param envelope: the message.
        """
        if len(self._held) >= MAX_HELD_ENVELOPES:
            self._meter.dropped("inbox full")
            return
        self._held.append(envelope)
        self._wake.set()

    async def run(self) -> None:
        """Hand over until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._held:
                await self._handle(self._held.popleft())
