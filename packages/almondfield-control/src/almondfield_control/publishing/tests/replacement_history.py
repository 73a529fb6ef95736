"""Seeded histories of a control group whose hosts are lost and replaced.

In each, hosts are lost in turn: replaced at other addresses (with the successor started
before or after), wiped, killed or cut off. What happens besides is told by a
:class:`Plan`.
"""

import asyncio
import random
from dataclasses import dataclass, field

from result import Ok

from almondfield_control.publishing.tests.first_start import (
    FOLDER_STEPS,
    FirstStart,
)
from almondfield_core.clock import now
from almondfield_core.routing import RoutingTable

HOSTS = 5
LOSSES = 6
FORMATION_S = 15.0
CATCH_UP_S = 4.0
SUCCESSOR_DELAY_S = 1.0
UNDISTURBED_S = 2.0  # after faults beside a loss, before its host has to be back
MAX_KILL_STEP = 40  # more than a host takes until a group forms
DOCUMENT_BYTES = (100, 20_000, 400_000)
LARGE_DOCUMENT_BYTES = 2_000_000
LARGE_DOCUMENT_SHARE = 0.1
MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # as between hosts
PUBLISH_INTERVALS_S = (0.2, 0.5)
PUBLISH_ATTEMPT_S = 0.6
READ_ATTEMPTS = 30


@dataclass(frozen=True)
class Plan:
    """What happens in a history besides single losses in turn.

    :ivar seeds: number of seeds.
    :ivar lost_disks: number of hosts that are lost at once, at most.
    :ivar has_overlap: whether restarts and cuts come beside each loss.
    :ivar is_interrupted: whether seeds are killed during the first start.
    :ivar has_large_documents: whether some histories have entries of 2 MB.
    :ivar kinds: how hosts are lost.
    """

    seeds: int = 3
    lost_disks: int = 1
    has_overlap: bool = False
    is_interrupted: bool = False
    has_large_documents: bool = False
    kinds: tuple[str, ...] = ("replace", "wipe", "kill", "cut")


@dataclass
class Record:
    """Observations of one history.

    :ivar faults: injected faults: time in seconds, kind and host.
    :ivar not_back: hosts that weren't back in time, with the last faults.
    :ivar pauses_s: longest time without a commit around each loss, in seconds.
    :ivar unread: acknowledged versions that weren't read back.
    :ivar surplus: largest number of voters beyond the hosts that ran.
    :ivar jumps: memberships that differed from the one before by two voters or more.
    """

    faults: list = field(default_factory=list)
    not_back: list = field(default_factory=list)
    pauses_s: list = field(default_factory=list)
    unread: list = field(default_factory=list)
    surplus: int = 0
    jumps: list = field(default_factory=list)


