"""Faults injected into a measured run, with signals and silent relays."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from almondfield_core.clock import now
from deployment import Deployment
from fleet import Fleet
from load import TeamLoad

__all__ = ["FAULT_BY_NAME", "Fault", "find_fault"]

SUSPENSION_S = 8.0
RESTART_AFTER_S = 1.0
PARTITION_S = 8.0
LEAVE_GRACE_S = 2.0
FLOOD_FACTOR = 20.0


@dataclass(frozen=True)
class Fault:
    """One fault.

    :ivar inject: injects the fault and returns notes about it.
    :ivar relayed: whether it needs relays on the paths.
    :ivar flood: whether a team floods the first pool through one router.
    """

    inject: Callable[[Fleet], Awaitable[dict[str, object]]]
    relayed: bool = False
    flood: bool = False

    async def run(self, fleet: Fleet) -> dict[str, object]:
        """Inject the fault; return its notes and its start time."""
        began_s = now()
        notes = await self.inject(fleet)
        return {"began_s": began_s, **notes}

    def loads(self, deployment: Deployment) -> tuple[TeamLoad, ...]:
        """Return the load that the fault adds."""
        if not self.flood:
            return ()
        plan = deployment.profile.pools[0]
        rate = FLOOD_FACTOR * plan.total_slots / plan.mean_cost_s
        last = deployment.loads()[deployment.profile.teams - 1]
        return (replace(last, rate=rate, router=0),)


async def inject_nothing(fleet: Fleet) -> dict[str, object]:
    """Inject no fault."""
    return {}


async def kill_scheduler(fleet: Fleet) -> dict[str, object]:
    """Kill the daemon that schedules the first pool."""
    name = (await fleet.schedulers())[fleet.deployment.profile.pools[0].name]
    fleet.daemon_by_host[name].kill()
    return {"killed": name}


async def suspend_scheduler(fleet: Fleet) -> dict[str, object]:
    """Suspend the daemon that schedules the first pool for a time."""
    name = (await fleet.schedulers())[fleet.deployment.profile.pools[0].name]
    process = fleet.daemon_by_host[name]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(SUSPENSION_S)
    process.send_signal(signal.SIGCONT)
    return {"stopped": name}


async def cut_scheduler(fleet: Fleet) -> dict[str, object]:
    """Silence every path to and from the host that schedules the first pool."""
    name = (await fleet.schedulers())[fleet.deployment.profile.pools[0].name]
    await _cut_paths(fleet, lambda source, target: name in (source, target))
    return {"cut": name}


async def restart_router(fleet: Fleet) -> dict[str, object]:
    """Kill the daemon of a host that schedules nothing, and start it again."""
    scheduling = set((await fleet.schedulers()).values())
    hosts = [h for h in fleet.deployment.hosts if h.name not in scheduling]
    host = next((h for h in hosts if not h.voter), hosts[-1])
    fleet.daemon_by_host[host.name].kill()
    fleet.daemon_by_host[host.name].wait()
    await asyncio.sleep(RESTART_AFTER_S)
    fleet.start_daemon(host)
    return {"restarted": host.name}


async def partition_router(fleet: Fleet) -> dict[str, object]:
    """Cut one router off from half of its peers for a time."""
    names = [host.name for host in fleet.deployment.hosts]
    scheduling = set((await fleet.schedulers()).values())
    name = next(n for n in reversed(names) if n not in scheduling)
    others = {n for n in names[::2] if n != name}
    await _cut_paths(
        fleet,
        lambda source, target: (
            (source == name and target in others)
            or (target == name and source in others)
        ),
    )
    return {"partitioned": name, "from": sorted(others)}


async def _cut_paths(fleet: Fleet, is_selected) -> None:
    relays = [
        relay
        for (source, target), relay in fleet.relay_by_path.items()
        if source and is_selected(source, target)
    ]
    for relay in relays:
        relay.cut = True
    await asyncio.sleep(PARTITION_S)
    for relay in relays:
        relay.cut = False


async def silence_peers(fleet: Fleet) -> dict[str, object]:
    """Silence every open connection between hosts; new ones work."""
    for (source, _), relay in fleet.relay_by_path.items():
        if source:
            relay.silence_open_connections()
    return {}


async def silence_server(fleet: Fleet) -> dict[str, object]:
    """Silence every open connection to the first stand-in; new ones work."""
    name = next(iter(fleet.stand_in_by_name))
    fleet.relay_by_path["", name].silence_open_connections()
    return {"silenced": name}


async def leave_server(fleet: Fleet) -> dict[str, object]:
    """Make the first stand-in leave; count requests it starts more than 2 s later."""
    name, process = next(iter(fleet.stand_in_by_name.items()))
    leaving_since_s = now()
    process.send_signal(signal.SIGUSR1)
    fleet.record_loss(name, died=False)
    await asyncio.sleep(2 * LEAVE_GRACE_S)
    path = fleet.deployment.folder / f"{name}.ledger"
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    late_starts = [
        line
        for line in lines
        if line["event"] == "start" and line["time_s"] > leaving_since_s + LEAVE_GRACE_S
    ]
    return {"left": name, "started_after_2_s": len(late_starts)}


async def kill_server(fleet: Fleet) -> dict[str, object]:
    """Kill the first stand-in and the requests that run on it."""
    name, process = next(iter(fleet.stand_in_by_name.items()))
    process.kill()
    fleet.record_loss(name, died=True)
    return {"killed": name}


async def restart_all(fleet: Fleet) -> dict[str, object]:
    """Shut down every daemon gracefully, one after another, and start it again."""
    codes = {}
    for host in fleet.deployment.hosts:
        codes[host.name] = await fleet.stop_daemon(host.name)
        fleet.start_daemon(host)
        await asyncio.sleep(LEAVE_GRACE_S)
    return {"exit_codes": codes}


FAULT_BY_NAME = {
    "none": Fault(inject_nothing),
    "flood": Fault(inject_nothing, flood=True),
    "scheduler-kill": Fault(kill_scheduler),
    "scheduler-stop": Fault(suspend_scheduler),
    "scheduler-cut": Fault(cut_scheduler, relayed=True),
    "router-restart": Fault(restart_router),
    "partition": Fault(partition_router, relayed=True),
    "silent-peers": Fault(silence_peers, relayed=True),
    "silent-server": Fault(silence_server, relayed=True),
    "server-leave": Fault(leave_server),
    "server-kill": Fault(kill_server),
    "rolling-restart": Fault(restart_all),
}


def find_fault(names: str) -> Fault:
    """Return a fault, or several combined faults that start together.

    :param names: names of faults, joined by ``+``.
    :raises KeyError: if there is no such fault.
    """
    faults = [FAULT_BY_NAME[name] for name in names.split("+")]

    async def inject(fleet: Fleet) -> dict[str, object]:
        results = await asyncio.gather(*(fault.inject(fleet) for fault in faults))
        return {key: value for notes in results for key, value in notes.items()}

    return Fault(
        inject,
        relayed=any(fault.relayed for fault in faults),
        flood=any(fault.flood for fault in faults),
    )
