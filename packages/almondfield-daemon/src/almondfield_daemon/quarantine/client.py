"""A router's client for the quarantine of parts of requests."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import eliot
from result import Ok

from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_daemon.quarantine.messages import (
    CrashReport,
    Quarantine,
    QuarantineSync,
    QuarantineUpdate,
    ServerEndReport,
    SoundReport,
)
from almondfield_daemon.quarantine.refused import RefusedStarts
from almondfield_daemon.quarantine.settling import SettlingTable
from almondfield_daemon.quarantine.unproven import (
    EndedStarts,
    UnprovenAnswer,
    UnprovenAnswers,
)
from almondfield_daemon.server_notices import ServerStart

__all__ = ["QuarantineClient"]

SYNC_TIMEOUT_S = 0.9  # another sync follows the next time that the host returns
PROBE_AFTER_S = 0.05  # a process that ends may close its connections first


async def _accepts_all(address: str) -> bool:
    return True


class QuarantineClient:
    """Keeps this router's quarantines; implements the ``RequestQuarantine`` port.

    Control hosts decide by what all routers have seen. A router that reaches none
    decides by what it has seen itself, which may blame parts that others know better.

    :param peers: messages to the other hosts.
    :param control_hosts: returns the hosts of the control group.
    :param responsive_hosts: returns those of them that answered recently.
    :param accepts_connection: returns whether an address accepts a connection, or might
        do so.
    """

    def __init__(
        self,
        peers: Peers,
        control_hosts: Callable[[], tuple[str, ...]],
        responsive_hosts: Callable[[], tuple[str, ...]],
        accepts_connection: Callable[[str], Awaitable[bool]] = _accepts_all,
    ) -> None:
        self._accepts_connection = accepts_connection
        self._peers = peers
        self._control_hosts = control_hosts
        self._tasks: set[asyncio.Task[None]] = set()
        self._unproven = UnprovenAnswers()
        self._ended = EndedStarts()
        self._refused = RefusedStarts()
        self._probed: set[ServerStart] = set()
        self.table = SettlingTable(self._tell_decided, lambda: not responsive_hosts())

    def register_handlers(self) -> None:
        """Register the handler of messages."""
        self._peers.register_handler(QuarantineUpdate, self._on_update)
        self._peers.register_handler(ServerEndReport, self._on_end)

    def left_s(self, parts: tuple[str, ...]) -> float:
        """Return the seconds for which a request is still refused; 0 if it isn't.

        :param parts: parts of the request.
        """
        # Asked several times for each request, nearly always without a quarantine.
        if not self.table.has_quarantines:
            return 0.0
        return self.table.left_s(parts)

    def record_crash(
        self, start: ServerStart, address: str, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Record and report that a server ended under a request.

        :param start: the start of the server.
        :param address: its address.
        :param parts: parts of the request that may be to blame.
        :param ran_s: seconds from the choice of the server to its end.
        """
        self._record_crash(start, parts, ran_s)
        if self._ended.add(start):
            self._send_all(ServerEndReport(start.name, start.born_ms))
        self._charge_unproven(start)
        self._probe_soon(start, address)

    def record_doubtful_cut(
        self, start: ServerStart, address: str, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Record that a server ended under a request, or closed an idle connection.

        It has ended if this or another router finds it gone.

        :param start: the start of the server.
        :param address: its address.
        :param parts: parts of the request.
        :param ran_s: seconds from the choice of the server to the cut.
        """
        if start in self._ended:
            self._record_crash(start, parts, ran_s)
            return
        cut = UnprovenAnswer(now(), parts, ran_s, looks_whole=False)
        self._unproven.put(start, cut)
        self._probe_soon(start, address)

    def record_sound(self, parts: tuple[str, ...]) -> None:
        """Record that a request was answered soundly, and report what this clears.

        :param parts: parts of the request that this clears.
        """
        cleared = self.table.record_sound(parts)
        if cleared:
            self._send_all(SoundReport(cleared))

    def record_unproven(
        self, start: ServerStart, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Record an answer that ended with its connection, or was cut there.

        :param start: the start of the server.
        :param parts: parts of the request.
        :param ran_s: seconds from the choice of the server to the end.
        """
        if parts:
            answer = UnprovenAnswer(now(), parts, ran_s, looks_whole=True)
            self._unproven.put(start, answer)

    def record_alive(self, start: ServerStart) -> None:
        """Record that a server answers, which proves answers that it has outlived.

        :param start: the start of the server.
        """
        for answer in self._unproven.take_outlived(start):
            if answer.looks_whole:
                self.record_sound(answer.parts)

    def record_refused(self, start: ServerStart) -> None:
        """Record and report that a server refused a connection.

        :param start: the start of the server.
        """
        self._ended.add(start)
        if self._refused.add(start):
            eliot.log_message(
                "server:refused", server=start.name, born_ms=start.born_ms
            )
            report = ServerEndReport(start.name, start.born_ms, is_refused=True)
            self._send_all(report)
        self._charge_unproven(start)

    def has_refused(self, start: ServerStart) -> bool:
        """Return whether a server refused a connection of any router lately.

        :param start: the start of the server, as it was announced.
        """
        return start in self._refused

    def _probe_soon(self, start: ServerStart, address: str) -> None:
        """Find out whether a server that cut a connection refuses another one."""
        if start not in self._probed and start not in self._refused:
            self._probed.add(start)
            self._start_task(self._probe(start, address))

    async def _probe(self, start: ServerStart, address: str) -> None:
        try:
            await asyncio.sleep(PROBE_AFTER_S)
            if start in self._refused or await self._accepts_connection(address):
                return
            self.record_refused(start)
        finally:
            self._probed.discard(start)

    async def _on_end(self, sender: str, report: ServerEndReport) -> None:
        start = ServerStart(report.server, report.born_ms)
        self._ended.add(start)
        if report.is_refused:
            self._refused.add(start)
        self._charge_unproven(start)

    def _charge_unproven(self, start: ServerStart) -> None:
        for answer in self._unproven.take_all(start):
            ago_s = now() - answer.ended_s
            self._record_crash(start, answer.parts, answer.ran_s, ago_s)

    def _record_crash(
        self,
        start: ServerStart,
        parts: tuple[str, ...],
        ran_s: float,
        ago_s: float = 0.0,
    ) -> None:
        suspects = self.table.record_crash(start, parts, ran_s, ago_s)
        if suspects:
            self.table.decide_soon()
            report = CrashReport(start.name, start.born_ms, suspects, ran_s, ago_s)
            self._send_all(report)

    def sync(self, host: str) -> None:
        """Exchange all quarantines with a control host that may have lost them.

        :param host: a host that replies again, or has restarted.
        """
        self._start_task(self._sync(host))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sync(self, host: str) -> None:
        message = QuarantineSync(self.table.quarantines())

        def on_late(reply: object) -> None:
            if isinstance(reply, QuarantineUpdate):
                self._merge(reply)

        match await self._peers.request(host, message, SYNC_TIMEOUT_S, on_late):
            case Ok(QuarantineUpdate() as reply):
                self._merge(reply)

    async def _on_update(self, sender: str, update: QuarantineUpdate) -> None:
        self._merge(update)

    def _merge(self, update: QuarantineUpdate) -> None:
        self.table.record_sound(update.sound_parts)
        _, contradicted = self.table.merge(update.quarantines)
        self.table.expire_in_time()
        if contradicted:
            self._send_all(SoundReport(contradicted))

    def _tell_decided(self, quarantines: tuple[Quarantine, ...]) -> None:
        self._send_all(QuarantineUpdate(quarantines))

    def _send_all(self, message: object) -> None:
        for host in self._control_hosts():
            self._peers.send(host, message)
