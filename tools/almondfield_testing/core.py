"""A paused event loop per scenario, and an in-memory network between hosts.

A feature's ``environment.py`` re-exports :func:`before_scenario` and
:func:`after_scenario`; steps call :func:`run`.
"""

import asyncio
import functools
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import looptime
from result import Err, Ok, Result

from almondfield_core.ports import LinkFailure
from almondfield_core.wire import decode_message, encode_message, kind_of

__all__ = [
    "InMemoryNetwork",
    "InMemoryPeers",
    "after_scenario",
    "before_scenario",
    "count_calls",
    "run",
]


def before_scenario(context: Any, scenario: Any) -> None:
    """Set ``context.loop`` to a new paused event loop for the scenario."""
    context.loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(context.loop)


def after_scenario(context: Any, scenario: Any) -> None:
    """Cancel the remaining tasks of the scenario's loop and close the loop."""
    tasks = asyncio.all_tasks(context.loop)
    for task in tasks:
        task.cancel()
    if tasks:
        context.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    context.loop.close()
    asyncio.set_event_loop(None)


def run(context: Any, awaitable: Awaitable[Any]) -> Any:
    """Return the result of an awaitable that runs in the scenario's paused loop.

    :param context: the behave context.
    :param awaitable: awaitable to run; the clock jumps to the next timer whenever
        nothing else can run.
    """

    async def main() -> Any:
        return await awaitable

    return context.loop.run_until_complete(main())


