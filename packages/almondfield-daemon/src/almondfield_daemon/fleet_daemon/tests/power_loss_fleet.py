"""Fleets whose hosts all lose power at once, some of them together with their disks."""

import asyncio
import random

from result import Ok

from almondfield_control.publishing.tests.publishing_fleet import (
    PUBLISH_TIMEOUT_S,
    PublishingFleet,
)
from almondfield_control.tests.fake_folder import FakeFolder, open_folder
from almondfield_core.clock import now
from almondfield_core.routing import RoutingTable
from almondfield_daemon.fleet import FleetControl, FleetServer, FleetView, RouterState
from almondfield_daemon.fleet.messages import RouterHello

__all__ = ["PowerLossFleet", "run_power_loss"]

MAX_SEEDS = 3
POOL = "pool"
ANNOUNCEMENT_INTERVAL_S = 1.0
SYNC_S_CHOICES = (0.0005, 0.004, 0.03)
FORMATION_TIMEOUT_S = 15.0
MOMENT_TIMEOUT_S = 30.0
MAX_RESTART_DELAY_S = 1.0
READ_TIMEOUT_S = 3.0  # the shortest time for which an operator asks at a day's end
SERVING_TIMEOUT_S = 12.0  # the shortest time that a deployment allows for recovery
REPAIR_TIMEOUT_S = 30.0
ROUTERS = ("r1", "r2")
SMALL_DOCUMENT_BYTES = 100
LARGE_DOCUMENT_BYTES = 60_000  # a few of them make a voter write a snapshot


