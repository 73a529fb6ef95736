"""A fleet of control nodes over an in-memory network and in-memory disks."""

import asyncio
import random

from fake_disk import FakeDisk, journal_files
from result import Ok

from almondfield_control import ControlNode
from almondfield_control.commands import Member
from almondfield_control.storage import HardState
from almondfield_core.clock import WallClock, now
from almondfield_core.messages import ChangeAccepted, TableChange
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Pool, Route
from almondfield_testing import InMemoryNetwork, in_loop

__all__ = ["Fleet", "in_loop"]


PREFIX_LENGTH = 1000
SECURITY = SecuritySettings("", "", "")


class Fleet:
    """Hosts h1, h2, ... of which the first few vote."""

    def __init__(self, hosts, voters, seed=1, **network):
        self.rng = random.Random(seed)
        self.network = InMemoryNetwork(seed=seed, **network)
        self.names = [f"h{i + 1}" for i in range(hosts)]
        self.voters = self.names[:voters]
        self.settings = tuple(
            HostSettings(name, f"dc{i % 3}", "127.0.0.1", voter=name in self.voters)
            for i, name in enumerate(self.names)
        )
        self.disk_by_host = {name: FakeDisk(self.rng) for name in self.voters}
        self.node_by_host = {}
        self.task_by_host = {}
        self.incarnation = 0

    def start(self, *hosts):
        """Start hosts."""
        for host in hosts:
            self.incarnation += 1
            settings = DaemonSettings(host, self.settings, SECURITY, data_folder="x")
            node = ControlNode(
                self.network.peers(host),
                settings,
                WallClock(1e9),
                self.incarnation,
                disk=self.disk_by_host.get(host),
                rng=random.Random(self.rng.random()),
            )
            self.node_by_host[host] = node
            self.task_by_host[host] = asyncio.ensure_future(node.run())

    def write_formed_group(self):
        """Write the data folders of a group that has already formed."""
        members = tuple(Member(f"id-{host}", host) for host in self.voters)
        for member in members:
            hard_state = HardState(member.voter_id, "group", True, members)
            self.disk_by_host[member.host].file_by_name = journal_files(hard_state)

    async def crash(self, *hosts):
        """Stop hosts abruptly; their unsynced data is lost."""
        for host in hosts:
            self.network.stop(host)
            if host in self.disk_by_host:
                self.disk_by_host[host].crash()
            task = self.task_by_host.pop(host)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            del self.node_by_host[host]

    def leader(self):
        """Return the host that leads with a lease; None if there is none."""
        leaders = [
            host
            for host, node in self.node_by_host.items()
            if node.replica and node.replica.is_leader
        ]
        assert len(leaders) <= 1, f"two leaders with leases: {leaders}"
        return leaders[0] if leaders else None

    async def wait_until(self, condition, timeout_s=30.0):
        """Wait for a condition; return how long it took in seconds."""
        started_at = now()
        while not condition():
            assert now() < started_at + timeout_s, f"not within {timeout_s} s"
            await asyncio.sleep(0.02)
        return now() - started_at

    async def wait_ready(self, timeout_s=30.0):
        """Wait until there is a leader and every host holds a lease."""
        await self.wait_until(
            lambda: (
                self.leader()
                and all(
                    node.view.freshness_left_s() > 0
                    for node in self.node_by_host.values()
                )
            ),
            timeout_s,
        )

    async def submit_change(self, host, expected_revision, change_id, size=0):
        """Return the outcome of a change submitted at a host."""
        pool = Pool(f"pool-{change_id}")
        routes = tuple(
            Route("team", f"/{number}".ljust(PREFIX_LENGTH, "x"), pool.name)
            for number in range(size // PREFIX_LENGTH)
        )
        change = TableChange(change_id, "operator", expected_revision, (pool,), routes)
        return await self.node_by_host[host].control.apply(change)

    async def make_changes(self, host, count, size=10):
        """Submit changes one after the other, each adding some bytes to the tables."""
        status = (await self.node_by_host[host].control.status()).unwrap()
        for revision in range(status.revision, status.revision + count):
            change_id = f"change-{revision + 1}"
            outcome = await self.submit_change(host, revision, change_id, size)
            assert outcome == Ok(ChangeAccepted(change_id, revision + 1)), outcome

    async def status(self):
        """Return the fleet status requested at the last host."""
        return (await self.node_by_host[self.names[-1]].control.status()).unwrap()