def in_loop(step: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Return an async step as a function that runs it in the scenario's event loop.

    :param step: the step.
    """

    @functools.wraps(step)
    def run_step(context: Any, **arguments: Any) -> None:
        run(context, step(context, **arguments))

    return run_step


@contextmanager
def count_calls(calls: Counter[str]) -> Iterator[None]:
    """Count the calls of Python and built-in functions in the block.

    Each item of a generator counts as a call, as it costs as much.

    :param calls: counts by kind, to which those of the block are added.
    """

    def on_event(frame: Any, event: str, argument: Any) -> None:
        if event in ("call", "c_call"):
            calls[event] += 1

    sys.setprofile(on_event)
    try:
        yield
    finally:
        sys.setprofile(None)


class InMemoryNetwork:
    """Links that drop, delay, duplicate and reorder messages, and can be cut.

    :param seed: seed of the random number generator.
    :param delay_s: range of the one-way delay in seconds, as (minimum, maximum).
    :param loss: fraction of messages that are dropped.
    :param repeat: fraction of messages that are delivered twice.

    :ivar delay_s_by_host: longer delays of the messages to and from some hosts.
    :ivar max_message_bytes: larger messages are dropped; None for no limit.
    :ivar largest_by_kind: size of the largest message of each kind in bytes.
    """

    def __init__(
        self,
        seed: int = 1,
        delay_s: tuple[float, float] = (0.001, 0.002),
        loss: float = 0.0,
        repeat: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.delay_s = delay_s
        self.loss = loss
        self.repeat = repeat
        self.peers_by_host: dict[str, InMemoryPeers] = {}
        self.delay_s_by_host: dict[str, tuple[float, float]] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.bytes_by_kind: dict[str, int] = {}
        self.count_by_kind: dict[str, int] = {}
        self.max_message_bytes: int | None = None
        self.largest_by_kind: dict[str, int] = {}

    def peers(self, host: str) -> "InMemoryPeers":
        """Return the ``Peers`` port of a host; a second call restarts the host.

        :param host: name of the host.
        """
        peers = InMemoryPeers(self, host)
        self.peers_by_host[host] = peers
        return peers

    def cut(self, source: str, target: str) -> None:
        """Block the path from one host to another, in that direction only."""
        self.cut_links.add((source, target))

    def isolate(self, host: str) -> None:
        """Block every path to and from a host."""
        for other in self.peers_by_host:
            if other != host:
                self.cut(host, other)
                self.cut(other, host)

    def heal(self) -> None:
        """Unblock every path."""
        self.cut_links.clear()

    def stop(self, host: str) -> None:
        """Remove a host from the network, as a crash does."""
        self.peers_by_host.pop(host, None)

    def deliver(self, source: str, target: str, kind: str, body: bytes, tag: Any):
        """Deliver one message after a random delay, or drop it."""
        self.bytes_by_kind[kind] = self.bytes_by_kind.get(kind, 0) + len(body)
        self.count_by_kind[kind] = self.count_by_kind.get(kind, 0) + 1
        self.largest_by_kind[kind] = max(self.largest_by_kind.get(kind, 0), len(body))
        if self.max_message_bytes is not None and len(body) > self.max_message_bytes:
            return
        if source != target and (source, target) in self.cut_links:
            return
        if source != target and self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.repeat else 1
        for _ in range(copies):
            delay_s = 0.0 if source == target else self._draw_delay_s(source, target)
            asyncio.get_running_loop().call_later(
                delay_s, self._arrive, source, target, kind, body, tag
            )

    def _draw_delay_s(self, source: str, target: str) -> float:
        """Return a delay of the slower of the two hosts, in seconds."""
        by_host = self.delay_s_by_host
        ranges = (by_host.get(host, self.delay_s) for host in (source, target))
        return self.random.uniform(*max(ranges))

    def _arrive(self, source, target, kind, body, tag):
        peers = self.peers_by_host.get(target)
        if peers is None or (source, target) in self.cut_links:
            return
        peers.receive(source, kind, body, tag)


class InMemoryPeers:
    """The ``Peers`` port over an :class:`InMemoryNetwork`.

    :param network: the network.
    :param host: name of this host.

    :ivar handling_delay_s: how long the message that is handled now waited, in seconds;
        messages of this network wait only if a test says so.
    """

    def __init__(self, network: InMemoryNetwork, host: str) -> None:
        self.handling_delay_s = 0.0
        self._network = network
        self._host = host
        self._handler_by_kind: dict[str, Callable[[str, Any], Awaitable[Any]]] = {}
        self._reply_by_tag: dict[int, asyncio.Future[Any]] = {}
        self._on_late_by_tag: dict[int, Callable[[Any], None]] = {}
        self._next_tag = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def host(self) -> str:
        """Return the name of this host."""
        return self._host

    def send(self, to: str, message: object) -> None:
        """Send a one-way message."""
        self._post(to, message, ("one-way", 0))

    async def request(
        self,
        to: str,
        message: object,
        timeout_s: float,
        on_late: Callable[[Any], None] | None = None,
    ) -> Result[Any, LinkFailure]:
        """Return the reply of a peer, or an error after the timeout."""
        self._next_tag += 1
        tag = self._next_tag
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_tag[tag] = reply
        self._post(to, message, ("request", tag))
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await reply)
        except TimeoutError:
            if on_late is not None:
                self._on_late_by_tag[tag] = on_late
            return Err(LinkFailure(to, f"no reply within {timeout_s} s"))
        finally:
            del self._reply_by_tag[tag]

    def register_handler(
        self,
        message_type: type,
        handler: Callable[[str, Any], Awaitable[Any]],
        concurrent: bool = False,
    ) -> None:
        """Register the handler of a message type."""
        self._handler_by_kind[kind_of(message_type)] = handler

    def is_reachable(self, host: str) -> bool:
        """Return whether the host is running and its path works both ways."""
        cut = self._network.cut_links
        is_running = host in self._network.peers_by_host
        return (
            is_running
            and (self._host, host) not in cut
            and (host, self._host) not in cut
        )

    def add_host(self, host: Any) -> None:
        """Do nothing: every host of the network can be reached by name."""

    def receive(self, source: str, kind: str, body: bytes, tag: Any) -> None:
        """Handle a message that arrived from the network."""
        message = decode_message(kind, body).unwrap()
        match tag:
            case ("reply", number):
                reply = self._reply_by_tag.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(message)
                elif number in self._on_late_by_tag:
                    self._on_late_by_tag.pop(number)(message)
            case _:
                task = asyncio.ensure_future(self._handle(source, kind, message, tag))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _handle(self, source, kind, message, tag):
        handler = self._handler_by_kind.get(kind)
        if handler is None:
            return
        reply = await handler(source, message)
        if reply is not None and tag[0] == "request":
            self._post(source, reply, ("reply", tag[1]))

    def _post(self, to: str, message: object, tag: Any) -> None:
        if self._network.peers_by_host.get(self._host) is not self:
            return
        kind = kind_of(type(message))
        self._network.deliver(self._host, to, kind, encode_message(message), tag)
