"""Runs three hosts, four stand-ins and five teams in one process.

The exit code is 0 only if every guarantee held.
"""

import asyncio
import json
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiosonic

from almondfield_cli.main import apply_file
from almondfield_core.clock import now
from almondfield_core.messages import ServerAnnouncement
from almondfield_core.settings import load_settings
from almondfield_daemon.runtime import Daemon, load_secrets
from deployment import (
    BACKEND_TOKEN,
    OPERATOR_TOKEN,
    PROFILE_BY_NAME,
    Deployment,
)
from limits import raise_open_files
from load import Load
from measures import PoolFigures, count_outcomes, measure_pool
from standins import StandInServer

LOAD_S = 10
DRAIN_S = 25
SETTLE_S = 2.0
FIRST_PORT = 18080
READY_TIMEOUT_S = 20.0
MIN_UTILISATION = 0.9
SEED = 1


@dataclass(frozen=True)
class Outcome:
    """Results of the run.

    :ivar figures: figures of each pool.
    :ivar counts: number of requests by outcome, and of violated guarantees.
    :ivar control_bytes_per_second: largest control traffic of a host.
    """

    figures: tuple[PoolFigures, ...]
    counts: dict[str, int]
    control_bytes_per_second: float


def build_daemons(deployment: Deployment) -> list[Daemon]:
    """Return the daemons of a deployment, not yet started."""
    daemons = []
    for host in deployment.hosts:
        settings = load_settings(host.settings_file).unwrap()
        secrets = load_secrets(settings.security).unwrap()
        daemons.append(Daemon(settings, secrets, time.time()))
    return daemons


def build_stand_ins(deployment: Deployment) -> list[StandInServer]:
    """Return the stand-ins of a deployment, not yet started."""
    stand_ins = []
    for plan in deployment.profile.pools:
        for index in range(plan.servers):
            announcement = ServerAnnouncement(
                name=f"{plan.name}-{index + 1}",
                incarnation=1,
                address=deployment.stand_in_address(plan, index),
                data_centre=deployment.stand_in_data_centre(index),
                kind=plan.kind,
                slots=plan.slots,
                label_by_name={"pool": plan.name},
            )
            stand_ins.append(
                StandInServer(announcement, plan.name, BACKEND_TOKEN, deployment.seeds)
            )
    return stand_ins


async def apply_tables(deployment: Deployment) -> None:
    """Apply the deployment's tables through an operator port, as the CLI does."""
    await apply_file(
        deployment.folder / "tables.toml", deployment.operators, OPERATOR_TOKEN
    )


async def wait_ready(deployment: Deployment) -> None:
    """Return once every host reports that it is ready."""
    async with aiosonic.HTTPClient() as client, asyncio.timeout(READY_TIMEOUT_S):
        for operator in deployment.operators:
            while True:
                answer = await client.get(f"http://{operator}/ready")
                await answer.content()
                if answer.status_code == 200:
                    break
                await asyncio.sleep(0.1)


def control_bytes(daemon: Daemon) -> int:
    """Return the bytes that a daemon has sent to the other hosts."""
    frames = daemon.peers.stats().stats_by_kind.get("frames")
    return frames.sent_bytes if frames else 0


async def show_progress(load: Load) -> None:
    """Print one line a second."""
    while True:
        await asyncio.sleep(1)
        print(f"  {len(load.records)} answered, {load.running} running", flush=True)


async def run(deployment: Deployment) -> Outcome:
    """Return the results of ten seconds of load."""
    daemons = build_daemons(deployment)
    for daemon in daemons:
        await daemon.start()
    stand_ins = build_stand_ins(deployment)
    for stand_in in stand_ins:
        await stand_in.start()
    await wait_ready(deployment)
    await apply_tables(deployment)
    await asyncio.sleep(SETTLE_S)
    load = Load(deployment.loads(), deployment.seeds, SEED)
    progress = asyncio.create_task(show_progress(load))
    control_before = [control_bytes(daemon) for daemon in daemons]
    start_s = now()
    await load.send_for(LOAD_S, DRAIN_S)
    end_s = start_s + LOAD_S
    sent_s = now() - start_s
    progress.cancel()
    control_after = [control_bytes(daemon) for daemon in daemons]
    outcome = measure(deployment, stand_ins, load, start_s, end_s)
    rates = [(b - a) / sent_s for a, b in zip(control_before, control_after)]
    for part in (*stand_ins, *daemons):
        await (part.stop() if isinstance(part, StandInServer) else part.close())
    return Outcome(outcome[0], outcome[1], max(rates))


def measure(deployment, stand_ins, load, start_s, end_s):
    """Return the figures of each pool and the counts."""
    records = [record for stand_in in stand_ins for record in stand_in.records]
    figures = []
    for plan in deployment.profile.pools:
        figures.append(
            measure_pool(
                plan.name,
                plan.total_slots,
                tuple(t for t in deployment.loads() if t.pool == plan.name),
                [record for record in records if record.pool == plan.name],
                load.records,
                start_s,
                end_s,
            )
        )
    at_most_once_teams = {t.team for t in deployment.loads()}
    service_records = [r for r in records if r.pool == "orders"]
    counts = count_outcomes(service_records, load.records, at_most_once_teams)
    return tuple(figures), counts


def report(outcome: Outcome) -> None:
    """Print the figures."""
    for pool in outcome.figures:
        print(f"\npool {pool.pool}")
        print("  team       requests  service  wanted   got     p50 ms   p95 ms")
        for team in pool.teams:
            print(
                f"  {team.team:10} {team.requests:8} {team.service:8.2f}"
                f" {team.share_wanted:7.3f} {team.share_got:7.3f}"
                f" {team.first_byte_p50_s * 1000:8.1f}"
                f" {team.first_byte_p95_s * 1000:8.1f}"
            )
        print(
            f"  fairness gap {pool.fairness_gap:.2f}"
            f" (bound {pool.fairness_bound:.2f}) slot-seconds per weight"
        )
        if pool.utilisation is not None:
            print(f"  utilisation while work waits {pool.utilisation:.3f}")
    print(f"\n{json.dumps(outcome.counts)}")
    print(
        f"control bytes a second, largest host: {outcome.control_bytes_per_second:.0f}"
    )


def find_violations(outcome: Outcome) -> list[str]:
    """Return the violated guarantees."""
    violations = [
        f"{name}: {outcome.counts[name]}"
        for name in ("wrong_answers", "ran_twice", "not_run_but_ran", "unfinished")
        if outcome.counts[name]
    ]
    if not outcome.counts["answered"]:
        violations.append("no request was answered")
    for pool in outcome.figures:
        if pool.fairness_gap > pool.fairness_bound:
            violations.append(f"fairness gap of {pool.pool}: {pool.fairness_gap:.2f}")
        busy = pool.utilisation
        if busy is not None and pool.waiting_s > 1 and busy < MIN_UTILISATION:
            violations.append(f"utilisation of {pool.pool}: {busy:.3f}")
    return violations


def main() -> int:
    """Run the demo and return 0 if every guarantee held."""
    raise_open_files()
    with tempfile.TemporaryDirectory() as folder:
        profile = PROFILE_BY_NAME["small"]
        deployment = Deployment(profile, Path(folder), FIRST_PORT, "fair-share")
        deployment.write()
        print(f"three hosts on 127.0.0.1-3, load for {LOAD_S} s")
        outcome = asyncio.run(run(deployment))
    report(outcome)
    violations = find_violations(outcome)
    for violation in violations:
        print(f"violated: {violation}", file=sys.stderr)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
