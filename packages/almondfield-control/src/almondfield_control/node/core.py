"""Assembly of the control group components that run on one host."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path

from result import Result

from almondfield_control.consensus import Replica
from almondfield_control.evacuations import EvacuationService
from almondfield_control.freshness import (
    FallbackRenewal,
    HostView,
    RevisionQueryHandler,
)
from almondfield_control.node.client import ControlClient
from almondfield_control.node.export import AuditExport
from almondfield_control.node.leader import LeaderService
from almondfield_control.node.renewal import Renewal
from almondfield_control.storage import Disk, FolderDisk
from almondfield_core.clock import WallClock
from almondfield_core.ports import Control, Peers, TableView
from almondfield_core.settings import DaemonSettings

__all__ = ["ControlNode", "ControlStats"]

HAND_OVER_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ControlStats:
    """State of the control group as seen on one host.

    :ivar role: role of this host's member; empty on hosts without one.
    :ivar term: newest term seen by the member.
    :ivar last_index: index of the last entry of its log.
    :ivar commit_index: index of the last entry known to be committed.
    :ivar revision: revision of the host's tables.
    :ivar freshness_left_s: seconds until the freshness lease of the tables expires.
    :ivar leader: host that last answered as the leader; else empty.
    :ivar waiting_for: reason why the member has not joined a group yet; else empty.
    :ivar evacuated_data_centres: evacuated data centres as this host knows them.
    """

    role: str
    term: int
    last_index: int
    commit_index: int
    revision: int
    freshness_left_s: float
    leader: str
    waiting_for: str = ""
    evacuated_data_centres: tuple[str, ...] = ()


class ControlNode:
    """Control group components of one host: view, client and, on voters, replica.

    :param peers: transport to the other hosts.
    :param settings: settings of the daemon.
    :param wall_clock: clock that returns calendar time.
    :param incarnation: number that increases with each start of this host.
    :param disk: storage of the durable state; the data folder by default.
    :param rng: random generator for identities and election timeouts.
    """

    def __init__(
        self,
        peers: Peers,
        settings: DaemonSettings,
        wall_clock: WallClock,
        incarnation: int,
        disk: Disk | None = None,
        rng: random.Random | None = None,
    ) -> None:
        timing = settings.timing
        voters = tuple(item.name for item in settings.hosts if item.voter)
        hosts = tuple(item.name for item in settings.hosts)
        self._view = HostView(peers.host)
        self._replica: Replica | None = None
        self._leader_service: LeaderService | None = None
        self._evacuations: EvacuationService | None = None
        self._disk: Disk | None = None
        if peers.host in voters:
            self._disk = disk or FolderDisk(Path(settings.data_folder))
            rng = rng or random.SystemRandom()
            self._replica = Replica(peers, self._disk, voters, timing, wall_clock, rng)
            self._leader_service = LeaderService(self._replica, peers, timing, hosts)
            self._evacuations = EvacuationService(self._replica, peers, wall_clock)
        self._client = ControlClient(
            peers, self._view, voters, incarnation, self._replica
        )
        fallback = FallbackRenewal(peers, self._view, voters, hosts, timing)
        self._renewal = Renewal(
            peers, self._view, self._client, fallback, timing, incarnation
        )

    @property
    def control(self) -> Control:
        """Return this host's client of the control group."""
        return self._client

    @property
    def view(self) -> TableView:
        """Return the tables and leases of this host."""
        return self._view

    @property
    def replica(self) -> Replica | None:
        """Return this host's member of the control group, if it has one."""
        return self._replica

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres, as of the newest known change."""
        return self._view.evacuations.in_force

    async def run(self) -> None:
        """Run the components until cancelled.

        :raises DamageError: if the data folder holds damaged records.
        """
        self._renewal.register_handlers()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renewal.run())
                if self._replica is not None:
                    self._leader_service.register_handlers()
                    self._evacuations.register_handlers()
                    RevisionQueryHandler(self._replica).register_handlers()
                    group.create_task(self._replica.run())
                    group.create_task(self._leader_service.run())
                    group.create_task(AuditExport(self._replica, self._disk).run())
        finally:
            if self._disk is not None:
                self._disk.close()

    async def hand_over(self) -> None:
        """Release this host's pool leases and transfer its leadership, if any."""
        self._view.release_pools()
        self._renewal.draining = True
        await self._renewal.renew()
        if self._replica is not None and self._replica.is_leader:
            await self._replica.leadership.transfer_leadership(HAND_OVER_TIMEOUT_S)

    async def admit_voter(self, host: str) -> Result[str, str]:
        """Return the host once it votes, or the reason why it was not admitted.

        :param host: name of a host whose member is a learner that has caught up.
        """
        return await self._client.change_voter(host, admit=True)

    async def remove_voter(self, host: str) -> Result[str, str]:
        """Return the host once it is removed, or the reason why it was not.

        :param host: name of a member's host.
        """
        return await self._client.change_voter(host, admit=False)

    def stats(self) -> ControlStats:
        """Return the state of the control group as seen on this host."""
        replica = self._replica
        return ControlStats(
            role=replica.role.value if replica else "",
            term=replica.hard_state.term if replica else 0,
            last_index=replica.log.last_index if replica else 0,
            commit_index=replica.commit_index if replica else 0,
            revision=self._view.tables.revision,
            freshness_left_s=self._view.freshness_left_s(),
            leader=self._client.leader_host,
            waiting_for=replica.waiting_for if replica else "",
            evacuated_data_centres=tuple(self.evacuated_data_centres()),
        )
