"""Faults of a fleet in memory, and how long it takes to recover."""

import asyncio

from almondfield_core.clock import now
from sharing_fleet import Fleet
from sharing_load import Callers

__all__ = ["FAULT_BY_NAME"]

FAULT_AT_SHARE = 1 / 3
LEASE_MARGIN_S = 0.1
STEP_S = 0.05
FULL_SHARE = 0.95


async def none(fleet: Fleet, callers: Callers, seconds: float) -> tuple[str, ...]:
    """Let nothing fail."""
    return ()


async def lose_scheduler(fleet, callers, seconds) -> tuple[str, ...]:
    """Crash the host that schedules the first pool; another gets the lease."""
    await asyncio.sleep(seconds * FAULT_AT_SHARE)
    pool = fleet.tables.pools[0].name
    lost = fleet.holder(pool)
    held = [p.name for p in fleet.tables.pools if fleet.holder(p.name) == lost]
    began_s = now()
    left_s = fleet.view_by_host[lost].pool_lease_left_s(pool)
    fleet.stop_host(lost)
    await asyncio.sleep(left_s + LEASE_MARGIN_S)
    for name in held:
        fleet.lease(name, fleet.live_hosts()[0])
        fleet.relay_all(name)
    return await _watch_recovery(fleet, pool, began_s)


async def restart_router(fleet, callers, seconds) -> tuple[str, ...]:
    """Restart a router that schedules nothing, with empty memory."""
    await asyncio.sleep(seconds * FAULT_AT_SHARE)
    began_s = now()
    fleet.stop_host(fleet.hosts[-1])
    await asyncio.sleep(0.5)
    fleet.start_host(fleet.hosts[-1])
    return await _watch_recovery(fleet, fleet.tables.pools[0].name, began_s)


async def cut_router(fleet, callers, seconds) -> tuple[str, ...]:
    """Cut a router off for 5 s."""
    await asyncio.sleep(seconds * FAULT_AT_SHARE)
    began_s = now()
    fleet.isolate(fleet.hosts[-1])
    await asyncio.sleep(5.0)
    fleet.heal()
    return await _watch_recovery(fleet, fleet.tables.pools[0].name, began_s)


async def cut_scheduler(fleet, callers, seconds) -> tuple[str, ...]:
    """Cut the first pool's scheduler off for 5 s; another gets the lease."""
    await asyncio.sleep(seconds * FAULT_AT_SHARE)
    pool = fleet.tables.pools[0].name
    began_s = now()
    holder = fleet.holder(pool)
    left_s = fleet.view_by_host[holder].pool_lease_left_s(pool)
    fleet.isolate(holder)
    await asyncio.sleep(left_s + LEASE_MARGIN_S)
    fleet.lease(pool, fleet.live_hosts()[1])
    fleet.relay_all(pool)
    notes = await _watch_recovery(fleet, pool, began_s)
    await asyncio.sleep(max(0.0, began_s + 5.0 - now()))
    fleet.heal()
    return notes


async def let_server_leave(fleet, callers, seconds) -> tuple[str, ...]:
    """Let a server of the first pool leave."""
    await asyncio.sleep(seconds * FAULT_AT_SHARE)
    name = next(iter(fleet.server_by_name))
    began_s = now()
    fleet.leave(name)
    await asyncio.sleep(5.0)
    starts = [
        run.time_s - began_s
        for run in callers.runs
        if run.server == name and run.event == "start"
    ]
    return (f"last start on the leaving server after {max(starts):.3f} s",)


async def kill_server(fleet, callers, seconds) -> tuple[str, ...]:
    """Kill a server of the first pool; calls to it fail at once."""
    await asyncio.sleep(seconds * FAULT_AT_SHARE)
    name = next(iter(fleet.server_by_name))
    fleet.server_by_name[name].alive = False
    return (f"killed {name}",)


async def _watch_recovery(fleet: Fleet, pool: str, began_s: float) -> tuple[str, ...]:
    """Return how long the pool's slots were not in full use from a time on."""
    kind = next(p.kind for p in fleet.tables.pools if p.name == pool)
    servers = [s for s in fleet.server_by_name.values() if s.announcement.kind == kind]
    slots = sum(server.announcement.slots for server in servers)
    lowest = slots
    full_s = None
    while now() < began_s + 10.0:
        running = sum(server.running.total() for server in servers)
        lowest = min(lowest, running)
        if running < FULL_SHARE * slots:
            full_s = None
        elif full_s is None:
            full_s = now()
        await asyncio.sleep(STEP_S)
    if full_s is None:
        return (f"{pool}: not in full use after 10 s, lowest {lowest} of {slots}",)
    return (
        f"{pool}: in full use for good after {full_s - began_s:.2f} s,"
        f" lowest {lowest} of {slots} slots",
    )


FAULT_BY_NAME = {
    "none": none,
    "scheduler-loss": lose_scheduler,
    "scheduler-cut": cut_scheduler,
    "router-restart": restart_router,
    "partition": cut_router,
    "server-leaving": let_server_leave,
    "server-death": kill_server,
}
