"""Real parts over links in memory, with processor time by host and kind of work."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import looptime

from almondfield_daemon.peers.meter import Meter
from almondfield_testing import InMemoryNetwork, InMemoryPeers

__all__ = ["HostUse", "MeteredNetwork", "at_host", "run_metered"]

LOOP = "loop"
OUTSIDE = ("outside", LOOP)

_account: ContextVar[tuple[str, str]] = ContextVar("account", default=OUTSIDE)


@dataclass(frozen=True)
class HostUse:
    """What one host spent between two readings.

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
        """Return what was spent since an earlier reading."""
        differences = []
        for name in self.__dataclass_fields__:
            difference = Counter(getattr(self, name))
            difference.subtract(getattr(before, name))
            differences.append(difference)
        return HostUse(*differences)


@contextmanager
def at_host(host: str) -> Iterator[None]:
    """Count the work of tasks started in the block for a host.

    :param host: name of the host.
    """
    token = _account.set((host, LOOP))
    try:
        yield
    finally:
        _account.reset(token)


class MeteredNetwork(InMemoryNetwork):
    """Links in memory that count messages by host and kind."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.meter = Meter()
        self.counts: dict[str, Counter] = {
            name: Counter()
            for name in ("sent", "sent_bytes", "received", "received_bytes")
        }

    def peers(self, host: str) -> "MeteredPeers":
        """Return the port of a host; a second call is a restart of the host."""
        peers = MeteredPeers(self, host)
        self.peers_by_host[host] = peers
        return peers

    def deliver(self, source: str, target: str, kind: str, body: bytes, tag: Any):
        """Carry one message, and count it for both ends."""
        if source != target:
            self.counts["sent"][source, kind] += 1
            self.counts["sent_bytes"][source, kind] += len(body)
            self.counts["received"][target, kind] += 1
            self.counts["received_bytes"][target, kind] += len(body)
        super().deliver(source, target, kind, body, tag)

    def use(self, host: str) -> HostUse:
        """Return what a host spent so far."""
        spent = Counter()
        for account, figures in self.meter.stats(0).stats_by_kind.items():
            if account[0] == host:
                spent[account[1]] = figures.processor_s
        counts = [
            Counter({kind: n for (name, kind), n in counter.items() if name == host})
            for counter in self.counts.values()
        ]
        return HostUse(spent, *counts)


class MeteredPeers(InMemoryPeers):
    """The port of one host; handlers count for it and for the message's kind."""

    def receive(self, source: str, kind: str, body: bytes, tag: Any) -> None:
        """Take one message from the network."""
        token = _account.set((self.host, kind))
        try:
            with self._network.meter.work(_account.get()):
                super().receive(source, kind, body, tag)
        finally:
            _account.reset(token)


def run_metered(network: MeteredNetwork, main: Callable[[], Awaitable[Any]]) -> Any:
    """Return the result of a coroutine on a paused clock, with its work counted.

    :param network: counts the work.
    :param main: the coroutine function.
    """
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)

    def make_task(loop: Any, coroutine: Coroutine, **options: Any) -> asyncio.Task:
        account = _account.get()
        metered = coroutine
        if account is not OUTSIDE:
            metered = _metered(network.meter, account, coroutine)
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


async def _metered(meter: Meter, account: Any, coroutine: Coroutine) -> Any:
    return await meter.handling(account, coroutine)
