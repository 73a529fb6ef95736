"""Simulated callers of an in-memory fleet, with the records of the real load."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

from result import Err, Ok

from almondfield_core.clock import now
from almondfield_core.messages import ServerFailure, SlotRequest
from almondfield_core.ports import Slot
from load import ADDRESS_SKEW, COST_SIGMA, MAX_COST_FACTOR, CallRecord, TeamLoad
from sharing_fleet import Fleet
from standins import RunRecord

__all__ = ["Callers", "draw_cost_s"]


def draw_cost_s(team: TeamLoad, rng: random.Random) -> float:
    """Return a heavy-tailed cost with the team's mean, in seconds.

    :param team: load of the team.
    :param rng: random number generator.
    """
    mu = -COST_SIGMA * COST_SIGMA / 2
    factor = rng.lognormvariate(mu, COST_SIGMA)
    return team.mean_cost_s * min(factor, MAX_COST_FACTOR)


@dataclass(frozen=True)
class _SlotMonitor:
    """Measures how long freed slots stay idle while requests wait."""

    waiting: Counter = field(default_factory=Counter)
    waiting_since_s: dict[str, float] = field(default_factory=dict)
    freed_s: dict[str, list[float]] = field(default_factory=dict)
    idle_s_by_pool: dict[str, list[float]] = field(default_factory=dict)

    def begin_wait(self, pool: str) -> None:
        if not self.waiting[pool]:
            self.waiting_since_s[pool] = now()
        self.waiting[pool] += 1

    def end_wait(self, pool: str) -> None:
        self.waiting[pool] -= 1

    def start(self, pool: str, server: str) -> None:
        freed = self.freed_s.get(server)
        if not freed:
            return
        since_s = max(freed.pop(0), self.waiting_since_s[pool])
        self.idle_s_by_pool.setdefault(pool, []).append(now() - since_s)

    def free(self, server: str) -> None:
        self.freed_s.setdefault(server, []).append(now())


class Callers:
    """Callers of a fleet and the records of their requests.

    :param fleet: the fleet.
    :param seed: seed of every random choice.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.weight_by_team: dict[str, float] = {}
        self.calls: list[CallRecord] = []
        self.runs: list[RunRecord] = []
        self.waits_s_by_pool: dict[str, list[float]] = {}
        self.slot_monitor = _SlotMonitor()
        self.refused: Counter = Counter()
        self._waiting_by_id: dict[str, CallRecord] = {}
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task] = set()
        self._number = 0
        self._sending = True

    def keep_busy(
        self, host: str, pool: str, team: str, callers: int, draw: Callable[[], float]
    ) -> None:
        """Start callers that each send one request after another."""
        for _ in range(callers):
            self._start(self._send_in_turn(host, pool, team, draw))

    def send_at_rate(self, team: TeamLoad) -> None:
        """Start sending a team's requests at its rate, as an open loop."""
        self.weight_by_team[team.team] = team.weight
        self._start(self._send_at_rate(team))

    def call_soon(self, host: str, pool: str, team: str, cost_s: float) -> asyncio.Task:
        """Return a task that sends one request."""
        return self._start(self.call(host, pool, team, cost_s))

    async def call(self, host: str, pool: str, team: str, cost_s: float) -> bool:
        """Send one request and return whether it ran; it is cut if its host stops."""
        if not self.fleet.is_running(host):
            return False
        work = asyncio.create_task(self._call(host, pool, team, cost_s))
        calls = self.fleet.calls_by_host.setdefault(host, {})
        calls[work] = None
        work.add_done_callback(lambda done: calls.pop(done, None))
        try:
            return await work
        except asyncio.CancelledError:
            work.cancel()
            if asyncio.current_task().cancelling():
                raise
            return False

    async def _call(self, host: str, pool: str, team: str, cost_s: float) -> bool:
        self._number += 1
        request_id = f"{team}-{self._number}"
        record = CallRecord(request_id, team, pool, now(), 0.0, 0.0, "unfinished")
        self._waiting_by_id[request_id] = record
        weight = self.weight_by_team.get(team, 1.0)
        request = SlotRequest(pool, team, "/", weight, queue_deadline_s=20.0)
        try:
            return await self._acquire_and_run(host, request, record, cost_s)
        except asyncio.CancelledError:
            self._record_outcome(record, "cut")
            raise

    async def _acquire_and_run(self, host, request, record, cost_s) -> bool:
        with self._record_wait(request.pool):
            outcome = await self.fleet.share_by_host[host].acquire(request)
        match outcome:
            case Ok(slot):
                waits_s = self.waits_s_by_pool.setdefault(request.pool, [])
                waits_s.append(now() - record.sent_s)
                await self._run(slot, host, record, cost_s)
                self._record_outcome(record, "answered")
                return True
            case Err(not_run):
                self.refused[not_run.reason] += 1
                self._record_outcome(record, "not-run")
        return False

    def stop_sending(self) -> None:
        """Stop sending; waiting and running requests continue."""
        self._sending = False

    def stop(self) -> None:
        """Stop all callers."""
        for task in list(self._tasks):
            task.cancel()

    def all_calls(self) -> list[CallRecord]:
        """Return every call; those without an answer are recorded as ending now."""
        return self.calls + self.open_calls()

    def open_calls(self) -> list[CallRecord]:
        """Return the calls that have no answer yet."""
        return [
            replace(record, total_s=now() - record.sent_s)
            for record in self._waiting_by_id.values()
        ]

    def service(self, pool: str, start_s: float, end_s: float) -> dict[str, float]:
        """Return the slot-seconds of each team in an interval."""
        start_s_by_id: dict[str, float] = {}
        service: Counter = Counter()
        for run in self.runs:
            if run.pool != pool:
                continue
            if run.event == "start":
                start_s_by_id[run.request_id] = run.time_s
                service[run.team] += max(0.0, end_s - max(run.time_s, start_s))
            else:
                service[run.team] -= max(0.0, end_s - max(run.time_s, start_s))
        return dict(service)

    @contextmanager
    def _record_wait(self, pool: str) -> Iterator[None]:
        self.slot_monitor.begin_wait(pool)
        try:
            yield
        finally:
            self.slot_monitor.end_wait(pool)

    async def _run(
        self, slot: Slot, host: str, record: CallRecord, cost_s: float
    ) -> None:
        name = slot.server.name
        server = self.fleet.server_by_name[name]
        if not server.alive:
            slot.release(ServerFailure.CONNECT)
            return
        self.slot_monitor.start(record.pool, name)
        self._record_event(record, name, "start")
        server.start(host)
        end_s = now() + cost_s
        try:
            await asyncio.sleep(cost_s)
        except asyncio.CancelledError:
            if self.fleet.finishes_orphaned_requests:
                asyncio.get_running_loop().call_at(end_s, server.finish, host)
            else:
                server.finish(host)
            raise
        else:
            server.finish(host)
        finally:
            self._record_event(record, name, "end")
            self.slot_monitor.free(name)
            slot.release()

    def _record_event(self, record: CallRecord, server: str, event: str) -> None:
        run = RunRecord(
            record.request_id, record.team, server, record.pool, event, now()
        )
        self.runs.append(run)

    def _record_outcome(self, record: CallRecord, outcome: str) -> None:
        del self._waiting_by_id[record.request_id]
        total_s = now() - record.sent_s
        self.calls.append(replace(record, total_s=total_s, outcome=outcome))

    async def _send_in_turn(self, host, pool, team, draw) -> None:
        while self._sending:
            if not await self.call(host, pool, team, draw()):
                await asyncio.sleep(0.5)

    async def _send_at_rate(self, team: TeamLoad) -> None:
        while self._sending:
            await asyncio.sleep(self._random.expovariate(team.rate))
            cost_s = draw_cost_s(team, self._random)
            self.call_soon(self._pick_host(team), team.pool, team.team, cost_s)

    def _pick_host(self, team: TeamLoad) -> str:
        """Return a live host; each team uses the first ones of its order most."""
        order = sorted(self.fleet.live_hosts())
        if team.router is not None:
            return order[team.router % len(order)]
        random.Random(team.team).shuffle(order)
        for host in order[:-1]:
            if self._random.random() < ADDRESS_SKEW:
                return host
        return order[-1]

    def _start(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