class History:
    """One history.

    :param seed: seed of all choices.
    :param plan: what happens besides single losses.
    """

    def __init__(self, seed, plan):
        self.rng = random.Random(seed)
        self.plan = plan
        self.record = Record()
        kills = {}
        if plan.is_interrupted:
            # Without its folder a host that starts again may form no group.
            kills = {
                f"c{number + 1}": self.rng.randint(FOLDER_STEPS + 1, MAX_KILL_STEP)
                for number in range(plan.seeds)
            }
        self.fleet = FirstStart(
            kills, seed, seeds=plan.seeds, lost_disks=plan.lost_disks
        )
        self.acknowledged = 0
        self.committed_at = 0.0
        self.longest_pause_s = 0.0
        self.host_count = HOSTS
        self.failed_hosts = set()

    async def run(self):
        """Return the record of the history."""
        fleet = self.fleet
        fleet.network.max_message_bytes = MAX_MESSAGE_BYTES
        await fleet.form()
        # A kill that is due later would come beside a loss.
        fleet.kill_step_by_host.clear()
        await fleet.wait_until(lambda: len(fleet.voters()) == HOSTS, FORMATION_S)
        self.committed_at = now()
        tasks = [
            asyncio.ensure_future(self._publish_versions()),
            asyncio.ensure_future(self._watch()),
        ]
        for _ in range(LOSSES):
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            await self._lose_hosts()
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
        await fleet.stop_all()
        self.record.jumps = fleet.membership_jumps()
        return self.record

    async def _lose_hosts(self):
        self.longest_pause_s = 0.0
        hosts = self._choose_hosts()
        kinds = [self.rng.choice(self.plan.kinds) for _ in hosts]
        for kind, host in zip(kinds, hosts):
            self._note(kind, host)
        losses = [self._lose(kind, host) for kind, host in zip(kinds, hosts)]
        returned = await asyncio.gather(*losses)
        if self.plan.has_overlap:
            await self._disturb()
            await asyncio.sleep(UNDISTURBED_S)
        acknowledged = self.acknowledged
        await asyncio.sleep(CATCH_UP_S)
        faults = self.record.faults[-len(hosts) - 1 :]
        self.record.pauses_s.append((self.longest_pause_s, faults))
        for host in returned:
            if not self._is_back(host, acknowledged):
                self.record.not_back.append((host, faults))
        await self._read_back()

    async def _lose(self, kind, host):
        """Lose a host; return the one that is back in its place."""
        fleet = self.fleet
        match kind:
            case "replace":
                self.host_count += 1
                successor = f"c{self.host_count}"
                await fleet.stop(host)
                await asyncio.sleep(SUCCESSOR_DELAY_S)
                self._start_successor(successor)
                host = successor
            case "renew":
                self.host_count += 1
                successor = f"c{self.host_count}"
                self._start_successor(successor)
                await asyncio.sleep(CATCH_UP_S)
                await fleet.stop(host)
                host = successor
            case "wipe" | "kill":
                await self._restart(host, self.rng.uniform(0.2, 1.2), kind == "wipe")
            case "cut":
                await self._cut(host)
        return host

    def _start_successor(self, host):
        fleet = self.fleet
        running = sorted(fleet.replica_by_host)
        fleet.seeds = tuple(self.rng.sample(running, min(3, len(running))))
        fleet.start(host, may_form=False)

    async def _disturb(self):
        """Let restarts or a cut come beside a loss; no further disk is lost."""
        kind = self.rng.choice(["none", "leader", "leaders", "all", "cut"])
        self._note("beside it", kind)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        match kind:
            case "leader" | "leaders":
                for _ in range(1 if kind == "leader" else 3):
                    leader = self.fleet.leader()
                    if leader is not None:
                        await self._restart(leader, self.rng.uniform(0.05, 0.5))
                    await asyncio.sleep(self.rng.uniform(0.0, 1.5))
            case "all":
                await self._restart_all()
            case "cut":
                await self._cut(self.rng.choice(sorted(self.fleet.replica_by_host)))

    async def _restart(self, host, after_s, wipe=False):
        await self.fleet.stop(host, wipe=wipe)
        await asyncio.sleep(after_s)
        self.fleet.start(host, may_form=False)

    async def _restart_all(self):
        hosts = sorted(self.fleet.replica_by_host)
        for host in hosts:
            await self.fleet.stop(host)
        for host in hosts:
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            self.fleet.start(host, may_form=False)

    async def _cut(self, host):
        self.fleet.network.isolate(host)
        await asyncio.sleep(self.rng.uniform(1.0, 6.0))
        self.fleet.network.heal()

    def _choose_hosts(self):
        leader = self.fleet.leader()
        hosts = sorted(self.fleet.replica_by_host)
        self.rng.shuffle(hosts)
        if leader is not None and self.rng.random() < 0.5:
            hosts.remove(leader)
            hosts.insert(0, leader)
        return hosts[: self.rng.randint(1, self.plan.lost_disks)]

    def _note(self, kind, host):
        self.record.faults.append((round(now(), 2), kind, host))

    def _is_back(self, host, version):
        """Return whether a host votes and holds a version."""
        replica = self.fleet.replica_by_host[host]
        votes = any(
            m.voter_id == replica.voter_id and m.votes for m in self.fleet.members()
        )
        published = replica.state.published
        held = published.table.version if published else 0
        return votes and held >= version

    async def _publish_versions(self):
        size = self.rng.choice(DOCUMENT_BYTES)
        if self.plan.has_large_documents and self.rng.random() < LARGE_DOCUMENT_SHARE:
            size = LARGE_DOCUMENT_BYTES
        document = b"x" * size
        interval_s = self.rng.choice(PUBLISH_INTERVALS_S)
        version = 0
        while True:
            version += 1
            while not await self._is_published(RoutingTable(version), document):
                await asyncio.sleep(0.05)
            self.acknowledged = version
            self.committed_at = now()
            await asyncio.sleep(interval_s)
            # The time until the next change is sent is no pause.
            self.committed_at = now()

    async def _is_published(self, table, document):
        # A host that is cut off can't publish; what is measured is the group.
        hosts = [
            h for h in sorted(self.fleet.replica_by_host) if h not in self.failed_hosts
        ]
        if not hosts:
            self.failed_hosts.clear()
            return False
        host = self.rng.choice(hosts)
        publisher = self.fleet.publisher_by_host[host]
        outcome = await publisher.publish(table, document, PUBLISH_ATTEMPT_S)
        if isinstance(outcome, Ok):
            self.failed_hosts.clear()
            return True
        self.failed_hosts.add(host)
        return False

    async def _watch(self):
        while True:
            self.longest_pause_s = max(self.longest_pause_s, now() - self.committed_at)
            surplus = len(self.fleet.voters()) - len(self.fleet.replica_by_host)
            self.record.surplus = max(self.record.surplus, surplus)
            await asyncio.sleep(0.05)

    async def _read_back(self):
        acknowledged = self.acknowledged
        for _ in range(READ_ATTEMPTS):
            host = self.rng.choice(sorted(self.fleet.replica_by_host))
            match await self.fleet.read(host):
                case Ok(reply) if reply.version >= acknowledged:
                    return
        self.record.unread.append((acknowledged, self.record.faults[-2:]))
