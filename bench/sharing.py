"""Measures fair sharing on a paused clock, over in-memory links.

``python bench/sharing.py --profile jaakarp --seconds 60 --policy fair-share``
"""

import asyncio
import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cyclopts
import looptime
from cyclopts import Parameter

from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.settings import SharingPolicy
from almondfield_core.tables import Pool
from almondfield_fairshare.bound import fairness_bound, interval_bound
from almondfield_testing import InMemoryNetwork
from deployment import PROFILE_BY_NAME, Deployment, PoolPlan, Profile
from load import MAX_COST_FACTOR, TeamLoad
from measures import measure_pool, percentile
from sharing_faults import FAULT_BY_NAME
from sharing_fleet import Fleet
from sharing_load import Callers

__all__ = ["Plan", "measure"]

SETTLE_S = 2.0
MESSAGE_CPU_S = 0.00025
MAX_CPU_SHARE = 0.011
MAX_BYTES_PER_S = 10_000
LARGEST_WINDOW_S = 0.3
LINK_DELAY_S = 0.002

app = cyclopts.App(help="Measure fair sharing in memory.")


class CountingNetwork(InMemoryNetwork):
    """In-memory links that count messages and bytes by host."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, (LINK_DELAY_S, LINK_DELAY_S))
        self.sent_by_host: Counter = Counter()
        self.received_by_host: Counter = Counter()
        self.bytes_by_host: Counter = Counter()

    def deliver(self, source, target, kind, body, tag) -> None:
        """Deliver or drop one message.

        Local messages and announcement relays are not counted.
        """
        if source != target and kind != "announcement-relay":
            self.sent_by_host[source] += 1
            self.received_by_host[target] += 1
            self.bytes_by_host[source] += len(body)
        super().deliver(source, target, kind, body, tag)


@dataclass(frozen=True)
class Plan:
    """Parameters of one run.

    :ivar load_factor: factor on every team's rate.
    :ivar flood: whether one team floods the first pool from one host.
    """

    profile: str = "jaakarp"
    seconds: float = 60.0
    policy: str = "fair-share"
    fault: str = "none"
    seed: int = 1
    load_factor: float = 1.0
    flood: bool = False


@dataclass(frozen=True)
class PoolResult:
    """Figures of one pool; gaps and bounds in slot-seconds per weight."""

    pool: str
    utilisation: float | None
    waiting_s: float
    gap: float
    window_gap: float
    one_sided_bound: float
    interval_bound: float
    is_within_bound: bool
    smallest_share: float
    wait_p50_ms: float
    wait_p99_ms: float
    freed_to_start_p95_ms: float


@dataclass(frozen=True)
class HostResult:
    """Control traffic of one host, for all pools together."""

    host: str
    scheduled_pools: tuple[str, ...]
    messages_per_s: float
    sent_bytes_per_s: float
    cpu_share: float


@dataclass(frozen=True)
class RunResult:
    """Figures of one run."""

    pools: tuple[PoolResult, ...]
    hosts: tuple[HostResult, ...]
    refused: dict[str, int]
    over_slots: int
    notes: tuple[str, ...]


def measure(plan: Plan) -> RunResult:
    """Return the figures of one run.

    :param plan: parameters of the run.
    """
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_measure(plan))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()


async def _measure(plan: Plan) -> RunResult:
    profile = PROFILE_BY_NAME[plan.profile]
    network = CountingNetwork(plan.seed)
    fleet = _build_fleet(profile, plan, network)
    callers = Callers(fleet, plan.seed)
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    loads = _loads(profile, plan)
    for load in loads:
        callers.send_at_rate(load)
    before = _traffic(network)
    start_s = now()
    fault = FAULT_BY_NAME[plan.fault]
    notes = asyncio.create_task(fault(fleet, callers, plan.seconds))
    await asyncio.sleep(plan.seconds)
    pools = tuple(_pool_result(pool, loads, callers, start_s) for pool in profile.pools)
    hosts = tuple(
        _host_result(host, fleet, before, _traffic(network), plan.seconds)
        for host in fleet.hosts
    )
    result = RunResult(
        pools,
        hosts,
        {reason.value: count for reason, count in callers.refused.items()},
        sum(server.over_slots for server in fleet.server_by_name.values()),
        notes.result() if notes.done() else ("the fault had not ended",),
    )
    callers.stop()
    return result


def _build_fleet(profile: Profile, plan: Plan, network: InMemoryNetwork) -> Fleet:
    servers = tuple(
        ServerAnnouncement(
            f"{pool.name}-{index + 1}", 1, "", "dc1", pool.kind, pool.slots
        )
        for pool in profile.pools
        for index in range(pool.servers)
    )
    rows = tuple(
        Pool(pool.name, pool.kind, typical_cost=pool.mean_cost_s)
        for pool in profile.pools
    )
    hosts = sum(profile.hosts_by_data_centre.values())
    policy = SharingPolicy(plan.policy)
    return Fleet(hosts, rows, servers, plan.seed, policy, network)


def _loads(profile: Profile, plan: Plan) -> tuple[TeamLoad, ...]:
    """Return the load of each team, the flood last."""
    deployment = Deployment(profile, Path(), 0, plan.policy)
    loads = [
        TeamLoad(**(vars(load) | {"rate": load.rate * plan.load_factor}))
        for load in deployment.loads()
    ]
    if plan.flood:
        pool = profile.pools[0]
        rate = 20 * pool.total_slots / pool.mean_cost_s
        loads.append(
            TeamLoad(**(vars(loads[0]) | {"team": "flood", "rate": rate, "router": 0}))
        )
    return tuple(loads)


def _pool_result(
    pool: PoolPlan, loads: tuple[TeamLoad, ...], callers: Callers, start_s: float
) -> PoolResult:
    teams = tuple(load for load in loads if load.pool == pool.name)
    runs = [run for run in callers.runs if run.pool == pool.name]
    figures = measure_pool(
        pool.name, pool.total_slots, teams, runs, callers.all_calls(), start_s, now()
    )
    lightest = min(load.weight for load in teams)
    largest_s = pool.mean_cost_s * MAX_COST_FACTOR
    sizes = (pool.total_slots, largest_s, lightest, LARGEST_WINDOW_S, pool.mean_cost_s)
    shares = [
        team.share_got / team.share_wanted
        for team in figures.teams
        if team.requests and team.share_wanted
    ]
    waits_s = callers.waits_s_by_pool.get(pool.name, [])
    idle_s = callers.slot_monitor.idle_s_by_pool.get(pool.name, [])
    return PoolResult(
        pool.name,
        figures.utilisation,
        figures.waiting_s,
        figures.fairness_gap,
        figures.window_gap,
        fairness_bound(*sizes),
        interval_bound(*sizes),
        figures.fairness_gap <= interval_bound(*sizes),
        min(shares),
        percentile(waits_s, 0.5) * 1000,
        percentile(waits_s, 0.99) * 1000,
        percentile(idle_s, 0.95) * 1000,
    )


def _traffic(network: CountingNetwork) -> tuple[Counter, Counter, Counter]:
    return (
        Counter(network.sent_by_host),
        Counter(network.received_by_host),
        Counter(network.bytes_by_host),
    )


def _host_result(host, fleet: Fleet, before, after, seconds: float) -> HostResult:
    sent, received, sent_bytes = (a[host] - b[host] for a, b in zip(after, before))
    messages_per_s = (sent + received) / seconds
    schedulers = fleet.schedulers_by_host[host].stats()
    return HostResult(
        host,
        schedulers.pools,
        messages_per_s,
        sent_bytes / seconds,
        messages_per_s * MESSAGE_CPU_S,
    )


def _print_result(plan: Plan, result: RunResult) -> None:
    print(json.dumps(asdict(plan)))
    for pool in result.pools:
        used = "-" if pool.utilisation is None else f"{pool.utilisation:.2%}"
        print(
            f"{pool.pool}: used {used} of the {pool.waiting_s:.1f} s with waiting work;"
            f" gap {pool.gap:.1f}, in 5 s {pool.window_gap:.1f}"
            f" (one-sided bound {pool.one_sided_bound:.1f}, over any interval"
            f" {pool.interval_bound:.1f});"
            f" least share {pool.smallest_share:.2f} of its weight;"
            f" wait p50 {pool.wait_p50_ms:.2f} ms, p99 {pool.wait_p99_ms:.2f} ms;"
            f" freed slot to next start p95 {pool.freed_to_start_p95_ms:.2f} ms"
        )
    routers = [host for host in result.hosts if not host.scheduled_pools]
    schedulers = [host for host in result.hosts if host.scheduled_pools]
    for name, hosts in (("router", routers), ("scheduler", schedulers)):
        messages = max(host.messages_per_s for host in hosts)
        sent = max(host.sent_bytes_per_s for host in hosts)
        cpu = max(host.cpu_share for host in hosts)
        print(
            f"busiest {name}: {messages:.1f} messages/s, {sent:.0f} bytes/s sent,"
            f" {cpu:.2%} of a core"
        )
    print(
        f"refused {result.refused}; starts beyond a server's slots {result.over_slots}"
    )
    for note in result.notes:
        print(note)


@app.default
def main(plan: Annotated[Plan, Parameter(name="*")] = Plan()) -> None:
    """Print the figures of a run; exit with 1 if a bound or slot limit is exceeded."""
    result = measure(plan)
    _print_result(plan, result)
    if result.over_slots or not all(pool.is_within_bound for pool in result.pools):
        sys.exit(1)


if __name__ == "__main__":
    app()
