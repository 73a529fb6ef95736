"""A router's client for the quarantine of prompt parts."""

import asyncio
from collections.abc import Callable

from result import Ok

from almondfield_core.ports import Peers
from almondfield_core.routing import Prompt
from almondfield_daemon.quarantine.messages import (
    CrashReport,
    Quarantine,
    QuarantineSync,
    QuarantineUpdate,
    ServerEndReport,
    SoundReport,
)
from almondfield_daemon.quarantine.parts import shared_parts
from almondfield_daemon.quarantine.settling import SettlingTable
from almondfield_daemon.quarantine.unproven import EndedStarts, UnprovenAnswers
from almondfield_daemon.server_notices import ServerStart

__all__ = ["QuarantineClient"]

SYNC_TIMEOUT_S = 0.9  # another sync follows the next time that the host returns


class QuarantineClient:
    """Keeps this router's quarantines; implements the ``PromptQuarantine`` port.

    Control hosts decide by what all routers have seen. A router that reaches none
    decides by what it has seen itself, which may blame parts that others know better.

    :param peers: messages to the other hosts.
    :param control_hosts: returns the hosts of the control group.
    :param responsive_hosts: returns those of them that answered recently.
    """

    def __init__(
        self,
        peers: Peers,
        control_hosts: Callable[[], tuple[str, ...]],
        responsive_hosts: Callable[[], tuple[str, ...]],
    ) -> None:
        self._peers = peers
        self._control_hosts = control_hosts
        self._syncs: set[asyncio.Task[None]] = set()
        self._unproven = UnprovenAnswers()
        self._ended = EndedStarts()
        self.table = SettlingTable(self._tell_decided, lambda: not responsive_hosts())

    def register_handlers(self) -> None:
        """Register the handler of messages."""
        self._peers.register_handler(QuarantineUpdate, self._on_update)
        self._peers.register_handler(ServerEndReport, self._on_end)

    def left_s(self, prompt: Prompt | None) -> float:
        """Return the seconds for which a prompt is still refused; 0 if it isn't.

        :param prompt: the prompt; None for none.
        """
        # Asked several times for each request, nearly always without a quarantine.
        if not self.table.has_quarantines:
            return 0.0
        return self.table.left_s(shared_parts(prompt))

    def record_crash(self, start: ServerStart, prompt: Prompt | None) -> None:
        """Record and report that a server ended while it began to answer a prompt.

        :param start: the start of the server.
        :param prompt: the prompt; None for none.
        """
        self._record_crash(start, shared_parts(prompt))
        self.record_gone(start)

    def record_sound(self, prompt: Prompt | None) -> None:
        """Record that a prompt was answered soundly, and report what this clears.

        :param prompt: the prompt; None for none.
        """
        self._record_sound(shared_parts(prompt))

    def record_unproven(self, start: ServerStart, prompt: Prompt | None) -> None:
        """Record an answer that ended with its connection, or was cut there.

        :param start: the start of the server.
        :param prompt: the prompt; None for none.
        """
        parts = shared_parts(prompt)
        if parts:
            self._unproven.put(start, parts)

    def record_alive(self, start: ServerStart) -> None:
        """Record that a server answers, which proves answers that it has outlived.

        :param start: the start of the server.
        """
        for parts in self._unproven.take_outlived(start):
            self._record_sound(parts)

    def record_gone(self, start: ServerStart) -> None:
        """Record that a server accepts no connection, or has cut an attempt.

        :param start: the start of the server.
        """
        if self._ended.add(start):
            self._send_all(ServerEndReport(start.name, start.born_ms))
        self._charge_unproven(start)

    async def _on_end(self, sender: str, report: ServerEndReport) -> None:
        start = ServerStart(report.server, report.born_ms)
        self._ended.add(start)
        self._charge_unproven(start)

    def _charge_unproven(self, start: ServerStart) -> None:
        for parts in self._unproven.take_all(start):
            self._record_crash(start, parts)

    def _record_crash(self, start: ServerStart, parts: tuple[str, ...]) -> None:
        suspects = self.table.record_crash(start, parts)
        if suspects:
            self.table.decide_soon()
            self._send_all(CrashReport(start.name, start.born_ms, suspects))

    def _record_sound(self, parts: tuple[str, ...]) -> None:
        cleared = self.table.record_sound(parts)
        if cleared:
            self._send_all(SoundReport(cleared))

    def sync(self, host: str) -> None:
        """Exchange all quarantines with a control host that may have lost them.

        :param host: a host that replies again, or has restarted.
        """
        task = asyncio.get_running_loop().create_task(self._sync(host))
        self._syncs.add(task)
        task.add_done_callback(self._syncs.discard)

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
