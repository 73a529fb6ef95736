"""Sends one answer to a caller and measures when its parts are sent."""

from collections.abc import AsyncIterator

from almondfield_core.clock import now
from almondfield_daemon.forwarding.ports import ResponseSink
from almondfield_daemon.router.calls import Header

__all__ = ["AnswerDelivery"]


class AnswerDelivery:
    """The answer to one caller, which may come from several servers in turn.

    :param sink: receives the answer.
    :param arrived_s: when the request arrived, in seconds of the loop's clock.

    :ivar is_started: whether a part of the answer was sent to the caller.
    :ivar status: status sent to the caller; 0 before.
    :ivar first_part_s: seconds from arrival to the start of the answer; 0 before.
    :ivar longest_gap_s: longest pause between two events of a stream, in seconds.
    """

    def __init__(self, sink: ResponseSink, arrived_s: float) -> None:
        self._sink = sink
        self._arrived_s = arrived_s
        self._last_event_s: float | None = None
        self.is_started = False
        self.status = 0
        self.first_part_s = 0.0
        self.longest_gap_s = 0.0

    def check_caller(self) -> None:
        """Return if the caller still waits.

        :raises CallerDisconnectedError: if it has closed its connection.
        """
        self._sink.check_caller()

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send status and headers, unless those of an earlier server were sent.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        """
        if not self.is_started:
            self.is_started = True
            self.status = status
            self.first_part_s = now() - self._arrived_s
            await self._sink.start(status, headers)

    async def send_events(self, events: bytes) -> None:
        """Send complete events of a stream.

        :param events: the events.
        """
        event_s = now()
        if self._last_event_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, event_s - self._last_event_s)
        self._last_event_s = event_s
        await self._sink.send(events)

    async def finish(self, rest: bytes = b"") -> None:
        """Send the rest of a stream and mark the answer as complete.

        :param rest: the rest; may be empty.
        """
        if rest:
            await self._sink.send(rest)
        await self._sink.finish()

    async def send_whole(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        """Send a complete answer.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        :param body: its body.
        """
        await self.start(status, headers)
        await self._sink.send(body)
        await self._sink.finish()

    async def send_large(
        self,
        status: int,
        headers: tuple[Header, ...],
        beginning: bytes,
        rest: AsyncIterator[bytes],
    ) -> None:
        """Send an answer as its body arrives.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        :param beginning: the part of the body that has arrived.
        :param rest: the other parts.
        """
        await self.start(status, headers)
        await self._sink.send(beginning)
        async for part in rest:
            await self._sink.send(part)
        await self._sink.finish()
