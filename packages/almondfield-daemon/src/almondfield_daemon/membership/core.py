"""The membership service of one host."""

import asyncio
import math
import random
from collections.abc import Callable

from almondfield_core.clock import PeriodicTimer, now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings
from almondfield_daemon.membership.addresses import AddressAnswer, order_hosts
from almondfield_daemon.membership.holds import HoldDirectory
from almondfield_daemon.membership.hosts import HostDirectory
from almondfield_daemon.membership.messages import (
    HoldUpdate,
    HostDigest,
    HostState,
    HostUpdate,
    ReachabilityUpdate,
    SpareSlotsUpdate,
)
from almondfield_daemon.membership.outbox import Outbox
from almondfield_daemon.membership.servers import AnnouncedServer, ServerDirectory

__all__ = ["Membership"]

RELAY_WINDOW_S = 0.25
URGENT_WINDOW_S = 0.05
SPARE_INTERVAL_S = 10.0
MAX_SPARE_LEVEL = 15


class Membership:
    """Relays announcements, monitors neighbours and selects addresses for callers.

    :param peers: messages to the other hosts.
    :param view: tables and pool leases.
    :param settings: settings of this daemon.
    :param incarnation: number that increases with each start of this host.
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
        self._own_host = next(h for h in settings.hosts if h.name == settings.host)
        self._holds = HoldDirectory()
        self._directory = HostDirectory(settings.host, settings.hosts, self._holds)
        self._read_evacuated: Callable[[], frozenset[str]] = frozenset
        self._servers = ServerDirectory(
            settings.timing.server_silence_s,
            self._holds,
            lambda: self._read_evacuated(),
        )
        self._outbox_by_host: dict[str, Outbox] = {}
        self._incarnation_by_neighbour: dict[str, int] = {}
        self._reachable_neighbours: frozenset[str] = frozenset()
        self._read_spare_slots: Callable[[], float] = lambda: 0.0
        self._state = HostState.LIVE
        self._last_number = 0
        self._spare_slots_published_s = -SPARE_INTERVAL_S
        self._started_s = now()
        self._urgent = asyncio.Event()
        self._timer = PeriodicTimer(settings.host, settings.timing.heartbeat_s)
        peers.register_handler(HostDigest, self._on_digest)

    def set_spare_slots_source(self, read: Callable[[], float]) -> None:
        """Set the source of this host's spare capacity, its weight in address answers.

        :param read: returns the number of further requests that this host can serve.
        """
        self._read_spare_slots = read

    def set_evacuated_source(self, read: Callable[[], frozenset[str]]) -> None:
        """Set the source of the evacuated data centres.

        :param read: returns the data centres whose servers get no new work.
        """
        self._read_evacuated = read

    async def run(self) -> None:
        """Monitor neighbours, send updates and relay announcements until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._exchange_updates())
            tasks.create_task(self._send_urgent())
            tasks.create_task(self._relay_announcements())

    async def announce(self, announcement: ServerAnnouncement) -> None:
        """Relay an announcement to the schedulers whose pools select the server.

        :param announcement: announcement of a backend server.
        """
        if self._servers.record(announcement, self._view.tables.pools):
            self._send_relays()

    def servers(self) -> tuple[AnnouncedServer, ...]:
        """Return the servers that announce themselves to this host."""
        return self._servers.servers()

    def hold_server(self, server: str, fencing: int, lifetime_s: float) -> None:
        """Exclude a backend server from new work in the whole fleet.

        :param server: name of the server.
        :param fencing: fencing number of the order that it is held for.
        :param lifetime_s: seconds until the hold expires; 0 ends it at once.
        """
        update = HoldUpdate(server, fencing, self._next_number(), lifetime_s)
        self._publish(HostDigest(holds=(update,)))
        self._send_relays()

    def is_held(self, server: str) -> bool:
        """Return whether a backend server is excluded from new work.

        :param server: name of the server.
        """
        return self._holds.is_held(server)

    def addresses(self, data_centre: str = "") -> AddressAnswer:
        """Return the addresses that a caller may use, in order of preference.

        :param data_centre: data centre of the caller; this host's if empty.
        """
        known = self._directory.settings_by_host
        hosts = [
            (host, self._directory.spare_slots(name)) for name, host in known.items()
        ]
        suspects = self.suspects()
        usable = [
            (host, spare_slots)
            for host, spare_slots in hosts
            if host.name not in suspects and self._accepts_requests(host.name)
        ]
        caller_centre = data_centre or self._own_host.data_centre
        region_by_centre = {host.data_centre: host.region for host in known.values()}
        region = region_by_centre.get(caller_centre, self._own_host.region)
        return AddressAnswer(
            # Without a usable host all are returned, as an empty answer would leave
            # the caller without service.
            order_hosts(usable or hosts, caller_centre, region, self._random),
            self._settings.timing.address_lifetime_s,
        )

    def suspects(self) -> frozenset[str]:
        """Return the hosts that enough of their neighbours report as unresponsive."""
        return self._directory.suspects(self.is_isolated)

    @property
    def is_isolated(self) -> bool:
        """Return whether this host can reach none of its neighbours.

        A single neighbour may itself have failed; then this host counts as isolated
        only if its tables are stale.
        """
        neighbours = self._directory.neighbours(self._own_host.name)
        if not neighbours or self._reachable_neighbours or self._is_starting:
            return False
        return len(neighbours) > 1 or self._view.freshness_left_s() <= 0

    def drain(self) -> None:
        """Remove this host from the address answers of all hosts.

        It continues to serve requests.
        """
        self._state = HostState.DRAINING
        self._publish_own_state()

    @property
    def _is_starting(self) -> bool:
        return now() - self._started_s < 2 * self._settings.timing.silence_s

    def _accepts_requests(self, host: str) -> bool:
        if host != self._own_host.name:
            return self._directory.accepts_requests(host)
        return self._state is HostState.LIVE and self._view.freshness_left_s() > 0

    async def _exchange_updates(self) -> None:
        while True:
            self._publish_own_state()
            self._publish_spare_slots()
            self._update_neighbours()
            for host in self._directory.neighbours(self._own_host.name):
                self._send_outbox(host)
            await self._timer.wait()

    async def _send_urgent(self) -> None:
        while True:
            await self._urgent.wait()
            await asyncio.sleep(URGENT_WINDOW_S)
            self._urgent.clear()
            for host, outbox in self._outbox_by_host.items():
                if outbox.is_urgent:
                    self._send_outbox(host)

    async def _relay_announcements(self) -> None:
        while True:
            await asyncio.sleep(RELAY_WINDOW_S)
            self._servers.remove_unresponsive()
            self._send_relays()

    def _send_relays(self) -> None:
        self._servers.queue_hold_changes()
        self._servers.queue_evacuation_changes()
        self._servers.queue_lease_changes(dict(self._view.lease_by_pool))
        for host, relay in self._servers.pop_relays():
            self._peers.send(host, relay)

    async def _on_digest(self, sender: str, digest: HostDigest) -> None:
        fresh = self._directory.merge(digest)
        for update in fresh.hosts:
            self._peers.add_host(update.settings)
        self._raise_own_incarnation(fresh)
        self._forward(fresh, sender)
        if fresh.holds:
            self._send_relays()
        if self._has_restarted(sender):
            self._outbox(sender).add(self._directory.all_updates())

    def _has_restarted(self, neighbour: str) -> bool:
        if neighbour not in self._directory.neighbours(self._own_host.name):
            return False
        update = self._directory.last_update(neighbour)
        incarnation = 0 if update is None else update.incarnation
        before = self._incarnation_by_neighbour.get(neighbour, incarnation)
        self._incarnation_by_neighbour[neighbour] = incarnation
        return incarnation > before

    def _raise_own_incarnation(self, fresh: HostDigest) -> None:
        # An earlier incarnation has a greater number if the clock was set back.
        for update in fresh.hosts:
            if update.settings.name == self._own_host.name:
                self._incarnation = max(self._incarnation, update.incarnation + 1)

    def _publish_own_state(self) -> None:
        known = self._directory.last_update(self._own_host.name)
        fresh = self._view.freshness_left_s() > 0
        is_current = known is not None and known.incarnation == self._incarnation
        if is_current and (known.state, known.fresh) == (self._state, fresh):
            return
        update = HostUpdate(
            self._own_host, self._incarnation, self._next_number(), self._state, fresh
        )
        self._publish(HostDigest(hosts=(update,)))

    def _publish_spare_slots(self) -> None:
        level = round(math.log2(1.0 + max(0.0, self._read_spare_slots())))
        level = min(level, MAX_SPARE_LEVEL)
        same = self._directory.spare_slots(self._own_host.name) == 2.0**level
        if same or now() - self._spare_slots_published_s < SPARE_INTERVAL_S:
            return
        self._spare_slots_published_s = now()
        update = SpareSlotsUpdate(
            self._own_host.name, self._incarnation, self._next_number(), level
        )
        self._publish(HostDigest(spares=(update,)))

    def _update_neighbours(self) -> None:
        neighbours = self._directory.neighbours(self._own_host.name)
        reachable = frozenset(h for h in neighbours if self._peers.is_reachable(h))
        for host in reachable - self._reachable_neighbours:
            self._outbox(host).add(self._directory.all_updates())
        self._reachable_neighbours = reachable
        if self._is_starting:
            return
        for host in neighbours:
            self._publish_reachability(host, host not in reachable)

    def _publish_reachability(self, host: str, silent: bool) -> None:
        if self._directory.reports_unresponsive(self._own_host.name, host) == silent:
            return
        update = ReachabilityUpdate(
            host, self._own_host.name, self._incarnation, self._next_number(), silent
        )
        self._publish(HostDigest(silences=(update,)))

    def _publish(self, digest: HostDigest) -> None:
        self._forward(self._directory.merge(digest), self._own_host.name)

    def _forward(self, digest: HostDigest, source: str) -> None:
        for host in self._directory.neighbours(self._own_host.name) - {source}:
            self._outbox(host).add(digest)
        if digest.hosts or digest.silences or digest.holds:
            self._urgent.set()

    def _send_outbox(self, host: str) -> None:
        digest = self._outbox(host).pop_all()
        if digest is not None:
            self._peers.send(host, digest)

    def _outbox(self, host: str) -> Outbox:
        return self._outbox_by_host.setdefault(host, Outbox())

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number
