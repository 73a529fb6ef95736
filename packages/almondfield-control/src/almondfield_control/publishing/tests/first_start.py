"""First starts of control hosts, some of which are killed at a chosen step."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from almondfield_control.publishing.tests.publishing_fleet import PublishingFleet
from almondfield_control.tests.fake_disk import FakeDisk
from almondfield_core.clock import now
from almondfield_testing import InMemoryNetwork

HOSTS = 5
SEEDS = 3
RESTART_DELAY_S = 0.5
FORMATION_TIMEOUT_S = 5.0
# An empty folder is written, and its end recorded, in the first two steps of a host.
FOLDER_STEPS = 2
FORMATION_KINDS = ("formation-query", "formation-offer", "formation-state")


class SteppedNetwork(InMemoryNetwork):
    """Messages of formation, each of which is a step of its sender and recipient."""

    def __init__(self, fleet, seed):
        super().__init__(seed)
        self.fleet = fleet

    def deliver(self, source, target, kind, body, tag):
        if kind not in FORMATION_KINDS or self.fleet.take_step(source):
            super().deliver(source, target, kind, body, tag)

    def _arrive(self, source, target, kind, body, tag):
        if kind not in FORMATION_KINDS or self.fleet.take_step(target):
            super()._arrive(source, target, kind, body, tag)


class SteppedDisk(FakeDisk):
    """A disk of which each write is two steps of its host: its start and its end."""

    def __init__(self, fleet, host):
        super().__init__(fleet.rng)
        self.fleet = fleet
        self.host = host

    async def append(self, name, data):
        self._take_step()
        await super().append(name, data)
        self._take_step()

    async def replace(self, name, data):
        self._take_step()
        await super().replace(name, data)
        self._take_step()

    def _take_step(self):
        if not self.fleet.take_step(self.host):
            raise OSError("the process was killed")


class FirstStart(PublishingFleet):
    """Control hosts that start with empty disks, and start again if killed.

    A host that starts again may not form a group by its settings.

    :param kill_step_by_host: step of a host before which it is killed, once.
    :param seed: seed of the delays.
    :param wipe: whether the hosts that are killed lose their disks.
    :param seeds: number of seeds.
    :param lost_disks: number of lost disks that are to be borne at once.

    :ivar steps_by_host: steps that each host has taken.
    :ivar returned_at_s: when the last killed host started again, on the loop's clock.
    """

    def __init__(
        self, kill_step_by_host, seed=1, wipe=False, seeds=SEEDS, lost_disks=1
    ):
        super().__init__(HOSTS, seeds, lost_disks=lost_disks, seed=seed)
        self.wipe = wipe
        self.network = SteppedNetwork(self, seed)
        self.kill_step_by_host = dict(kill_step_by_host)
        self.steps_by_host = Counter()
        self.returned_at_s = 0.0
        self._restarts = []

    def open_disk(self, host):
        return self.disk_by_host.setdefault(host, SteppedDisk(self, host))

    def take_step(self, host):
        """Return whether a host still runs as it takes a step; kill it if it's due."""
        if host not in self.replica_by_host:
            return False
        self.steps_by_host[host] += 1
        if self.steps_by_host[host] != self.kill_step_by_host.get(host):
            return True
        del self.kill_step_by_host[host]
        task = self.kill(host, self.wipe)
        self._restarts.append(asyncio.ensure_future(self._restart(host, task)))
        return False

    async def form(self):
        """Start all hosts, and wait until the seeds have formed a group.

        :raises AssertionError: if they haven't within 5 s of the last restart.
        """
        for host in self.hosts:
            self.start(host)
        await self.wait_until(self._has_group, FORMATION_TIMEOUT_S)
        if self._restarts:
            await asyncio.gather(*self._restarts)
            remaining_s = self.returned_at_s + FORMATION_TIMEOUT_S - now()
            await self.wait_until(self._has_group, remaining_s)

    def cluster_ids(self):
        """Return the groups that hosts know to exist."""
        states = [replica.hard_state for replica in self.replica_by_host.values()]
        return {state.cluster_id for state in states if state.formed}

    async def stop_all(self):
        """Stop all hosts."""
        for host in tuple(self.task_by_host):
            await self.stop(host)

    async def _restart(self, host, killed_task):
        await asyncio.gather(killed_task, return_exceptions=True)
        await asyncio.sleep(RESTART_DELAY_S)
        self.start(host, may_form=False)
        self.returned_at_s = now()

    def _has_group(self):
        seeds = [self.replica_by_host.get(seed) for seed in self.seeds]
        has_formed = all(seed and seed.hard_state.formed for seed in seeds)
        return has_formed and self.leader() is not None


@dataclass(frozen=True)
class FirstStartRecord:
    """Outcome of one first start.

    :ivar failure: why no group formed in time or accepted a table; empty if one did.
    :ivar groups: number of groups that formed.
    :ivar waiting_for: what hosts wait for that belong to no group.
    """

    failure: str
    groups: int
    waiting_for: tuple[str, ...]


async def count_steps():
    """Return how many steps hosts take until a group forms without a kill, by host."""
    fleet = FirstStart({})
    await fleet.form()
    await fleet.stop_all()
    return fleet.steps_by_host


async def play_first_start(kill_step_by_host, seed=1, wipe=False):
    """Return the outcome of a first start in which hosts are killed.

    :param kill_step_by_host: step of a host before which it is killed, once.
    :param seed: seed of the delays.
    :param wipe: whether the hosts that are killed lose their disks.
    """
    fleet = FirstStart(kill_step_by_host, seed, wipe)
    failure = ""
    try:
        await fleet.form()
        await fleet.publish(fleet.leader(), 1)
    except AssertionError as error:
        failure = str(error)
    waiting_for = tuple(r.waiting_for for r in fleet.replica_by_host.values())
    groups = len(fleet.cluster_ids())
    await fleet.stop_all()
    return FirstStartRecord(failure, groups, waiting_for)
