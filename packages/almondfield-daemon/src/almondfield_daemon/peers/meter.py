"""Counts what the traffic between hosts costs, by kind of message."""

import time
import types
from collections.abc import Awaitable, Generator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

__all__ = ["FRAMES", "KindStats", "Meter", "PeerStats"]

FRAMES = "frames"


@dataclass(frozen=True)
class KindStats:
    """Traffic of one kind of message since the start.

    :ivar sent: messages sent.
    :ivar sent_bytes: bytes of their bodies.
    :ivar received: messages received.
    :ivar received_bytes: bytes of their bodies.
    :ivar processor_s: processor seconds for coding and handling them.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    processor_s: float = 0.0


@dataclass(frozen=True)
class PeerStats:
    """Traffic with the other hosts since the start.

    :ivar stats_by_kind: figures by kind; ``frames`` stands for whole frames on the
        wire, with their sealing and their sockets.
    :ivar dropped_by_reason: frames and messages dropped, by reason.
    :ivar redials: connections closed for silence and dialled anew.
    :ivar links: hosts that this host sends to now.
    """

    stats_by_kind: dict[str, KindStats]
    dropped_by_reason: dict[str, int]
    redials: int
    links: int


class _KindAccount:
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


class Meter:
    """Adds up messages, bytes and processor time by kind."""

    def __init__(self) -> None:
        self._account_by_kind: dict[str, _KindAccount] = {}
        self.dropped_by_reason: dict[str, int] = {}
        self.redials = 0

    def sent(self, kind: str, size: int) -> None:
        """Count a message that was sent.

        :param kind: kind of the message.
        :param size: its size in bytes.
        """
        account = self._account(kind)
        account.sent += 1
        account.sent_bytes += size

    def received(self, kind: str, size: int) -> None:
        """Count a message that was received.

        :param kind: kind of the message.
        :param size: its size in bytes.
        """
        account = self._account(kind)
        account.received += 1
        account.received_bytes += size

    def dropped(self, reason: str) -> None:
        """Count a frame or message that was dropped.

        :param reason: why.
        """
        self.dropped_by_reason[reason] = self.dropped_by_reason.get(reason, 0) + 1

    @contextmanager
    def work(self, kind: str) -> Iterator[None]:
        """Count the processor time of the block.

        :param kind: kind of the message that it works on.
        """
        started_s = time.thread_time()
        try:
            yield
        finally:
            self._account(kind).processor_s += time.thread_time() - started_s

    @types.coroutine
    def handling(self, kind: str, handler: Awaitable[Any]) -> Generator[Any, Any, Any]:
        """Return the result of a handler, and count its processor time.

        :param kind: kind of the message that it handles.
        :param handler: the handler's coroutine.
        """
        steps = handler.__await__()
        step, value = steps.send, None
        while True:
            try:
                with self.work(kind):
                    waited_for = step(value)
            except StopIteration as stop:
                return stop.value
            try:
                value = yield waited_for
                step = steps.send
            except BaseException as error:
                value, step = error, steps.throw

    def stats(self, links: int) -> PeerStats:
        """Return the figures so far.

        :param links: hosts that this host sends to now.
        """
        return PeerStats(
            {kind: account.stats() for kind, account in self._account_by_kind.items()},
            dict(self.dropped_by_reason),
            self.redials,
            links,
        )

    def _account(self, kind: str) -> _KindAccount:
        account = self._account_by_kind.get(kind)
        if account is None:
            account = self._account_by_kind[kind] = _KindAccount()
        return account
