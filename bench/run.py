"""Measures real daemons as processes on 127.0.0.x, with faults; writes one JSON.

``python bench/run.py --profile jaakarp --seconds 60 --fault none --json out.json``
"""

import asyncio
import json
import sys
import tempfile
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from almondfield_core.clock import now
from almondfield_core.tables import PoolKind
from deployment import PROFILE_BY_NAME, Deployment
from direct import measure_added_ms
from faults import find_fault
from fleet import Fleet, FleetError
from limits import raise_open_files
from load import Load
from measures import count_outcomes, measure_pool, percentile

SETTLE_S = 3.0
DRAIN_S = 30.0
FAULT_START_SHARE = 1 / 3

app = cyclopts.App(help="Measure a deployment of real daemons.")


@dataclass(frozen=True)
class Plan:
    """Parameters of one run.

    :ivar load_factor: factor on every team's rate.
    """

    profile: str
    seconds: float
    fault: str
    policy: str
    seed: int
    first_port: int
    load_factor: float


async def run(plan: Plan, folder: Path) -> dict[str, object]:
    """Return the figures of one run."""
    profile = PROFILE_BY_NAME[plan.profile]
    deployment = Deployment(profile, folder, plan.first_port, plan.policy)
    fault = find_fault(plan.fault)
    fleet = Fleet(deployment, relayed=fault.relayed)
    try:
        await fleet.start()
        return await _measure(plan, deployment, fleet, fault)
    finally:
        await fleet.stop()


async def _measure(plan, deployment, fleet, fault) -> dict[str, object]:
    idle_before = fleet.processor_s_by_host()
    await asyncio.sleep(SETTLE_S)
    idle_after = fleet.processor_s_by_host()
    loads = tuple(
        scale(load, plan.load_factor)
        for load in (*deployment.loads(), *fault.loads(deployment))
    )
    load = Load(loads, deployment.seeds, plan.seed)
    before = await fleet.read_control_use()
    start_s = now()
    fault_task = asyncio.create_task(
        _run_fault(fault, fleet, plan.seconds * FAULT_START_SHARE)
    )
    added_latency = asyncio.create_task(measure_added_ms(deployment, plan.seconds))
    sending = asyncio.create_task(load.send_for(plan.seconds, DRAIN_S))
    await asyncio.sleep(plan.seconds)
    after = await fleet.read_control_use()
    end_s = start_s + plan.seconds
    await sending
    fault_notes = await fault_task
    fault_s = None if plan.fault == "none" else fault_notes["began_s"]
    figures = summarize(plan, deployment, fleet, load, loads, (start_s, end_s), fault_s)
    figures |= fleet.control_figures(before, after, plan.seconds)
    figures["added_ms"] = await added_latency
    figures["fault_notes"] = fault_notes
    figures["rest_cpu_share"] = max(
        (idle_after[name] - idle_before[name]) / SETTLE_S for name in idle_before
    )
    figures["daemon_rss_mb"] = fleet.largest_memory_mb()
    return figures


def scale(load, factor: float):
    """Return a team's load with its rate multiplied by a factor."""
    return replace(load, rate=load.rate * factor)


async def _run_fault(fault, fleet, delay_s: float) -> dict[str, object]:
    await asyncio.sleep(delay_s)
    return await fault.run(fleet)


def summarize(plan, deployment, fleet, load, loads, span_s, fault_s):
    """Return the figures computed from the ledgers and the callers' records."""
    records = fleet.read_ledgers()
    pools = []
    for pool in deployment.profile.pools:
        pools.append(
            measure_pool(
                pool.name,
                pool.total_slots,
                tuple(team for team in loads if team.pool == pool.name),
                [record for record in records if record.pool == pool.name],
                load.records,
                *span_s,
                tuple(
                    loss
                    for loss in fleet.losses
                    if loss.server.startswith(f"{pool.name}-")
                ),
                fault_s,
            )
        )
    services = {p.name for p in deployment.profile.pools if p.kind is PoolKind.SERVICE}
    service_calls = [call for call in load.records if call.pool in services]
    service_records = [record for record in records if record.pool in services]
    at_most_once_teams = {call.team for call in service_calls}
    counts = count_outcomes(records, load.records, set())
    counts["ran_twice"] = count_outcomes(
        service_records, service_calls, at_most_once_teams
    )["ran_twice"]
    answered = [call for call in load.records if call.outcome == "answered"]
    worst = max(pools, key=lambda pool: pool.fairness_gap / pool.fairness_bound)
    return {
        "plan": asdict(plan),
        "fairness_gap": worst.fairness_gap,
        "fairness_bound": worst.fairness_bound,
        "utilisation": busy_share(deployment, pools),
        **counts,
        "first_byte_ms": quantiles(call.first_byte_s for call in answered),
        "total_ms": quantiles(call.total_s for call in answered),
        "pools": [asdict(pool) for pool in pools],
        "details": count_refusals(load),
    }


def busy_share(deployment, pools) -> float | None:
    """Return the busy share of all slots while requests wait; None if none waited."""
    slots_by_pool = {plan.name: plan.total_slots for plan in deployment.profile.pools}
    contended = [pool for pool in pools if pool.utilisation is not None]
    offered = sum(slots_by_pool[pool.pool] * pool.waiting_s for pool in contended)
    used = sum(
        slots_by_pool[pool.pool] * pool.waiting_s * pool.utilisation
        for pool in contended
    )
    return used / offered if offered else None


def quantiles(values) -> dict[str, float]:
    """Return p50, p95 and p99 in milliseconds."""
    ordered = sorted(values)
    shares = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    return {name: percentile(ordered, s) * 1000 for name, s in shares.items()}


def count_refusals(load: Load) -> dict[str, int]:
    """Return the number of unanswered requests by outcome, status and detail."""
    counts: dict[str, int] = {}
    for call in load.records:
        if call.outcome != "answered":
            key = f"{call.outcome} {call.status} {call.detail[:90]}"
            counts[key] = counts.get(key, 0) + 1
    return dict(sorted(counts.items(), key=lambda kv: -kv[1])[:12])


@app.default
def main(
    *,
    profile: str = "small",
    seconds: float = 20.0,
    fault: str = "none",
    policy: str = "fair-share",
    seed: int = 1,
    first_port: int = 19080,
    load_factor: float = 1.0,
    json_file: Annotated[Path | None, Parameter(name="--json")] = None,
) -> int:
    """Run one profile and print its figures."""
    raise_open_files()
    plan = Plan(profile, seconds, fault, policy, seed, first_port, load_factor)
    with tempfile.TemporaryDirectory() as folder:
        try:
            figures = asyncio.run(run(plan, Path(folder)))
        except FleetError as problem:
            print(problem, file=sys.stderr)
            return 1
    text = json.dumps(figures, indent=1)
    if json_file:
        json_file.write_text(text + "\n")
    brief = {k: v for k, v in figures.items() if k != "pools"}
    print(json.dumps(brief, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
