"""Random schedules of load and faults, and what they may not break."""

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
QUIET_S = 2.0
MOST_IDLE_S = 0.4
DRAIN_S = 20.0
STEP_S = 0.05


@dataclass(frozen=True)
class Schedule:
    """What a seed stands for."""

    loss: float
    repeat: float
    longest_delay_s: float
    servers_run_on: bool
    faults: tuple[str, ...]


def draw_schedule(source: random.Random) -> Schedule:
    """Return a random schedule."""
    kinds = ("restart", "cut", "lose-scheduler", "cut-scheduler", "leave", "renew")
    return Schedule(
        source.choice((0.0, 0.02, 0.1)),
        source.choice((0.0, 0.1)),
        source.choice((0.002, 0.01, 0.05)),
        source.choice((False, True)),
        tuple(source.choice(kinds) for _ in range(FAULTS)),
    )


def run_schedule(seed: int) -> list[str]:
    """Return what a random schedule broke; nothing where all promises held.

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


async def _run(source: random.Random, seed: int) -> list[str]:
    schedule = draw_schedule(source)
    network = InMemoryNetwork(
        seed, (0.001, schedule.longest_delay_s), schedule.loss, schedule.repeat
    )
    fleet = Fleet(HOSTS, (Pool(POOL),), _servers(), seed, network=network)
    fleet.servers_run_on = schedule.servers_run_on
    callers = Callers(fleet, seed)
    await fleet.start()
    _start_load(callers, source)
    for fault in schedule.faults:
        await asyncio.sleep(source.uniform(0.0, 1.0))
        await _inject(fault, fleet, source)
    await _repair(fleet)
    network.loss = network.repeat = 0.0
    await asyncio.sleep(QUIET_S)
    begun_s = now()
    broken = await _watch_idle(fleet, callers)
    broken += _check_gap(callers, begun_s)
    callers.stop_sending()
    waiting = await _drain(callers)
    broken += [f"{call.request_id} was never answered" for call in waiting]
    over = sum(server.over_slots for server in fleet.server_by_name.values())
    broken += [f"{over} starts beyond a server's slots"] * bool(over)
    return [f"seed {seed}, {schedule}: {one}" for one in broken]


def _servers() -> tuple[ServerAnnouncement, ...]:
    return tuple(
        ServerAnnouncement(f"server-{n}", 1, "", "dc", PoolKind.MODEL, SLOTS)
        for n in range(1, SERVERS + 1)
    )


def _start_load(callers: Callers, source: random.Random) -> None:
    """Keep two teams waiting at every host, and one now and then at one."""

    def draw() -> float:
        return source.uniform(0.02, LARGEST_COST_S)

    for host in callers.fleet.hosts:
        callers.keep_busy(host, POOL, "busy", source.randint(2, 6), draw)
        callers.keep_busy(host, POOL, "heavy", source.randint(2, 6), draw)
    callers.keep_busy(callers.fleet.hosts[-1], POOL, "small", 1, draw)


async def _inject(fault: str, fleet: Fleet, source: random.Random) -> None:
    """Let one thing fail; a lease moves only after the old one ran out."""
    holder = fleet.holder(POOL)
    others = [host for host in fleet.live_hosts() if host != holder]
    left_s = fleet.view_by_host[holder].pool_lease_left_s(POOL)
    match fault:
        case "restart" if others:
            host = source.choice(others)
            fleet.stop_host(host)
            await asyncio.sleep(source.uniform(0.0, 0.5))
            fleet.start_host(host)
        case "cut" if others:
            fleet.isolate(source.choice(others))
        case "lose-scheduler" if len(others) > 1:
            fleet.stop_host(holder)
            await asyncio.sleep(left_s + LEASE_MARGIN_S)
            _lease_to(fleet, others[0])
            fleet.start_host(holder)
        case "cut-scheduler" if len(others) > 1:
            fleet.isolate(holder)
            await asyncio.sleep(left_s + LEASE_MARGIN_S)
            _lease_to(fleet, others[0])
        case "leave":
            name = source.choice(sorted(fleet.server_by_name))
            fleet.leave(name)
        case "renew":
            await _renew_server(fleet, source)


def _lease_to(fleet: Fleet, host: str) -> None:
    fleet.lease(POOL, host)
    fleet.relay_all(POOL)


async def _renew_server(fleet: Fleet, source: random.Random) -> None:
    """Announce a server under a new incarnation, as after leaving."""
    name = source.choice(sorted(fleet.server_by_name))
    fleet.rejoin(name)


async def _repair(fleet: Fleet) -> None:
    fleet.heal()
    for name in fleet.server_by_name:
        fleet.rejoin(name)


async def _drain(callers: Callers) -> list[CallRecord]:
    """Return the calls that have no answer long after the last one was sent."""
    end_s = now() + DRAIN_S
    waiting = callers.open_calls()
    while waiting and now() < end_s:
        await asyncio.sleep(STEP_S)
        waiting = callers.open_calls()
    return waiting


async def _watch_idle(fleet: Fleet, callers: Callers) -> list[str]:
    """Return how long slots stayed idle while work waited, if for too long."""
    since_s = now()
    end_s = now() + QUIET_S
    longest_s = 0.0
    state = ""
    while now() < end_s:
        running = sum(s.running.total() for s in fleet.server_by_name.values())
        if running >= SERVERS * SLOTS or not callers.watch.waiting[POOL]:
            since_s = now()
        if now() - since_s > longest_s:
            longest_s = now() - since_s
            state = _describe(fleet)
        await asyncio.sleep(STEP_S)
    if longest_s > MOST_IDLE_S:
        return [f"slots idle for {longest_s:.2f} s while work waited: {state}"]
    return []


def _describe(fleet: Fleet) -> str:
    """Return what each router has, for a report of a broken promise."""
    lines = [f"{host}: {fleet.share_by_host[host].stats()}" for host in fleet.hosts]
    return "; ".join([f"scheduler {fleet.holder(POOL)}", *lines])


def _check_gap(callers: Callers, begun_s: float) -> list[str]:
    service = callers.service(POOL, begun_s, now())
    gap = abs(service.get("busy", 0.0) - service.get("heavy", 0.0))
    most = interval_bound(SERVERS * SLOTS, LARGEST_COST_S, 1.0, 0.3, LARGEST_COST_S)
    if gap > most:
        return [f"gap {gap:.2f} beyond {most:.2f} slot-seconds"]
    if not service.get("small"):
        return ["the small team got nothing"]
    return []
