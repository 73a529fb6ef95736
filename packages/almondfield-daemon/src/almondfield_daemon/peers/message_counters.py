"""Counts the traffic between hosts and its processor time, by kind of message."""

import time
import types
from collections.abc import Awaitable, Generator
from dataclasses import dataclass
from typing import Any

__all__ = ["FRAMES", "KindStats", "MessageCounters", "PeerStats"]

FRAMES = "frames"


@dataclass(frozen=True)
class KindStats:
    """Traffic of one kind of message since the start.

    :ivar sent: messages sent.
    :ivar sent_bytes: bytes of their bodies.
    :ivar received: messages received.
    :ivar received_bytes: bytes of their bodies.
    :ivar processor_s: processor seconds for encoding, decoding and handling them.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    processor_s: float = 0.0


@dataclass(frozen=True)
class PeerStats:
    """Traffic with the other hosts since the start.

    :ivar stats_by_kind: traffic by kind of message; the kind ``frames`` counts whole
        frames on the wire, with the time for sealing them and for socket calls.
    :ivar dropped_by_reason: frames and messages dropped, by reason.
    :ivar redials: connections replaced because the path was unresponsive.
    :ivar links: hosts with a link that now sends heartbeats.
    """

    stats_by_kind: dict[str, KindStats]
    dropped_by_reason: dict[str, int]
    redials: int
    links: int


class _KindCounters:
    __slots__ = ("processor_s", "received", "received_bytes", "sent", "sent_bytes")

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.processor_s = 0.0

    def stats(self) -> KindStats:
        return KindStats(
            self.sent,
            self.sent_bytes,
            self.received,
            self.received_bytes,
            self.processor_s,
        )


class _Measurement:
    """Adds the processor time of a block to the counters of a kind.

    A class, as each message has several and a generator's costs more than most blocks.

    :param counters: the counters.
    """

    __slots__ = ("_counters", "_started_s")

    def __init__(self, counters: _KindCounters) -> None:
        self._counters = counters

    def __enter__(self) -> None:
        self._started_s = time.thread_time()

    def __exit__(self, *error: object) -> None:
        self._counters.processor_s += time.thread_time() - self._started_s


class MessageCounters:
    """Adds up messages, bytes and processor time by kind."""

    def __init__(self) -> None:
        self._counters_by_kind: dict[str, _KindCounters] = {}
        self.dropped_by_reason: dict[str, int] = {}
        self.redials = 0

    def count_sent(self, kind: str, size: int) -> None:
        """Count a message that was sent.

        :param kind: kind of the message.
        :param size: its size in bytes.
        """
        counters = self._counters_for(kind)
        counters.sent += 1
        counters.sent_bytes += size

    def count_received(self, kind: str, size: int) -> None:
        """Count a message that was received.

        :param kind: kind of the message.
        :param size: its size in bytes.
        """
        counters = self._counters_for(kind)
        counters.received += 1
        counters.received_bytes += size

    def count_dropped(self, reason: str) -> None:
        """Count a frame or message that was dropped.

        :param reason: why it was dropped; the label of the metric.
        """
        self.dropped_by_reason[reason] = self.dropped_by_reason.get(reason, 0) + 1

    def measure(self, kind: str) -> _Measurement:
        """Return a context that adds the processor time of its block to a kind.

        :param kind: kind of the message that the block processes.
        """
        return _Measurement(self._counters_for(kind))

    @types.coroutine
    def measure_handler(
        self, kind: str, handler: Awaitable[Any]
    ) -> Generator[Any, Any, Any]:
        """Return the result of a handler, and add its processor time to a kind.

        :param kind: kind of the message that the handler processes.
        :param handler: the handler's coroutine; its waiting time does not count.
        """
        steps = handler.__await__()
        step, value = steps.send, None
        while True:
            try:
                with self.measure(kind):
                    waited_for = step(value)
            except StopIteration as stop:
                return stop.value
            try:
                value = yield waited_for
                step = steps.send
            except BaseException as error:
                value, step = error, steps.throw

    def stats(self, links: int) -> PeerStats:
        """Return the totals so far.

        :param links: hosts with a link that now sends heartbeats.
        """
        return PeerStats(
            {
                kind: counters.stats()
                for kind, counters in self._counters_by_kind.items()
            },
            dict(self.dropped_by_reason),
            self.redials,
            links,
        )

    def _counters_for(self, kind: str) -> _KindCounters:
        counters = self._counters_by_kind.get(kind)
        if counters is None:
            counters = self._counters_by_kind[kind] = _KindCounters()
        return counters