class PowerLossFleet(PublishingFleet):
    """Control hosts with data folders, routers, an operator and a backend server.

    :ivar acknowledged: newest version that a host acknowledged to the operator.
    :ivar unrepaired: hosts that lost their disks and may not vote again yet.
    """

    def __init__(self, hosts, lost_disks, seed, document_bytes=SMALL_DOCUMENT_BYTES):
        seeds = min(hosts, MAX_SEEDS)
        super().__init__(hosts, seeds, lost_disks=lost_disks, seed=seed)
        self.lost_disks = lost_disks
        self.document_bytes = document_bytes
        self.folder_by_host = {}
        self.fleet_control_by_host = {}
        self.view_by_router = {}
        self.on_acknowledged = asyncio.Event()
        self.acknowledged = 0
        self.incarnation = 0
        self.unrepaired = ()
        self.operator = None

    def open_disk(self, host):
        """Return the disk of a control host that starts."""
        if host not in self.folder_by_host:
            folder = FakeFolder(self.rng)
            folder.sync_s = self.rng.choice(SYNC_S_CHOICES)
            self.folder_by_host[host] = folder
        return open_folder(self.folder_by_host[host])

    def cut_power(self, host, wipe):
        """Let a folder lose what no sync covered, or all data if wiped."""
        folder = self.folder_by_host[host]
        folder.wipe() if wipe else folder.lose_power()

    def known_routers(self, host):
        """Return the routers whose hellos a control host received."""
        return self.fleet_control_by_host[host].routers.hosts()

    def start(self, host, may_form=None):
        """Start a control host."""
        self.incarnation += 1
        super().start(host, may_form)
        replica = self.replica_by_host[host]

        def control_hosts():
            members = [member.host for member in replica.log.members]
            return tuple(dict.fromkeys((*members, *self.seeds)))

        peers = self.network.peers_by_host[host]
        rng = random.Random(self.incarnation)
        control = FleetControl(peers, self.incarnation, control_hosts, rng)
        control.register_handlers()
        self.fleet_control_by_host[host] = control
        self.task_by_host[f"fleet of {host}"] = asyncio.ensure_future(control.run())

    def start_router(self, router):
        """Start a router that is configured with the seeds."""
        super().start_router(router)
        peers = self.network.peers_by_host[router]
        hello = RouterHello("east", "region", f"{router}:80", RouterState.READY)
        view = FleetView(peers, hello, self.seeds, lambda: None)
        self.view_by_router[router] = view
        self.task_by_host[f"view of {router}"] = asyncio.ensure_future(view.run())

    async def stop(self, host, wipe=False):
        """Stop a control host, which loses unsynced data, or all data if wiped."""
        self.task_by_host.pop(f"fleet of {host}").cancel()
        await super().stop(host, wipe)

    def stop_router(self, router):
        """Stop a router."""
        self.network.stop(router)
        for name in (router, f"view of {router}"):
            self.task_by_host.pop(name).cancel()
        del self.subscription_by_router[router], self.view_by_router[router]

    def start_first(self):
        """Start all hosts, the operator and the backend server for the first time."""
        for host in self.hosts:
            self.start(host)
        for router in ROUTERS:
            self.start_router(router)
        self.start_operator()

    async def form(self):
        """Wait until all control hosts vote and a version was acknowledged."""
        await self.wait_until(
            lambda: len(self.voters()) == len(self.hosts), FORMATION_TIMEOUT_S
        )
        self.on_acknowledged.clear()
        await self.on_acknowledged.wait()

    async def lose_power(self, hosts_without_disk):
        """Let all hosts lose power at one moment, some of them also their disks."""
        self.operator.cancel()
        running = tuple(self.replica_by_host)
        for host in (*running, *self.subscription_by_router):
            self.network.stop(host)
        for host in self.folder_by_host:
            self.cut_power(host, host in hosts_without_disk)
        for router in tuple(self.subscription_by_router):
            self.stop_router(router)
        for host in running:
            await self.stop(host, host in hosts_without_disk)

    async def start_all(self):
        """Start all hosts at their addresses, in any order; none may form a group."""
        starts = [
            (self.rng.uniform(0, MAX_RESTART_DELAY_S), host)
            for host in (*self.hosts, *ROUTERS)
        ]
        begun_s = now()
        for delay_s, host in sorted(starts):
            await asyncio.sleep(max(0.0, begun_s + delay_s - now()))
            if host in ROUTERS:
                self.start_router(host)
            else:
                self.start(host, may_form=False)

    def choose_lost_disks(self):
        """Return the hosts whose disks are lost: half the time the most advanced."""
        others = [host for host in self.hosts if host not in self.unrepaired]
        self.rng.shuffle(others)
        if self.rng.random() < 0.5:
            others.sort(key=self._durable_index, reverse=True)
        return (*self.unrepaired, *others)[: self.lost_disks]

    def _durable_index(self, host):
        replica = self.replica_by_host.get(host)
        return replica.durable_index if replica else 0

    def document(self, version):
        """Return the document of a version."""
        return (b"document %d" % version).ljust(self.document_bytes, b".")

    def start_operator(self):
        """Start to publish rising versions, until all hosts lose power."""
        self.operator = asyncio.ensure_future(self.publish_continuously())

    async def publish_continuously(self):
        """Publish rising versions at any host, each until it is acknowledged."""
        version = self.acknowledged
        while True:
            version += self.rng.randint(1, 3)
            while not await self._publish_once(version):
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def _publish_once(self, version):
        """Return whether a version was acknowledged by one host."""
        host = self.rng.choice(tuple(self.replica_by_host) or ("",))
        if not host:
            return False
        outcome = await self.publisher_by_host[host].publish(
            RoutingTable(version), self.document(version), PUBLISH_TIMEOUT_S
        )
        if not isinstance(outcome, Ok):
            return False
        self.acknowledged = max(self.acknowledged, version)
        self.on_acknowledged.set()
        return True

    async def announce_continuously(self):
        """Announce a backend server at any control host until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            if self.replica_by_host:
                host = self.rng.choice(tuple(self.replica_by_host))
                server = FleetServer("s", POOL, "s:1", "east", 8, sequence=sequence)
                self.fleet_control_by_host[host].announce(server)
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def watch_versions(self):
        """Raise an error if a router holds an older version than acknowledged."""
        acknowledged = self.acknowledged
        while True:
            for router, subscription in self.subscription_by_router.items():
                version = subscription.version
                assert version == 0 or version >= acknowledged, (router, version)
            await asyncio.sleep(0.01)

    async def check_reads(self):
        """Check that each host returns what was acknowledged, or a newer version."""
        deadline_s = now() + READ_TIMEOUT_S
        for host in self.hosts:
            outcome = await self.read(host)
            while not isinstance(outcome, Ok) and now() < deadline_s:
                outcome = await self.read(host)
            assert isinstance(outcome, Ok), (host, outcome)
            reply = outcome.ok_value
            assert reply.version >= self.acknowledged, (host, reply.version)
            assert reply.document == self.document(reply.version), host

    async def check_repair(self):
        """Check that all hosts vote again and acknowledge a further version."""
        await self.wait_until(
            lambda: self.voters() == set(self.hosts), REPAIR_TIMEOUT_S
        )
        version = self.acknowledged + 10
        await self.publish(self.rng.choice(self.hosts), version, self.document(version))

    def is_serving(self, router):
        """Return whether a router has a fresh table and uses the backend server."""
        subscription = self.subscription_by_router[router]
        is_fresh = subscription.fresh_left_s() > 0
        is_current = subscription.version >= self.acknowledged
        return (
            is_fresh and is_current and bool(self.view_by_router[router].servers(POOL))
        )

    async def wait_until_writing_snapshot(self, hosts):
        """Wait until a moment at which one of the hosts writes a snapshot."""
        folders = [self.folder_by_host[host] for host in hosts]
        deadline_s = now() + MOMENT_TIMEOUT_S
        while not any(item.is_replacing("snapshot-") for item in folders):
            assert now() < deadline_s, "no snapshot was written"
            await asyncio.sleep(min(SYNC_S_CHOICES) / 2)
        sync_s = max(item.sync_s for item in folders if item.is_replacing("snapshot-"))
        # A snapshot takes two syncs, and the journal after it two more.
        await asyncio.sleep(self.rng.uniform(0.0, 4.0) * sync_s)


async def after_first_acknowledgement(fleet):
    """Wait for the first acknowledgement, while hosts may still join."""
    await fleet.on_acknowledged.wait()


async def after_acknowledgement(fleet):
    """Wait until some moments after an acknowledgement."""
    await asyncio.sleep(fleet.rng.uniform(0.0, 1.0))
    fleet.on_acknowledged.clear()
    await fleet.on_acknowledged.wait()
    await asyncio.sleep(fleet.rng.choice([0.0, 0.0005, 0.005]))


async def while_joining(fleet):
    """Wait until a moment at which a further host joins."""
    host = f"c{len(fleet.hosts) + 1}"
    fleet.hosts.append(host)
    fleet.start(host, may_form=False)
    await asyncio.sleep(fleet.rng.uniform(0.0, 1.5))


async def while_replacing(fleet):
    """Wait until a moment at which a host without its disk becomes a new voter."""
    host = fleet.rng.choice(fleet.hosts)
    fleet.unrepaired = (host,)
    await fleet.stop(host, wipe=True)
    await asyncio.sleep(0.2)
    fleet.start(host, may_form=False)
    await asyncio.sleep(fleet.rng.uniform(0.0, 6.0))


async def during_election(fleet):
    """Wait until a moment shortly after the leader stopped."""
    await fleet.wait_until(fleet.leader, MOMENT_TIMEOUT_S)
    await fleet.stop(fleet.leader())
    await asyncio.sleep(fleet.rng.uniform(0.0, 1.2))


async def while_writing_snapshot(fleet):
    """Wait until a moment at which a voter writes a snapshot."""
    await fleet.wait_until_writing_snapshot(fleet.hosts)


async def while_installing_snapshot(fleet):
    """Wait until a moment at which a host that joins writes the leader's snapshot."""
    await fleet.wait_until_writing_snapshot(fleet.hosts)
    host = f"c{len(fleet.hosts) + 1}"
    fleet.hosts.append(host)
    fleet.start(host, may_form=False)
    await fleet.wait_until_writing_snapshot([host])


