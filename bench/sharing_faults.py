"""Faults of an in-memory fleet, and the time until it recovers."""

import asyncio

from almondfield_core.clock import now
from sharing_fleet import Fleet
from sharing_load import Callers

__all__ = ["FAULT_BY_NAME"]

FAULT_START_SHARE = 1 / 3
LEASE_MARGIN_S = 0.1
POLL_S = 0.05
FULL_USE_SHARE = 0.95


async def no_fault(fleet: Fleet, callers: Callers, seconds: float) -> tuple[str, ...]:
    """Inject no fault."""
    return ()


async def lose_scheduler(fleet, callers, seconds) -> tuple[str, ...]:
    """Crash the host that schedules the first pool; another gets the lease."""
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    pool = fleet.tables.pools[0].name
    lost_host = fleet.holder(pool)
    leased_pools = [
        p.name for p in fleet.tables.pools if fleet.holder(p.name) == lost_host
    ]
    start_s = now()
    lease_left_s = fleet.view_by_host[lost_host].pool_lease_left_s(pool)
    fleet.stop_host(lost_host)
    await asyncio.sleep(lease_left_s + LEASE_MARGIN_S)
    for name in leased_pools:
        fleet.lease(name, fleet.live_hosts()[0])
        fleet.relay_all(name)
    return await _watch_recovery(fleet, pool, start_s)


async def restart_router(fleet, callers, seconds) -> tuple[str, ...]:
    """Restart a router that schedules nothing, without any earlier state."""
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    start_s = now()
    fleet.stop_host(fleet.hosts[-1])
    await asyncio.sleep(0.5)
    fleet.start_host(fleet.hosts[-1])
    return await _watch_recovery(fleet, fleet.tables.pools[0].name, start_s)


async def cut_router(fleet, callers, seconds) -> tuple[str, ...]:
    """Cut a router off for 5 s."""
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    start_s = now()
    fleet.isolate(fleet.hosts[-1])
    await asyncio.sleep(5.0)
    fleet.heal()
    return await _watch_recovery(fleet, fleet.tables.pools[0].name, start_s)


async def cut_scheduler(fleet, callers, seconds) -> tuple[str, ...]:
    """Cut the first pool's scheduler off for 5 s; another gets the lease."""
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    pool = fleet.tables.pools[0].name
    start_s = now()
    holder = fleet.holder(pool)
    lease_left_s = fleet.view_by_host[holder].pool_lease_left_s(pool)
    fleet.isolate(holder)
    await asyncio.sleep(lease_left_s + LEASE_MARGIN_S)
    fleet.lease(pool, fleet.live_hosts()[1])
    fleet.relay_all(pool)
    notes = await _watch_recovery(fleet, pool, start_s)
    await asyncio.sleep(max(0.0, start_s + 5.0 - now()))
    fleet.heal()
    return notes


async def let_server_leave(fleet, callers, seconds) -> tuple[str, ...]:
    """Make a server of the first pool leave."""
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    name = next(iter(fleet.server_by_name))
    start_s = now()
    fleet.leave(name)
    await asyncio.sleep(5.0)
    starts = [
        run.time_s - start_s
        for run in callers.runs
        if run.server == name and run.event == "start"
    ]
    return (f"last start on the leaving server after {max(starts):.3f} s",)


async def kill_server(fleet, callers, seconds) -> tuple[str, ...]:
    """Kill a server of the first pool; calls to it fail at once."""
    await asyncio.sleep(seconds * FAULT_START_SHARE)
    name = next(iter(fleet.server_by_name))
    fleet.server_by_name[name].alive = False
    return (f"killed {name}",)


async def _watch_recovery(fleet: Fleet, pool: str, start_s: float) -> tuple[str, ...]:
    """Return a note on the time until the pool's slots stay in full use.

    :param start_s: start of the fault, in seconds.
    """
    kind = next(p.kind for p in fleet.tables.pools if p.name == pool)
    servers = [s for s in fleet.server_by_name.values() if s.announcement.kind == kind]
    slots = sum(server.announcement.slots for server in servers)
    lowest = slots
    full_s = None
    while now() < start_s + 10.0:
        running = sum(server.running.total() for server in servers)
        lowest = min(lowest, running)
        if running < FULL_USE_SHARE * slots:
            full_s = None
        elif full_s is None:
            full_s = now()
        await asyncio.sleep(POLL_S)
    if full_s is None:
        return (f"{pool}: not in full use after 10 s, lowest {lowest} of {slots}",)
    return (
        f"{pool}: continuously in full use after {full_s - start_s:.2f} s,"
        f" lowest {lowest} of {slots} slots",
    )


FAULT_BY_NAME = {
    "none": no_fault,
    "scheduler-loss": lose_scheduler,
    "scheduler-cut": cut_scheduler,
    "router-restart": restart_router,
    "partition": cut_router,
    "server-leaving": let_server_leave,
    "server-death": kill_server,
}
