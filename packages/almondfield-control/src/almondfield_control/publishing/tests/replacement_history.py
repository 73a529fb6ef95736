"""Seeded histories of a control group whose hosts are lost and replaced."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Ok

from almondfield_control.publishing.tests.publishing_fleet import PublishingFleet
from almondfield_core.clock import now
from almondfield_core.routing import RoutingTable

HOSTS = 5
SEEDS = 3
LOSSES = 6
FORMATION_S = 15.0
CATCH_UP_S = 4.0
SUCCESSOR_DELAY_S = 1.0
UNDISTURBED_S = 2.0  # after faults beside a loss, before its host has to be back
DOCUMENT_BYTES = (100, 20_000, 400_000)
PUBLISH_INTERVALS_S = (0.2, 0.5)
PUBLISH_ATTEMPT_S = 0.6
READ_ATTEMPTS = 30


@dataclass
class Record:
    """Observations of one history.

    :ivar faults: injected faults: time in seconds, kind and host.
    :ivar not_back: hosts that weren't back in time, with the last faults.
    :ivar pauses_s: longest time without a commit around each loss, in seconds.
    :ivar unread: acknowledged versions that weren't read back.
    :ivar surplus: largest number of voters beyond the hosts that ran.
    """

    faults: list = field(default_factory=list)
    not_back: list = field(default_factory=list)
    pauses_s: list = field(default_factory=list)
    unread: list = field(default_factory=list)
    surplus: int = 0


class History:
    """One history.

    :param seed: seed of all choices.
    :param has_overlap: whether restarts and cuts come beside each loss.
    """

    def __init__(self, seed, has_overlap):
        self.rng = random.Random(seed)
        self.record = Record()
        self.fleet = PublishingFleet(HOSTS, SEEDS, seed=seed)
        self.has_overlap = has_overlap
        self.acknowledged = 0
        self.committed_at = 0.0
        self.longest_pause_s = 0.0
        self.host_count = HOSTS

    async def run(self):
        """Return the record of the history."""
        fleet = self.fleet
        for host in fleet.hosts:
            fleet.start(host)
        await fleet.wait_until(lambda: len(fleet.voters()) == HOSTS, FORMATION_S)
        self.committed_at = now()
        tasks = [
            asyncio.ensure_future(self._publish_versions()),
            asyncio.ensure_future(self._watch()),
        ]
        for _ in range(LOSSES):
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            await self._lose_host()
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
        for host in list(fleet.replica_by_host):
            await fleet.stop(host)
        return self.record

    async def _lose_host(self):
        self.longest_pause_s = 0.0
        host = self._choose_host()
        kind = self.rng.choice(["replace", "wipe", "kill", "cut"])
        self._note(kind, host)
        returned = await self._lose(kind, host)
        if self.has_overlap:
            await self._disturb()
            await asyncio.sleep(UNDISTURBED_S)
        acknowledged = self.acknowledged
        await asyncio.sleep(CATCH_UP_S)
        self.record.pauses_s.append((self.longest_pause_s, self.record.faults[-2:]))
        if not self._is_back(returned, acknowledged):
            self.record.not_back.append((returned, self.record.faults[-2:]))
        await self._read_back()

    async def _lose(self, kind, host):
        """Lose a host; return the one that is back in its place."""
        fleet = self.fleet
        match kind:
            case "replace":
                self.host_count += 1
                await fleet.stop(host)
                await asyncio.sleep(SUCCESSOR_DELAY_S)
                fleet.seeds = tuple(
                    self.rng.sample(sorted(fleet.replica_by_host), SEEDS)
                )
                host = f"c{self.host_count}"
                fleet.start(host, may_form=False)
            case "wipe" | "kill":
                await self._restart(host, self.rng.uniform(0.2, 1.2), kind == "wipe")
            case "cut":
                await self._cut(host)
        return host

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

    def _choose_host(self):
        leader = self.fleet.leader()
        if leader is not None and self.rng.random() < 0.5:
            return leader
        return self.rng.choice(sorted(self.fleet.replica_by_host))

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
        document = b"x" * self.rng.choice(DOCUMENT_BYTES)
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
        hosts = sorted(self.fleet.replica_by_host)
        if not hosts:
            return False
        publisher = self.fleet.publisher_by_host[self.rng.choice(hosts)]
        outcome = await publisher.publish(table, document, PUBLISH_ATTEMPT_S)
        return isinstance(outcome, Ok)

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
