"""Runs real components over in-memory links and measures their use of resources.

Processor time is attributed to a host and to a kind of message.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import looptime

from almondfield_daemon.peers.message_counters import MessageCounters
from almondfield_testing import InMemoryNetwork, InMemoryPeers

__all__ = ["HostUse", "MeteredNetwork", "attributed_to", "run_metered"]

LOOP = "loop"
UNATTRIBUTED = ("outside", LOOP)

_account: ContextVar[tuple[str, str]] = ContextVar("account", default=UNATTRIBUTED)


@dataclass(frozen=True)
class HostUse:
    """Resources that one host used between two readings.

    :ivar processor_s: processor seconds, by kind of message or ``loop``.
    :ivar sent: messages sent to other hosts, by kind.
    :ivar sent_bytes: bytes of their bodies, by kind.
    :ivar received: messages received from other hosts, by kind.
    :ivar received_bytes: bytes of their bodies, by kind.
    """

    processor_s: Counter
    sent: Counter
    sent_bytes: Counter
    received: Counter
    received_bytes: Counter

    def __sub__(self, before: "HostUse") -> "HostUse":
        """Return the use since an earlier reading."""
        differences = []
        for name in self.__dataclass_fields__:
            difference = Counter(getattr(self, name))
            difference.subtract(getattr(before, name))
            differences.append(difference)
        return HostUse(*differences)


@contextmanager
def attributed_to(host: str) -> Iterator[None]:
    """Attribute the work of tasks started in the block to a host.

    :param host: name of the host.
    """
    token = _account.set((host, LOOP))
    try:
        yield
    finally:
        _account.reset(token)


class MeteredNetwork(InMemoryNetwork):
    """In-memory links that count messages by host and kind."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.counters = MessageCounters()
        self.counts: dict[str, Counter] = {
            name: Counter()
            for name in ("sent", "sent_bytes", "received", "received_bytes")
        }

    def peers(self, host: str) -> "MeteredPeers":
        """Return the ``Peers`` port of a host; a second call restarts the host."""
        peers = MeteredPeers(self, host)
        self.peers_by_host[host] = peers
        return peers

    def deliver(self, source: str, target: str, kind: str, body: bytes, tag: Any):
        """Deliver or drop one message, and count it for both ends."""
        if source != target:
            self.counts["sent"][source, kind] += 1
            self.counts["sent_bytes"][source, kind] += len(body)
            self.counts["received"][target, kind] += 1
            self.counts["received_bytes"][target, kind] += len(body)
        super().deliver(source, target, kind, body, tag)

    def resource_use(self, host: str) -> HostUse:
        """Return the resources that a host has used so far."""
        spent = Counter()
        for account, figures in self.counters.stats(0).stats_by_kind.items():
            if account[0] == host:
                spent[account[1]] = figures.processor_s
        counts = [
            Counter({kind: n for (name, kind), n in counter.items() if name == host})
            for counter in self.counts.values()
        ]
        return HostUse(spent, *counts)


class MeteredPeers(InMemoryPeers):
    """The ``Peers`` port of one host; handlers are attributed to it and to the kind."""

    def receive(self, source: str, kind: str, body: bytes, tag: Any) -> None:
        """Receive one message from the network."""
        token = _account.set((self.host, kind))
        try:
            with self._network.counters.measure(_account.get()):
                super().receive(source, kind, body, tag)
        finally:
            _account.reset(token)


def run_metered(network: MeteredNetwork, main: Callable[[], Awaitable[Any]]) -> Any:
    """Return the result of a coroutine on a paused clock, and measure its work.

    :param network: network whose counters measure the work.
    :param main: the coroutine function.
    """
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)

    def make_task(loop: Any, coroutine: Coroutine, **options: Any) -> asyncio.Task:
        account = _account.get()
        metered = coroutine
        if account is not UNATTRIBUTED:
            metered = _metered(network.counters, account, coroutine)
        return asyncio.Task(metered, loop=loop, **options)

    loop.set_task_factory(make_task)
    try:
        return loop.run_until_complete(main())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
        asyncio.set_event_loop(None)


async def _metered(
    counters: MessageCounters, account: Any, coroutine: Coroutine
) -> Any:
    return await counters.measure_handler(account, coroutine)
