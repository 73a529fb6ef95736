"""A fleet of routers and schedulers over in-memory links, on a paused clock."""

import asyncio
from collections import Counter
from dataclasses import replace

from almondfield_core.clock import now
from almondfield_core.messages import (
    AnnouncementRelay,
    PoolLease,
    ServerAnnouncement,
    ServerState,
)
from almondfield_core.settings import (
    DaemonSettings,
    HostSettings,
    SecuritySettings,
    SharingPolicy,
)
from almondfield_core.tables import Pool, Tables
from almondfield_fairshare import PoolSchedulers, RouterShare
from almondfield_testing import InMemoryNetwork

__all__ = ["Fleet", "FleetView", "ServerStub", "make_settings"]

ANNOUNCE_S = 1.0
"""Time between two announcements of a server, in seconds."""

LEASE_RENEWAL_S = 0.5
"""Time between two renewals of a pool lease, in seconds."""

LEASE_NOTICE_S = 0.02
"""Delay until the holder of a new lease is notified, in seconds."""


def make_settings(
    hosts: list[str], host: str, policy: SharingPolicy = SharingPolicy.FAIR_SHARE
) -> DaemonSettings:
    """Return the settings of one daemon of a fleet."""
    rows = tuple(HostSettings(name, "dc", "127.0.0.1") for name in hosts)
    return DaemonSettings(
        host, rows, SecuritySettings("", "", ""), sharing_policy=policy
    )


class FleetView:
    """One host's view of the tables and pool leases."""

    def __init__(self, fleet: "Fleet", host: str) -> None:
        self._fleet = fleet
        self._host = host
        self.lease_by_pool: dict[str, PoolLease] = {}
        self.lease_until_by_pool: dict[str, float] = {}

    @property
    def tables(self) -> Tables:
        """Return the newest tables."""
        return self._fleet.tables

    def freshness_left_s(self) -> float:
        """Return the seconds for which the tables are current."""
        return 3.0

    def pool_lease_left_s(self, pool: str) -> float:
        """Return the seconds for which this host may schedule a pool."""
        lease = self.lease_by_pool.get(pool)
        if lease is None or lease.host != self._host:
            return 0.0
        return max(0.0, self.lease_until_by_pool.get(pool, 0.0) - now())

    async def wait_for_revision(self, revision: int) -> Tables:
        """Return the tables once their revision is beyond the given one."""
        while self.tables.revision <= revision:
            await asyncio.sleep(0.05)
        return self.tables

    async def wait_for_leases(self) -> None:
        """Return once the pool leases may have been renewed or changed."""
        await asyncio.sleep(0.05)


class ServerStub:
    """A stub of a backend server that counts its running requests.

    :param announcement: announcement of the server.
    :ivar over_slots: number of starts beyond its slots.
    """

    def __init__(self, announcement: ServerAnnouncement) -> None:
        self.announcement = announcement
        self.running: Counter[str] = Counter()
        self.max_running = 0
        self.over_slots = 0
        self.alive = True

    def start(self, router: str) -> None:
        """Count a started request, and whether it exceeds the slots."""
        self.running[router] += 1
        total = self.running.total()
        self.max_running = max(self.max_running, total)
        if total > self.announcement.slots:
            self.over_slots += 1

    def finish(self, router: str) -> None:
        """Count a finished request."""
        self.running[router] -= 1


