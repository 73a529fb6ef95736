"""Scheduling of the engines of all model pools on the leading control host."""

import asyncio
from collections.abc import Callable
from dataclasses import asdict

import eliot

from almondfield_control.publishing import TablePublisher
from almondfield_core.clock import now
from almondfield_core.containment import contain_errors
from almondfield_core.ports import Peers
from almondfield_core.routing import RoutingTable
from almondfield_daemon.fleet import FleetControl, FleetServer, ServerPhase
from almondfield_daemon.scheduling.busy_control import BusyControl
from almondfield_daemon.scheduling.cold_refusals import ColdRefusals
from almondfield_daemon.scheduling.evacuated_engines import EvacuatedEngines
from almondfield_daemon.scheduling.messages import (
    EnginePrefixes,
    EngineProgress,
    EngineRefusal,
    EngineReply,
    EngineRequest,
    EngineSlowdown,
    NotScheduling,
)
from almondfield_daemon.server_limits import LimitService
from almondfield_fairshare.engines import (
    Admitted,
    AttemptId,
    EngineScheduler,
    EngineServer,
    PromptRequest,
    Refused,
)

__all__ = ["EngineService"]

# Routers wait so long at first. What is left of the target is for wait and prefill.
MAX_WAITED_SHARE = 0.5  # of the latency target
CLEAN_UP_INTERVAL_S = 1.0  # also the interval of the scheduler:load log messages
# Nobody knows when an evacuation ends, but routers learn of the end within this time.
EVACUATED_RETRY_S = 1.0
MAX_SLOWDOWN_AGE_S = 1.0  # older reports say nothing about an engine's speed
MAX_TEAMS = 5  # in one scheduler:teams message; those with the most demand


