"""A control host of a fleet: publishes the routing table and tracks servers."""

import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from almondfield_control.consensus import GroupPolicy, LogLimits, Replica
from almondfield_control.evacuations import EvacuationClient, EvacuationService
from almondfield_control.publishing import TablePublisher
from almondfield_control.storage import FolderDisk
from almondfield_core.clock import WallClock, now
from almondfield_core.routing import ServerPool
from almondfield_core.settings import FleetSettings
from almondfield_daemon.fleet import FleetControl
from almondfield_daemon.fleet_daemon.core import FleetHost
from almondfield_daemon.fleet_daemon.metrics import ControlMetrics
from almondfield_daemon.quarantine import QuarantineService
from almondfield_daemon.scheduling import EngineService
from almondfield_daemon.server_limits import ColdBound, LimitService
from almondfield_daemon.streams import OriginService

__all__ = ["ControlHost"]

HAND_OVER_TIMEOUT_S = 1.0  # a fraction of the grace period of a shutdown
DOCUMENT_MEMORY_FRACTION = 1 / 32  # a log entry holds it twice, as sent and decoded
SCHEDULER_START_BITS = 48
LEARNING_S = 3.0  # two announcements of each server
MIN_SEEDS_OF_GROUP = 3  # smaller deployments list all their control hosts as seeds


class ControlHost(FleetHost):
    """One control host.

    :param settings: settings of the daemon.
    :param settings_path: settings file.
    :param started_unix_s: calendar time of the start, in seconds since 1970.

    :ivar fleet: tracks routers and backend servers.
    :ivar publisher: publishes the routing table.
    :ivar evacuations: begins, ends and lists evacuations of data centres.
    :ivar evacuation_service: the evacuations in this host's state.
    :ivar max_document_bytes: size of the largest routing table that operators may send.
    """

    def __init__(
        self, settings: FleetSettings, settings_path: Path, started_unix_s: float
    ) -> None:
        super().__init__(settings, settings_path, started_unix_s)
        self.max_document_bytes = int(DOCUMENT_MEMORY_FRACTION * settings.memory_bytes)
        self._disk = FolderDisk(Path(settings.data_folder))
        rng = random.SystemRandom()
        self._started_s = now()
        wall_clock = WallClock(started_unix_s - now())
        self._replica = Replica(
            self.peers,
            self._disk,
            settings.seeds,
            settings.daemon_settings().timing,
            wall_clock,
            rng,
            GroupPolicy(settings.may_form, True, _min_voters(settings)),
            LogLimits.of_memory(settings.memory_bytes),
        )
        leader = self.leader_client(self._members)
        self.fleet = FleetControl(self.peers, self.incarnation, self._members, rng)
        self.publisher = TablePublisher(
            self._replica, self.peers, leader, self.fleet.routers.hosts
        )
        self.evacuations = EvacuationClient(leader)
        self.evacuation_service = EvacuationService(
            self._replica, self.peers, wall_clock
        )
        self._limits = LimitService(
            self.peers,
            self.publisher,
            self.fleet.cold,
            ColdBound(settings.cold_overrun, settings.cold_slack),
        )
        self.fleet.server_limits = self._limits.limits
        self.fleet.cold_servers = self._limits.cold_servers
        self._limits.notified_hosts = lambda: (
            *self._members(),
            *self.fleet.routers.hosts(),
        )
        self.fleet.cold.pool_of = self._pool
        self.evacuation_service.end_callbacks.append(self.fleet.cold.count_as_cold)
        self._engines = EngineService(
            self.peers,
            self.fleet,
            self.publisher,
            self._limits,
            settings.share_window_s,
            lambda: rng.getrandbits(SCHEDULER_START_BITS),
            self.evacuated_data_centres,
        )
        self._origins = OriginService(self.peers, self.fleet)
        self._quarantine = QuarantineService(
            self.peers, self.fleet.routers.hosts, self._members
        )
        count = self._quarantine.table.quarantined_count
        self.serve_metrics(
            ControlMetrics(
                self.fleet,
                count,
                self.evacuated_data_centres,
                self._engines.slowdown_by_server,
            )
        )

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres as of this host's applied state."""
        return self.evacuation_service.evacuated_data_centres()

    def data_centres(self) -> frozenset[str]:
        """Return the data centres that are known, now or from an earlier evacuation.

        Without ``region_by_data_centre`` in the settings, the data centres of routers
        and backend servers are known.
        """
        listed = self.settings.region_by_data_centre
        records = self.evacuation_service.records()
        return frozenset(listed or self.fleet.data_centres()) | {
            self.settings.data_centre,
            *(record.data_centre for record in records),
        }

    def regions(self) -> frozenset[str]:
        """Return the regions of all data centres; empty if the settings name none."""
        return frozenset(self.settings.region_by_data_centre.values())

    def is_learning_data_centres(self) -> bool:
        """Return whether routers and servers may still name further data centres."""
        is_listed = bool(self.settings.region_by_data_centre)
        return not is_listed and now() - self._started_s < LEARNING_S

    def background_coroutines(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that run until shutdown, besides the peer messaging."""
        self.publisher.register_handlers()
        self.evacuation_service.register_handlers()
        self.fleet.register_handlers()
        self._engines.register_handlers()
        self._limits.register_handlers()
        self._origins.register_handlers()
        self._quarantine.register_handlers()
        return (self._replica.run(), self.fleet.run(), self._engines.run())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a reload of the settings."""
        self._replica.configured = seeds

    async def drain(self, requested_s: float) -> None:
        """Return once leadership is handed over, or the hand-over timed out."""
        if self._replica.is_leader:
            await self._replica.leadership.transfer_leadership(HAND_OVER_TIMEOUT_S)

    async def _close(self, until_s: float) -> None:
        await super()._close(until_s)
        self._disk.close()

    def _pool(self, name: str) -> ServerPool | None:
        table = self.publisher.table
        pools = () if table is None else table.pools
        return next((pool for pool in pools if pool.name == name), None)

    def _members(self) -> tuple[str, ...]:
        members = tuple(member.host for member in self._replica.log.members)
        return tuple(dict.fromkeys((*members, *self._replica.configured)))


def _min_voters(settings: FleetSettings) -> int:
    """Return the number of voters whose quorum outlasts the loss of ``lost_disks``."""
    if len(settings.seeds) < MIN_SEEDS_OF_GROUP:
        return len(settings.seeds)
    return 2 * settings.lost_disks + 1
