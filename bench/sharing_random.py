"""Random schedules of load and faults, checked for violated guarantees."""

import asyncio
import random
from dataclasses import dataclass

import looptime

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.tables import Pool, PoolKind
from almondfield_fairshare.bound import interval_bound
from almondfield_testing import InMemoryNetwork
from load import CallRecord
from sharing_fleet import Fleet
from sharing_load import Callers

__all__ = ["run_schedule"]

HOSTS = 3
SERVERS = 2
SLOTS = 2
POOL = "pool"
FAULTS = 4
LARGEST_COST_S = 0.6
LEASE_MARGIN_S = 0.02
FAULT_FREE_S = 2.0
MAX_IDLE_S = 0.4
DRAIN_S = 20.0
POLL_S = 0.05


@dataclass(frozen=True)
class Schedule:
    """Network conditions and faults of one schedule."""

    loss: float
    repeat: float
    longest_delay_s: float
    finishes_orphaned_requests: bool
    faults: tuple[str, ...]


def draw_schedule(rng: random.Random) -> Schedule:
    """Return a random schedule."""
    kinds = ("restart", "cut", "lose-scheduler", "cut-scheduler", "leave", "renew")
    return Schedule(
        rng.choice((0.0, 0.02, 0.1)),
        rng.choice((0.0, 0.1)),
        rng.choice((0.002, 0.01, 0.05)),
        rng.choice((False, True)),
        tuple(rng.choice(kinds) for _ in range(FAULTS)),
    )


def run_schedule(seed: int) -> list[str]:
    """Return the guarantees that a random schedule violated; empty if all held.

    :param seed: seed of the load, the faults and the links.
    """
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(random.Random(seed), seed))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()


async def _run(rng: random.Random, seed: int) -> list[str]:
    schedule = draw_schedule(rng)
    network = InMemoryNetwork(
        seed, (0.001, schedule.longest_delay_s), schedule.loss, schedule.repeat
    )
    fleet = Fleet(HOSTS, (Pool(POOL),), _servers(), seed, network=network)
    fleet.finishes_orphaned_requests = schedule.finishes_orphaned_requests
    callers = Callers(fleet, seed)
    await fleet.start()
    _start_load(callers, rng)
    for fault in schedule.faults:
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await _inject(fault, fleet, rng)
    await _repair(fleet)
    network.loss = network.repeat = 0.0
    await asyncio.sleep(FAULT_FREE_S)
    start_s = now()
    violations = await _watch_idle(fleet, callers)
    violations += _check_gap(callers, start_s)
    callers.stop_sending()
    waiting = await _drain(callers)
    violations += [f"{call.request_id} was never answered" for call in waiting]
    excess_starts = sum(server.over_slots for server in fleet.server_by_name.values())
    violations += [f"{excess_starts} starts beyond a server's slots"] * bool(
        excess_starts
    )
    return [f"seed {seed}, {schedule}: {violation}" for violation in violations]


def _servers() -> tuple[ServerAnnouncement, ...]:
    return tuple(
        ServerAnnouncement(f"server-{n}", 1, "", "dc", PoolKind.MODEL, SLOTS)
        for n in range(1, SERVERS + 1)
    )


def _start_load(callers: Callers, rng: random.Random) -> None:
    """Keep two teams backlogged at all hosts, and one caller of a third at one host."""

    def draw() -> float:
        return rng.uniform(0.02, LARGEST_COST_S)

    for host in callers.fleet.hosts:
        callers.keep_busy(host, POOL, "busy", rng.randint(2, 6), draw)
        callers.keep_busy(host, POOL, "heavy", rng.randint(2, 6), draw)
    callers.keep_busy(callers.fleet.hosts[-1], POOL, "small", 1, draw)


async def _inject(fault: str, fleet: Fleet, rng: random.Random) -> None:
    """Inject one fault; a lease moves only after the old one has expired."""
    holder = fleet.holder(POOL)
    others = [host for host in fleet.live_hosts() if host != holder]
    lease_left_s = fleet.view_by_host[holder].pool_lease_left_s(POOL)
    match fault:
        case "restart" if others:
            host = rng.choice(others)
            fleet.stop_host(host)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            fleet.start_host(host)
        case "cut" if others:
            fleet.isolate(rng.choice(others))
        case "lose-scheduler" if len(others) > 1:
            fleet.stop_host(holder)
            await asyncio.sleep(lease_left_s + LEASE_MARGIN_S)
            _lease_to(fleet, others[0])
            fleet.start_host(holder)
        case "cut-scheduler" if len(others) > 1:
            fleet.isolate(holder)
            await asyncio.sleep(lease_left_s + LEASE_MARGIN_S)
            _lease_to(fleet, others[0])
        case "leave":
            name = rng.choice(sorted(fleet.server_by_name))
            fleet.leave(name)
        case "renew":
            await _renew_server(fleet, rng)


def _lease_to(fleet: Fleet, host: str) -> None:
    fleet.lease(POOL, host)
    fleet.relay_all(POOL)


async def _renew_server(fleet: Fleet, rng: random.Random) -> None:
    """Announce a random server under a new incarnation, as after it left."""
    name = rng.choice(sorted(fleet.server_by_name))
    fleet.rejoin(name)


async def _repair(fleet: Fleet) -> None:
    fleet.heal()
    for name in fleet.server_by_name:
        fleet.rejoin(name)


async def _drain(callers: Callers) -> list[CallRecord]:
    """Return the calls that still have no answer after the drain time."""
    end_s = now() + DRAIN_S
    waiting = callers.open_calls()
    while waiting and now() < end_s:
        await asyncio.sleep(POLL_S)
        waiting = callers.open_calls()
    return waiting


async def _watch_idle(fleet: Fleet, callers: Callers) -> list[str]:
    """Return a violation if slots were idle too long while requests waited."""
    last_busy_s = now()
    end_s = now() + FAULT_FREE_S
    longest_s = 0.0
    state = ""
    while now() < end_s:
        running = sum(s.running.total() for s in fleet.server_by_name.values())
        if running >= SERVERS * SLOTS or not callers.slot_monitor.waiting[POOL]:
            last_busy_s = now()
        if now() - last_busy_s > longest_s:
            longest_s = now() - last_busy_s
            state = _describe(fleet)
        await asyncio.sleep(POLL_S)
    if longest_s > MAX_IDLE_S:
        return [f"slots idle for {longest_s:.2f} s while work waited: {state}"]
    return []


def _describe(fleet: Fleet) -> str:
    """Return the scheduler's host and each router's statistics as text."""
    lines = [f"{host}: {fleet.share_by_host[host].stats()}" for host in fleet.hosts]
    return "; ".join([f"scheduler {fleet.holder(POOL)}", *lines])


def _check_gap(callers: Callers, start_s: float) -> list[str]:
    service = callers.service(POOL, start_s, now())
    gap = abs(service.get("busy", 0.0) - service.get("heavy", 0.0))
    max_gap = interval_bound(SERVERS * SLOTS, LARGEST_COST_S, 1.0, 0.3, LARGEST_COST_S)
    if gap > max_gap:
        return [
            f"service gap {gap:.2f} exceeds the bound of {max_gap:.2f} slot-seconds"
        ]
    if not service.get("small"):
        return ["the small team received no service"]
    return []
