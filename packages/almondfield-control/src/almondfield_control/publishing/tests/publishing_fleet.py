"""Control hosts formed from seeds, and routers, over an in-memory network."""

import asyncio
import itertools
import random

from result import Ok

from almondfield_control.commands import MembershipChange, command_of
from almondfield_control.consensus import GroupPolicy, Replica
from almondfield_control.evacuations import EvacuationClient, EvacuationService
from almondfield_control.node.leader_client import LeaderClient
from almondfield_control.publishing import TablePublisher, TableSubscription
from almondfield_control.tests.fake_disk import FakeDisk
from almondfield_core.clock import WallClock, now
from almondfield_core.routing import RoutingTable
from almondfield_core.settings import FLEET_TIMING
from almondfield_core.wire import kind_of
from almondfield_testing import InMemoryNetwork

LEASE_S = 4.0
ATTEMPT_S = 0.4
PUBLISH_TIMEOUT_S = 1.5


class PublishingFleet:
    """Hosts c1, c2, ... of which the first few are seeds, and routers r1, r2, ..."""

    def __init__(self, hosts, seeds, may_form=True, lost_disks=1, seed=1):
        self.rng = random.Random(seed)
        self.network = InMemoryNetwork(seed)
        self.hosts = [f"c{number + 1}" for number in range(hosts)]
        self.seeds = tuple(self.hosts[:seeds])
        self.policy = GroupPolicy(may_form, True, 2 * lost_disks + 1)
        self.disk_by_host = {}
        self.replica_by_host = {}
        self.publisher_by_host = {}
        self.evacuations_by_host = {}
        self.evacuation_client_by_host = {}
        self.subscription_by_router = {}
        self.leader_client_by_router = {}
        self.task_by_host = {}
        self.published_versions = []
        self.voter_ids_by_index = {}

    def start(self, host, may_form=None):
        """Start a control host."""
        disk = self.open_disk(host)
        peers = self.network.peers(host)
        policy = self.policy
        if may_form is not None:
            policy = GroupPolicy(may_form, True, policy.min_voters)
        rng = random.Random(self.rng.random())
        wall_clock = WallClock(1e9)
        replica = Replica(
            peers, disk, self.seeds, FLEET_TIMING, wall_clock, rng, policy
        )

        def control_hosts():
            member_hosts = [member.host for member in replica.log.members]
            return tuple(dict.fromkeys((*member_hosts, *self.seeds)))

        replica.on_apply.append(self._record_membership)
        leader = LeaderClient(peers, control_hosts, ATTEMPT_S, True)
        publisher = TablePublisher(
            replica, peers, leader, lambda: self.known_routers(host)
        )
        publisher.register_handlers()
        evacuations = EvacuationService(replica, peers, wall_clock)
        evacuations.register_handlers()
        self.evacuations_by_host[host] = evacuations
        self.evacuation_client_by_host[host] = EvacuationClient(leader)
        self.replica_by_host[host] = replica
        self.publisher_by_host[host] = publisher
        self.task_by_host[host] = asyncio.ensure_future(replica.run())

    def _record_membership(self, entry, outcome):
        if entry.kind == kind_of(MembershipChange):
            members = command_of(entry).members
            voter_ids = {member.voter_id for member in members if member.votes}
            self.voter_ids_by_index[entry.index] = voter_ids

    def membership_jumps(self):
        """Return the indices of memberships that differ from the last by two voters."""
        indices = sorted(self.voter_ids_by_index)
        return [
            index
            for last, index in itertools.pairwise(indices)
            if len(self.voter_ids_by_index[last] ^ self.voter_ids_by_index[index]) > 1
        ]

    def open_disk(self, host):
        """Return the disk of a control host that starts."""
        return self.disk_by_host.setdefault(host, FakeDisk(self.rng))

    def cut_power(self, host, wipe):
        """Let a host's disk lose unsynced data, or all data if wiped."""
        disk = self.disk_by_host[host]
        disk.wipe() if wipe else disk.crash()

    def known_routers(self, host):
        """Return the routers that a control host notifies."""
        return tuple(self.subscription_by_router)

    def start_router(self, router):
        """Start a router that is configured with the seeds."""
        peers = self.network.peers(router)
        known_hosts = list(self.seeds)

        def update_hosts(hosts):
            known_hosts[:] = dict.fromkeys((*hosts, *known_hosts))

        leader = LeaderClient(peers, lambda: tuple(known_hosts), ATTEMPT_S, True)
        subscription = TableSubscription(peers, leader, LEASE_S, update_hosts)
        self.subscription_by_router[router] = subscription
        self.leader_client_by_router[router] = leader
        self.task_by_host[router] = asyncio.ensure_future(subscription.run())

    async def stop(self, host, wipe=False):
        """Stop a control host, which loses unsynced data, or all data if wiped."""
        await asyncio.gather(self.kill(host, wipe), return_exceptions=True)

    def kill(self, host, wipe=False):
        """End a control host as :meth:`stop` does; return its task, which ends soon."""
        self.network.stop(host)
        self.cut_power(host, wipe)
        del self.replica_by_host[host]
        task = self.task_by_host.pop(host)
        task.cancel()
        return task

    def leader(self):
        """Return the host that leads; None if there is none."""
        leaders = [h for h, r in self.replica_by_host.items() if r.is_leader]
        assert len(leaders) <= 1, leaders
        return leaders[0] if leaders else None

    def members(self):
        """Return the members in the leader's log; none without a leader."""
        leader = self.leader()
        return () if leader is None else self.replica_by_host[leader].log.members

    def voters(self):
        """Return the hosts of the voters in the leader's log."""
        return {member.host for member in self.members() if member.votes}

    async def wait_until(self, condition, timeout_s):
        """Wait for a condition."""
        deadline_s = now() + timeout_s
        while not condition():
            assert now() < deadline_s, f"not within {timeout_s} s"
            await asyncio.sleep(0.02)

    async def publish(self, host, version, document=b""):
        """Publish a table, with retries until it is acknowledged."""
        table = RoutingTable(version)
        document = document or b"document %d" % version
        for _ in range(10):
            outcome = await self.publisher_by_host[host].publish(
                table, document, PUBLISH_TIMEOUT_S
            )
            if isinstance(outcome, Ok):
                self.published_versions.append(outcome.ok_value)
                return
        raise AssertionError(outcome)

    async def read(self, host):
        """Return the outcome of a read at a host."""
        return await self.publisher_by_host[host].read(PUBLISH_TIMEOUT_S)