class EngineService:
    """Answers requests of routers while this host leads the control group.

    :param peers: messages to the other hosts.
    :param fleet: routers and backend servers.
    :param publisher: provides the routing table, and whether this host leads.
    :param limits: limits of servers on all routers together.
    :param window_s: window of the teams' shares, in seconds.
    :param make_start: returns a unique identifier for each scheduler start.
    :param evacuated: returns the evacuated data centres, whose engines are closed.
    """

    def __init__(
        self,
        peers: Peers,
        fleet: FleetControl,
        publisher: TablePublisher,
        limits: LimitService,
        window_s: float,
        make_start: Callable[[], int],
        evacuated: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._evacuated = EvacuatedEngines(evacuated, fleet.servers)
        self._peers = peers
        self._fleet = fleet
        self._publisher = publisher
        self._limits = limits
        self._window_s = window_s
        self._make_start = make_start
        self._start = 0
        self._term: int | None = None
        self._scheduler_by_pool: dict[str, EngineScheduler] = {}
        self._cold_by_pool: dict[str, ColdRefusals] = {}
        self._busy_control = BusyControl(self._used_share, self._is_over_share)

    def register_handlers(self) -> None:
        """Register the handlers of messages and of server changes."""
        self._peers.register_handler(EngineRequest, self._on_request)
        self._peers.register_handler(EngineProgress, self._on_progress)
        self._peers.register_handler(EnginePrefixes, self._on_prefixes)
        self._fleet.server_change_callbacks.append(self._update_servers)

    def slowdown_by_server(self) -> dict[str, float]:
        """Return how long work takes at each engine now, relative to the usual time."""
        slowdown_by_server = {}
        if self._publisher.led_term is not None:
            for scheduler in self._scheduler_by_pool.values():
                slowdown_by_server |= scheduler.pool.slowdown_by_server()
        return slowdown_by_server

    async def run(self) -> None:
        """Drop expired requests and those of lost routers, until cancelled."""
        routers: frozenset[str] = frozenset()
        while True:
            await asyncio.sleep(CLEAN_UP_INTERVAL_S)
            before, routers = routers, frozenset(self._fleet.routers.hosts())
            for router in before - routers:
                self._busy_control.remove(router)
            for pool, scheduler in self._scheduler_by_pool.items():
                with contain_errors("clean-up of a scheduler"):
                    self._clean_up(pool, scheduler, before - routers)

    def _clean_up(
        self, pool: str, scheduler: EngineScheduler, lost_routers: frozenset[str]
    ) -> None:
        self._log_load(pool, scheduler)
        scheduler.remove_expired()
        for router in lost_routers:
            scheduler.remove_router(router)

    @staticmethod
    def _log_load(pool: str, scheduler: EngineScheduler) -> None:
        load = scheduler.collect_load()
        teams = scheduler.collect_team_loads(MAX_TEAMS)
        refused = load.refused_full + load.refused_over_share
        refused += load.refused_late + load.refused_overdue
        if load.admitted or refused:
            eliot.log_message("scheduler:load", pool=pool, **asdict(load))
        if refused:
            items = [asdict(team) for team in teams]
            eliot.log_message("scheduler:teams", pool=pool, teams=items)

    def _update_leadership(self) -> bool:
        """Return whether this host leads; a new leader starts with empty schedulers.

        A lease that has run out for a moment ends nothing, as two schedulers at the
        same time do no harm that a new start wouldn't do.
        """
        term = self._publisher.led_term
        if term is not None and term != self._term:
            self._scheduler_by_pool.clear()
            self._cold_by_pool.clear()
            self._start = self._make_start()
        self._term = term
        return term is not None

    async def _on_request(
        self, sender: str, message: EngineRequest
    ) -> EngineReply | EngineRefusal | NotScheduling:
        table = self._publisher.table
        if not self._update_leadership() or table is None:
            return NotScheduling()
        attempt = AttemptId(sender, message.number)
        scheduler = self._scheduler(message.pool, table)
        waited_s = self._peers.handling_delay_s
        is_overdue = _is_overdue(message.request, waited_s)
        self._busy_control.record(sender, message, waited_s, not is_overdue)
        shares = self._busy_control.changed_shares(sender)
        cold, is_repeat = self._cold_refusals(message.pool), message.request.is_repeat
        engines = scheduler.engine_names()
        scheduler.closed_names = (
            cold.closed_names(engines, is_repeat) | self._evacuated.names()
        )
        if self._evacuated.is_closed(message.pool):
            decision = Refused(EVACUATED_RETRY_S, False, 0.0)
        elif is_overdue:
            decision = scheduler.refuse_overdue(message.request)
        else:
            work_per_s = table.limits.work_per_s
            decision = scheduler.decide(attempt, message.request, work_per_s)
        match decision:
            case Admitted(server, uncached_tokens, wait_s):
                self._limits.take(server)
                cold.record_admitted(is_repeat)
                return EngineReply(server, uncached_tokens, wait_s, self._start, shares)
            case Refused(retry_after_s, is_over_share, wait_s):
                retry_after_s = cold.retry_after_s(engines, retry_after_s, is_repeat)
                return EngineRefusal(
                    retry_after_s, is_over_share, wait_s, self._start, shares
                )

    async def _on_progress(self, sender: str, progress: EngineProgress) -> None:
        table = self._publisher.table
        if not self._update_leadership() or table is None:
            return
        for item in progress.in_flight:
            attempt = AttemptId(sender, item.number)
            scheduler = self._scheduler(item.pool, table)
            scheduler.restore(attempt, item.server, item.unread_tokens)
        for item in progress.unscheduled:
            attempt = AttemptId(sender, item.number)
            self._scheduler(item.pool, table).record_unscheduled(
                attempt, item.team, item.prompt, item.server
            )
            self._limits.record_unscheduled(item.server)
        # First, as the samples of begun answers depend on it.
        self._record_slowdowns(progress.slowdowns, table)
        for item in progress.begun:
            attempt = AttemptId(sender, item.number)
            self._scheduler(item.pool, table).begin_answer(attempt, item.server)
        for item in progress.ended:
            attempt = AttemptId(sender, item.number)
            self._scheduler(item.pool, table).end(
                attempt, item.was_refused, was_sent=bool(item.server)
            )
        for item in progress.held:
            self._scheduler(item.pool, table).record_refused(item.prompt_id)
        if progress.snapshot is not None:
            for scheduler in self._scheduler_by_pool.values():
                scheduler.reconcile(sender, progress.snapshot)

    def _record_slowdowns(
        self, items: tuple[EngineSlowdown, ...], table: RoutingTable
    ) -> None:
        received_s = now() - self._peers.handling_delay_s
        for item in items:
            if not 0 <= item.age_s <= MAX_SLOWDOWN_AGE_S:
                continue
            self._scheduler(item.pool, table).pool.record_slowdown(
                item.server,
                item.started_ms,
                item.slowdown,
                received_s - item.age_s,
            )

    async def _on_prefixes(self, sender: str, message: EnginePrefixes) -> None:
        table = self._publisher.table
        if not self._update_leadership() or table is None:
            return
        for item in message.items:
            self._scheduler(item.pool, table).restore_prefix(item.sent)

    def _used_share(self) -> float:
        """Return the part in use of the engines of the pool that uses the most."""
        schedulers = self._scheduler_by_pool.values()
        return max((item.used_share for item in schedulers), default=0.0)

    def _is_over_share(self, team: str) -> bool:
        """Return whether a team has had more than its share of any pool's engines."""
        schedulers = self._scheduler_by_pool.values()
        return any(item.usage(team) > 1 for item in schedulers)

    def _scheduler(self, pool: str, table: RoutingTable) -> EngineScheduler:
        scheduler = self._scheduler_by_pool.get(pool)
        if scheduler is None:
            scheduler = EngineScheduler(self._window_s)
            self._scheduler_by_pool[pool] = scheduler
            scheduler.set_servers(self._engines(pool, table))
        return scheduler

    def _cold_refusals(self, pool: str) -> ColdRefusals:
        cold = self._cold_by_pool.get(pool)
        if cold is None:
            cold = self._cold_by_pool[pool] = ColdRefusals(self._limits)
        return cold

    def _update_servers(self) -> None:
        self._evacuated.forget()
        table = self._publisher.table
        if table is None:
            return
        for pool, scheduler in self._scheduler_by_pool.items():
            scheduler.set_servers(self._engines(pool, table))

    def _engines(self, pool: str, table: RoutingTable) -> list[EngineServer]:
        limits = next((p.engine for p in table.pools if p.name == pool), None)
        cache_tokens = limits.cache_tokens if limits else 0
        return [
            _engine(server, cache_tokens)
            for server in self._fleet.servers()
            if server.pool == pool and server.phase is ServerPhase.SERVING
        ]


def _is_overdue(request: PromptRequest, waited_s: float) -> bool:
    """Return whether a request has waited so long that others come first.

    The answer to a repeated one may have been delivered in part.
    """
    limit_s = MAX_WAITED_SHARE * request.latency_target_s
    return waited_s > limit_s > 0 and not request.is_repeat


def _engine(server: FleetServer, cache_tokens: int) -> EngineServer:
    return EngineServer(server.name, server.born_ms, server.slots, cache_tokens)
