"""Measures the utilisation of running servers with and without moving spare ones.

Most of the load alternates between two pools. The real orders, membership and issuer
run over in-memory links on a paused clock; servers and load are fakes.
"""

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path

import looptime

from almondfield_core.clock import now
from almondfield_core.messages import ServerState
from almondfield_core.tables import Pool, Selector
from almondfield_daemon.orders.tests.fakes import (
    FakeControlGroup,
    FakeEngine,
    FakeView,
    OrderHost,
)
from almondfield_testing import InMemoryNetwork

__all__ = ["Figures", "measure"]

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "docs" / "capacity" / "orders.json"
POOLS = ("board", "writing")
ENGINES, SLOTS, WANTED_SERVERS = 12, 4, 2
LOAD_S, REQUEST_S, TICK_S = 60.0, 5.0, 1.0
TURNS_S = (300.0, 1200.0)
TURNS = 4
QUEUE_DEADLINE_S = 30.0
BUSY_SHARE, QUIET_SHARE = 0.8, 0.1


@dataclass(frozen=True)
class Figures:
    """Results of one run.

    :ivar utilisation: busy share of all slots, including those of loading servers.
    :ivar refused_share: share of requests that reached the queue deadline.
    :ivar moves: number of executed orders.
    """

    utilisation: float
    refused_share: float
    moves: int


class _Workload:
    """Requests of both pools, simulated in ticks."""

    def __init__(self, engines: dict[str, FakeEngine], turn_s: float) -> None:
        self.engines = engines
        self.turn_s = turn_s
        self.waiting = dict.fromkeys(POOLS, 0.0)
        self.arrived = self.refused = 0.0
        self.busy_slot_s = 0.0
        self.ends_by_engine: dict[str, list[float]] = {name: [] for name in engines}

    async def run(self, hosts, seconds: float) -> None:
        started_s = now()
        while now() - started_s < seconds:
            self._arrive(int((now() - started_s) / self.turn_s) % 2)
            for name, engine in self.engines.items():
                self._serve(name, engine, hosts)
            await asyncio.sleep(TICK_S)

    def _arrive(self, busy_pool: int) -> None:
        capacity = ENGINES * SLOTS / REQUEST_S * TICK_S
        for number, pool in enumerate(POOLS):
            share = BUSY_SHARE if number == busy_pool else QUIET_SHARE
            arriving = capacity * share
            # Requests that waited longer than the deadline are answered not-run.
            max_waiting = arriving * QUEUE_DEADLINE_S / TICK_S
            self.arrived += arriving
            self.refused += max(0.0, self.waiting[pool] + arriving - max_waiting)
            self.waiting[pool] = min(max_waiting, self.waiting[pool] + arriving)

    def _serve(self, name: str, engine: FakeEngine, hosts) -> None:
        ends = [end for end in self.ends_by_engine[name] if end > now()]
        held = hosts[0].membership.is_held(name)
        serving = engine.announcement.state is ServerState.SERVING and not held
        pool = engine.announcement.model
        while serving and pool and len(ends) < SLOTS and self.waiting[pool] >= 1:
            self.waiting[pool] -= 1
            ends.append(now() + REQUEST_S)
        self.ends_by_engine[name] = ends
        self.busy_slot_s += len(ends) * TICK_S
        engine.update_announcement(busy=len(ends))


async def _announce(hosts, engines) -> None:
    while True:
        for engine in engines.values():
            await hosts[0].membership.announce(engine.announcement)
        await asyncio.sleep(1.0)


def measure(turn_s: float, moving: bool) -> Figures:
    """Return the results of one run.

    :param turn_s: seconds after which most of the load moves to the other pool.
    :param moving: whether backlogs are reported to the issuer.
    """
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(turn_s, moving))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()


async def _run(turn_s: float, moving: bool) -> Figures:
    engines = {
        f"engine-{n}": FakeEngine(f"engine-{n}", POOLS[n % 2], load_s=LOAD_S)
        for n in range(ENGINES)
    }
    group, view, network = FakeControlGroup(), FakeView(), InMemoryNetwork(seed=1)
    group.leader = "h0"
    view.set_pools(
        Pool(pool, selects=Selector(pool), wanted_servers=WANTED_SERVERS)
        for pool in POOLS
    )
    hosts = [
        OrderHost(network, name, ("h0", "h1", "h2"), view, group, engines)
        for name in ("h0", "h1", "h2")
    ]
    work = _Workload(engines, turn_s)
    if moving:
        hosts[0].orders.set_waiting_source(
            lambda: {pool: int(count) for pool, count in work.waiting.items()}
        )
    announcer = asyncio.create_task(_announce(hosts, engines))
    seconds = TURNS * turn_s
    await work.run(hosts, seconds)
    announcer.cancel()
    return Figures(
        round(work.busy_slot_s / (ENGINES * SLOTS * seconds), 3),
        round(work.refused / work.arrived, 3),
        hosts[0].orders.stats().done,
    )


def main() -> None:
    """Print and write the figures."""
    rows = []
    for turn_s in TURNS_S:
        for moving in (False, True):
            figures = measure(turn_s, moving)
            rows.append({"turn_s": turn_s, "moving": moving} | vars(figures))
            print(rows[-1])
    OUTPUT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