async def while_recovering(fleet):
    """Wait until a moment after an earlier loss of power and the same disks."""
    lost = fleet.choose_lost_disks()
    fleet.unrepaired = lost
    await fleet.lose_power(lost)
    await fleet.start_all()
    fleet.start_operator()
    await asyncio.sleep(fleet.rng.uniform(0.0, 2.0))


MOMENTS = {
    "after the first acknowledgement": after_first_acknowledgement,
    "after an acknowledgement": after_acknowledgement,
    "while a host joins": while_joining,
    "while a host is replaced": while_replacing,
    "during an election": during_election,
    "while a snapshot is written": while_writing_snapshot,
    "while a host that joins installs a snapshot": while_installing_snapshot,
    "while the group recovers": while_recovering,
}
FORMING = {"after the first acknowledgement"}


async def run_power_loss(hosts, lost_disks, moment, seed):
    """Return a fleet that lost power and disks at a moment, and serves again.

    :raises AssertionError: if something acknowledged is gone, or the fleet doesn't
        serve in time.
    """
    size = LARGE_DOCUMENT_BYTES if "snapshot" in moment else SMALL_DOCUMENT_BYTES
    fleet = PowerLossFleet(hosts, lost_disks, seed, size)
    fleet.start_first()
    announcements = asyncio.ensure_future(fleet.announce_continuously())
    if moment not in FORMING:
        await fleet.form()
    await MOMENTS[moment](fleet)
    await fleet.lose_power(fleet.choose_lost_disks())
    watcher = asyncio.ensure_future(fleet.watch_versions())
    await fleet.start_all()
    await fleet.check_reads()
    await fleet.wait_until(
        lambda: all(fleet.is_serving(router) for router in ROUTERS), SERVING_TIMEOUT_S
    )
    await fleet.check_repair()
    watcher.cancel()
    announcements.cancel()
    await asyncio.gather(watcher, return_exceptions=True)
    if not watcher.cancelled():
        raise watcher.exception()
    await fleet.lose_power(())
    return fleet
