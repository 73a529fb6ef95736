"""Closed-loop callers for a fleet in memory, and what they were served."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from almondfield_core.clock import now
from almondfield_core.messages import SlotRequest
from result import Err, Ok
from sharing_fleet import Fleet

__all__ = ["Callers", "Interval"]


@dataclass(frozen=True)
class Interval:
    """Time for which a team held a slot, in seconds of the event loop."""

    team: str
    pool: str
    start_s: float
    end_s: float


@dataclass
class Callers:
    """Callers of a fleet, and what became of their requests."""

    fleet: Fleet
    weight_by_team: dict[str, float] = field(default_factory=dict)
    intervals: list[Interval] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    refused: Counter = field(default_factory=Counter)
    waiting: Counter = field(default_factory=Counter)
    running: dict = field(default_factory=dict)
    _tasks: list = field(default_factory=list)
    _next_run: int = 0

    def keep_busy(self, host: str, pool: str, team: str, callers: int, draw_cost):
        """Start callers that each send one request after the other."""
        for _ in range(callers):
            work = self._loop(host, pool, team, draw_cost)
            self._tasks.append(asyncio.create_task(work))

    async def call(self, host: str, pool: str, team: str, cost_s: float) -> bool:
        """Return whether one request was run."""
        weight = self.weight_by_team.get(team, 1.0)
        request = SlotRequest(pool, team, "/", weight=weight)
        began_s = now()
        self.waiting[pool, team] += 1
        try:
            outcome = await self.fleet.share_by_host[host].acquire(request)
        finally:
            self.waiting[pool, team] -= 1
        match outcome:
            case Ok(slot):
                self.waits_s.append(now() - began_s)
                await self._run(slot, host, pool, team, cost_s)
                return True
            case Err(not_run):
                self.refused[not_run.reason] += 1
        return False

    def stop(self) -> None:
        """Stop all callers."""
        for task in self._tasks:
            task.cancel()

    def service(self, pool: str, start_s: float, end_s: float) -> dict[str, float]:
        """Return the slot-seconds of each team in an interval."""
        service: dict[str, float] = defaultdict(float)
        running = [
            Interval(team, at, began_s, now())
            for team, at, began_s in self.running.values()
        ]
        for one in self.intervals + running:
            if one.pool == pool:
                begin_s = max(one.start_s, start_s)
                service[one.team] += max(0.0, min(one.end_s, end_s) - begin_s)
        return dict(service)

    async def _run(self, slot, host, pool, team, cost_s) -> None:
        server = self.fleet.server_by_name[slot.server.name]
        started_s = now()
        self._next_run += 1
        run = self._next_run
        self.running[run] = (team, pool, started_s)
        server.start(host)
        try:
            await asyncio.sleep(cost_s)
        finally:
            del self.running[run]
            server.finish(host)
            self.intervals.append(Interval(team, pool, started_s, now()))
            slot.release()

    async def _loop(self, host, pool, team, draw_cost) -> None:
        while True:
            if not await self.call(host, pool, team, draw_cost()):
                await asyncio.sleep(0.5)
