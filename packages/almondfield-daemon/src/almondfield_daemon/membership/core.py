"""Hosts and backend servers as this host knows them."""

import asyncio
import math
import random
from collections.abc import Callable

from almondfield_core.clock import Beat, now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_daemon.membership.addresses import AddressAnswer, order_hosts
from almondfield_daemon.membership.holds import HoldDirectory
from almondfield_daemon.membership.hosts import HostDirectory
from almondfield_daemon.membership.messages import (
    HoldNews,
    HostDigest,
    HostNews,
    HostState,
    SilenceNews,
    SpareNews,
)
from almondfield_daemon.membership.outbox import Outbox
from almondfield_daemon.membership.servers import HeardServer, ServerDirectory

__all__ = ["Membership"]

RELAY_WINDOW_S = 0.25
URGENT_WINDOW_S = 0.05
SPARE_INTERVAL_S = 10.0
GREATEST_SPARE_LEVEL = 15


class Membership:
    """Relays announcements, watches neighbours and answers callers' addresses.

    :param peers: messages to the other hosts.
    :param view: tables and pool leases.
    :param settings: settings of this daemon.
    :param incarnation: number that grows with each start of this host.
    """

    def __init__(
        self,
        peers: Peers,
        view: TableView,
        settings: DaemonSettings,
        incarnation: int,
    ) -> None:
        self._peers = peers
        self._view = view
        self._settings = settings
        self._incarnation = incarnation
        self._random = random.Random(f"{settings.host}/{incarnation}")
        self._own = next(h for h in settings.hosts if h.name == settings.host)
        self._holds = HoldDirectory()
        self._directory = HostDirectory(settings.host, settings.hosts, self._holds)
        self._servers = ServerDirectory(settings.timing.server_silence_s, self._holds)
        self._outbox_by_host: dict[str, Outbox] = {}
        self._incarnation_by_neighbour: dict[str, int] = {}
        self._open_neighbours: frozenset[str] = frozenset()
        self._read_spare: Callable[[], float] = lambda: 0.0
        self._state = HostState.LIVE
        self._number = 0
        self._spare_said_s = -SPARE_INTERVAL_S
        self._started_s = now()
        self._urgent = asyncio.Event()
        self._beat = Beat(settings.host, settings.timing.heartbeat_s)
        peers.listen(HostDigest, self._on_digest)

    def watch_spare(self, read: Callable[[], float]) -> None:
        """Weigh this host in address answers by its spare capacity from now on.

        :param read: returns how many more requests this host can take.
        """
        self._read_spare = read

    async def run(self) -> None:
        """Watch, spread and relay until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            tasks.create_task(self._spread_urgent())
            tasks.create_task(self._relay())

    async def announce(self, announcement: ServerAnnouncement) -> None:
        """Pass an announcement on to the schedulers whose pools select the server.

        :param announcement: what the server says of itself.
        """
        if self._servers.note(announcement, self._view.tables.pools):
            self._send_relays()

    def servers(self) -> tuple[HeardServer, ...]:
        """Return the servers that announce themselves to this host."""
        return self._servers.heard()

    def hold_server(self, server: str, fencing: int, lifetime_s: float) -> None:
        """Keep new work from a backend server, in the whole fleet.

        :param server: name of the server.
        :param fencing: fencing number of the order that it is held for.
        :param lifetime_s: seconds until it gets work again; 0 for now.
        """
        news = HoldNews(server, fencing, self._next(), lifetime_s)
        self._say(HostDigest(holds=(news,)))
        self._send_relays()

    def is_held(self, server: str) -> bool:
        """Return whether new work is kept from a backend server.

        :param server: name of the server.
        """
        return self._holds.is_held(server)

    def addresses(self, data_centre: str = "") -> AddressAnswer:
        """Return the addresses that a caller may use, the best first.

        :param data_centre: data centre of the caller; this host's if empty.
        """
        known = self._directory.settings_by_host
        usable = [(host, self._directory.spare(name)) for name, host in known.items()]
        suspects = self.suspects()
        good = [
            (host, spare)
            for host, spare in usable
            if host.name not in suspects and self._takes_callers(host.name)
        ]
        near = data_centre or self._own.data_centre
        regions = {host.data_centre: host.region for host in known.values()}
        region = regions.get(near, self._own.region)
        return AddressAnswer(
            # With no good host any is worth a try; none would end the service.
            order_hosts(good or usable, near, region, self._random),
            self._settings.timing.address_lifetime_s,
        )

    def suspects(self) -> frozenset[str]:
        """Return the hosts that are not heard by enough of their neighbours."""
        return self._directory.suspects(self.is_isolated)

    @property
    def is_isolated(self) -> bool:
        """Return whether this host hears none of its neighbours.

        A single neighbour may itself be gone; then current tables speak for this host.
        """
        neighbours = self._directory.neighbours(self._own.name)
        if not neighbours or self._open_neighbours or self._is_starting:
            return False
        return len(neighbours) > 1 or self._view.freshness_left_s() <= 0

    def drain(self) -> None:
        """Leave the address answers of every host; this host keeps serving."""
        self._state = HostState.DRAINING
        self._say_news()

    @property
    def _is_starting(self) -> bool:
        return now() - self._started_s < 2 * self._settings.timing.silence_s

    def _takes_callers(self, host: str) -> bool:
        if host != self._own.name:
            return self._directory.takes_callers(host)
        return self._state is HostState.LIVE and self._view.freshness_left_s() > 0

    async def _watch(self) -> None:
        while True:
            self._say_news()
            self._say_spare()
            self._note_neighbours()
            for host in self._directory.neighbours(self._own.name):
                self._tell(host)
            await self._beat.wait()

    async def _spread_urgent(self) -> None:
        while True:
            await self._urgent.wait()
            await asyncio.sleep(URGENT_WINDOW_S)
            self._urgent.clear()
            for host, outbox in self._outbox_by_host.items():
                if outbox.is_urgent:
                    self._tell(host)

    async def _relay(self) -> None:
        while True:
            await asyncio.sleep(RELAY_WINDOW_S)
            self._servers.forget_silent()
            self._send_relays()

    def _send_relays(self) -> None:
        self._servers.note_holds()
        self._servers.note_leases(dict(self._view.lease_by_pool))
        for host, relay in self._servers.take_relays():
            self._peers.send(host, relay)

    async def _on_digest(self, sender: str, digest: HostDigest) -> None:
        fresh = self._directory.merge(digest)
        for news in fresh.hosts:
            self._peers.learn_host(news.settings)
        self._outdo_own_past(fresh)
        self._pass_on(fresh, sender)
        if fresh.holds:
            self._send_relays()
        if self._has_restarted(sender):
            self._outbox(sender).add(self._directory.everything())

    def _has_restarted(self, neighbour: str) -> bool:
        if neighbour not in self._directory.neighbours(self._own.name):
            return False
        news = self._directory.news(neighbour)
        incarnation = 0 if news is None else news.incarnation
        before = self._incarnation_by_neighbour.get(neighbour, incarnation)
        self._incarnation_by_neighbour[neighbour] = incarnation
        return incarnation > before

    def _outdo_own_past(self, fresh: HostDigest) -> None:
        # News of an earlier life with a greater incarnation means a clock set back.
        for news in fresh.hosts:
            if news.settings.name == self._own.name:
                self._incarnation = max(self._incarnation, news.incarnation + 1)

    def _say_news(self) -> None:
        known = self._directory.news(self._own.name)
        fresh = self._view.freshness_left_s() > 0
        own = known is not None and known.incarnation == self._incarnation
        if own and (known.state, known.fresh) == (self._state, fresh):
            return
        news = HostNews(self._own, self._incarnation, self._next(), self._state, fresh)
        self._say(HostDigest(hosts=(news,)))

    def _say_spare(self) -> None:
        level = round(math.log2(1.0 + max(0.0, self._read_spare())))
        level = min(level, GREATEST_SPARE_LEVEL)
        same = self._directory.spare(self._own.name) == 2.0**level
        if same or now() - self._spare_said_s < SPARE_INTERVAL_S:
            return
        self._spare_said_s = now()
        spare = SpareNews(self._own.name, self._incarnation, self._next(), level)
        self._say(HostDigest(spares=(spare,)))

    def _note_neighbours(self) -> None:
        neighbours = self._directory.neighbours(self._own.name)
        heard = frozenset(h for h in neighbours if self._peers.is_reachable(h))
        for host in heard - self._open_neighbours:
            self._outbox(host).add(self._directory.everything())
        self._open_neighbours = heard
        if self._is_starting:
            return
        for host in neighbours:
            self._say_silence(host, host not in heard)

    def _say_silence(self, host: str, silent: bool) -> None:
        if self._directory.calls_silent(self._own.name, host) == silent:
            return
        news = SilenceNews(
            host, self._own.name, self._incarnation, self._next(), silent
        )
        self._say(HostDigest(silences=(news,)))

    def _say(self, digest: HostDigest) -> None:
        self._pass_on(self._directory.merge(digest), self._own.name)

    def _pass_on(self, digest: HostDigest, source: str) -> None:
        for host in self._directory.neighbours(self._own.name) - {source}:
            self._outbox(host).add(digest)
        if digest.hosts or digest.silences or digest.holds:
            self._urgent.set()

    def _tell(self, host: str) -> None:
        digest = self._outbox(host).take()
        if digest is not None:
            self._peers.send(host, digest)

    def _outbox(self, host: str) -> Outbox:
        return self._outbox_by_host.setdefault(host, Outbox())

    def _next(self) -> int:
        self._number += 1
        return self._number