class Fleet:
    """Hosts, each with a router share and pool schedulers, and backend servers.

    :param hosts: number of hosts.
    :param pools: rows of the pools table.
    :param servers: announcements of the backend servers.
    :param seed: seed of the network's random choices.
    :param policy: sharing policy of the slots.
    :param network: links between the hosts.
    :ivar finishes_orphaned_requests: whether servers finish requests whose host has
        stopped.
    """

    def __init__(
        self,
        hosts: int,
        pools: tuple[Pool, ...],
        servers: tuple[ServerAnnouncement, ...],
        seed: int = 1,
        policy: SharingPolicy = SharingPolicy.FAIR_SHARE,
        network: InMemoryNetwork | None = None,
    ) -> None:
        self.hosts = [f"host-{number}" for number in range(1, hosts + 1)]
        self.tables = Tables(1, pools, ())
        self.network = network or InMemoryNetwork(seed, (0.002, 0.002))
        self.policy = policy
        self.server_by_name = {
            announcement.name: ServerStub(announcement) for announcement in servers
        }
        self.view_by_host = {host: FleetView(self, host) for host in self.hosts}
        self.share_by_host: dict[str, RouterShare] = {}
        self.schedulers_by_host: dict[str, PoolSchedulers] = {}
        self.epoch_by_pool: dict[str, int] = {}
        self.isolated_hosts: set[str] = set()
        self.finishes_orphaned_requests = False
        self.calls_by_host: dict[str, dict[asyncio.Task, None]] = {}
        self._tasks_by_host: dict[str, list[asyncio.Task]] = {}
        self._incarnation = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start every host; the pools are leased to the hosts round-robin."""
        for number, pool in enumerate(self.tables.pools):
            self.lease(pool.name, self.hosts[number % len(self.hosts)])
        for host in self.hosts:
            self.start_host(host)
        self._tasks.append(asyncio.create_task(self._announce()))
        self._tasks.append(asyncio.create_task(self._renew()))

    def start_host(self, host: str) -> None:
        """Start a host without any earlier state."""
        self._incarnation += 1
        peers = self.network.peers(host)
        view = self.view_by_host[host]
        settings = make_settings(self.hosts, host, self.policy)
        share = RouterShare(peers, view, settings, self._incarnation)
        schedulers = PoolSchedulers(peers, view, settings, self._incarnation)
        self.share_by_host[host] = share
        self.schedulers_by_host[host] = schedulers
        self._tasks_by_host[host] = [
            asyncio.create_task(share.run()),
            asyncio.create_task(schedulers.run()),
        ]

    def stop_host(self, host: str) -> None:
        """Crash a host."""
        self.network.stop(host)
        for task in self._tasks_by_host.pop(host):
            task.cancel()
        for call in list(self.calls_by_host.pop(host, ())):
            call.cancel()

    def live_hosts(self) -> list[str]:
        """Return the hosts that are running and reachable."""
        return [host for host in self._tasks_by_host if host not in self.isolated_hosts]

    def is_running(self, host: str) -> bool:
        """Return whether a host is running."""
        return host in self._tasks_by_host

    def isolate(self, host: str) -> None:
        """Cut a host off from the others and from the control group."""
        self.network.isolate(host)
        self.isolated_hosts.add(host)

    def heal(self) -> None:
        """Restore every path; every host then sees the newest leases."""
        self.network.heal()
        self.isolated_hosts.clear()
        newest = {pool: self._newest_lease(pool) for pool in self.epoch_by_pool}
        for view in self.view_by_host.values():
            view.lease_by_pool.update(newest)

    def lease(self, pool: str, host: str) -> None:
        """Lease a pool to a host under a new epoch."""
        epoch = self.epoch_by_pool.get(pool, 0) + 1
        self.epoch_by_pool[pool] = epoch
        for name, view in self.view_by_host.items():
            if name in self.isolated_hosts:
                continue
            view.lease_by_pool[pool] = PoolLease(pool, host, epoch)
        self.view_by_host[host].lease_until_by_pool[pool] = now() + 1.0

    def holder(self, pool: str) -> str:
        """Return the host that holds a pool's newest lease."""
        return self._newest_lease(pool).host

    def _newest_lease(self, pool: str) -> PoolLease:
        leases = [view.lease_by_pool[pool] for view in self.view_by_host.values()]
        return max(leases, key=lambda lease: lease.epoch)

    def relay_all(self, pool: str, age_s: float = 0.0) -> None:
        """Relay the announcements of all live servers to a pool's scheduler."""
        alive = [s.announcement for s in self.server_by_name.values() if s.alive]
        self._relay(pool, tuple(alive), age_s)

    async def _announce(self) -> None:
        while True:
            for server in self.server_by_name.values():
                busy = server.running.total()
                server.announcement = replace(server.announcement, busy=busy)
            for pool in self.tables.pools:
                self.relay_all(pool.name)
            await asyncio.sleep(ANNOUNCE_S)

    def leave(self, server: str) -> None:
        """Announce that a server is leaving."""
        stub = self.server_by_name[server]
        stub.announcement = replace(stub.announcement, state=ServerState.LEAVING)
        for pool in self.tables.pools:
            self._relay(pool.name, (stub.announcement,), 0.0)

    def rejoin(self, server: str) -> None:
        """Announce a server under a new incarnation, as after a restart."""
        stub = self.server_by_name[server]
        stub.announcement = replace(
            stub.announcement,
            incarnation=stub.announcement.incarnation + 1,
            state=ServerState.SERVING,
        )
        for pool in self.tables.pools:
            self._relay(pool.name, (stub.announcement,), 0.0)

    def _relay(self, pool, announcements, age_s) -> None:
        relay_hosts = self.live_hosts()
        if not relay_hosts:
            return
        message = AnnouncementRelay(
            pool, announcements, tuple(age_s for _ in announcements)
        )
        peers = self.network.peers_by_host[relay_hosts[-1]]
        peers.send(self.holder(pool), message)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(LEASE_RENEWAL_S)
            for pool in self.tables.pools:
                holder = self.holder(pool.name)
                if holder in self._tasks_by_host and holder not in self.isolated_hosts:
                    view = self.view_by_host[holder]
                    view.lease_until_by_pool[pool.name] = now() + 1.0
