"""A control host's service for the quarantine of parts of requests."""

from collections.abc import Callable

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
from almondfield_daemon.quarantine.unproven import EndedStarts
from almondfield_daemon.server_notices import ServerStart

__all__ = ["QuarantineService"]


class QuarantineService:
    """Decides by the reports of all routers, and tells routers and control hosts.

    All is kept in memory: a restarted host learns it from the first router that reaches
    it.

    :param peers: messages to the other hosts.
    :param routers: returns the hosts of the routers heard lately.
    :param control_hosts: returns the hosts of the control group.
    """

    def __init__(
        self,
        peers: Peers,
        routers: Callable[[], tuple[str, ...]],
        control_hosts: Callable[[], tuple[str, ...]],
    ) -> None:
        self._peers = peers
        self._routers = routers
        self._control_hosts = control_hosts
        self._ended = EndedStarts()
        self._refused = RefusedStarts()
        self.table = SettlingTable(self._tell_decided)

    def register_handlers(self) -> None:
        """Register the handlers of messages."""
        self._peers.register_handler(CrashReport, self._on_crash)
        self._peers.register_handler(SoundReport, self._on_sound)
        self._peers.register_handler(ServerEndReport, self._on_end)
        self._peers.register_handler(QuarantineUpdate, self._on_update)
        self._peers.register_handler(QuarantineSync, self._on_sync)

    async def _on_crash(self, sender: str, report: CrashReport) -> None:
        start = ServerStart(report.server, report.born_ms)
        self.table.record_crash(start, report.parts, report.ran_s, report.ago_s)
        self.table.decide_soon()

    async def _on_sound(self, sender: str, report: SoundReport) -> None:
        self._record_sound(report.parts)

    async def _on_end(self, sender: str, report: ServerEndReport) -> None:
        start = ServerStart(report.server, report.born_ms)
        has_news = self._ended.add(start)
        if report.is_refused:
            has_news = self._refused.add(start) or has_news
        if has_news:
            for host in self._routers():
                if host != sender:
                    self._peers.send(host, report)

    async def _on_update(self, sender: str, update: QuarantineUpdate) -> None:
        self._merge(update)

    async def _on_sync(self, sender: str, sync: QuarantineSync) -> QuarantineUpdate:
        self._merge(QuarantineUpdate(sync.quarantines))
        return QuarantineUpdate(self.table.quarantines())

    def _record_sound(self, parts: tuple[str, ...]) -> None:
        cleared = self.table.record_sound(parts)
        if cleared:
            self._tell(QuarantineUpdate(sound_parts=cleared))

    def _merge(self, update: QuarantineUpdate) -> None:
        self._record_sound(update.sound_parts)
        merged, contradicted = self.table.merge(update.quarantines)
        self.table.expire_in_time()
        if merged or contradicted:
            # The sender may not reach every host that this host reaches.
            self._tell(QuarantineUpdate(merged, contradicted))

    def _tell_decided(self, quarantines: tuple[Quarantine, ...]) -> None:
        self._tell(QuarantineUpdate(quarantines))

    def _tell(self, update: QuarantineUpdate) -> None:
        others = (host for host in self._control_hosts() if host != self._peers.host)
        for host in (*self._routers(), *others):
            self._peers.send(host, update)
