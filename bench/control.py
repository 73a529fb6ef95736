"""Measures the control group on a local disk.

Prints the latency of changes with 1, 3 and 5 voters beside one fsync of the same disk
in the same run, the rate and processor time of claims, and the time of a restart after
many changes. All voters run in this process over in-memory links without delay, so
that they share its disk and processor.
"""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from almondfield_control import ControlNode
from almondfield_core.clock import WallClock
from almondfield_core.messages import ClaimRequest, RowChange
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Pool, TableRows
from almondfield_testing import InMemoryNetwork

SECURITY = SecuritySettings("", "", "")
RECORD_BYTES = 400
CONCURRENT_CLAIMS = 200
MS_PER_S = 1000.0


class VoterGroup:
    """Control nodes of one process.

    :param voters: number of voters.
    :param folder: parent of their data folders.
    """

    def __init__(self, voters: int, folder: Path) -> None:
        network = InMemoryNetwork(delay_s=(0.0, 0.0))
        names = [f"h{number}" for number in range(voters)]
        hosts = tuple(HostSettings(n, "dc", "127.0.0.1", voter=True) for n in names)
        clock = WallClock(time.time() - asyncio.get_running_loop().time())
        for name in names:
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.nodes = [
            ControlNode(
                network.peers(name),
                DaemonSettings(name, hosts, SECURITY, data_folder=str(folder / name)),
                clock,
                incarnation=1,
            )
            for name in names
        ]
        self.tasks = [asyncio.create_task(node.run()) for node in self.nodes]

    async def stop(self) -> None:
        """Stop every node."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def change(self, revision: int) -> None:
        """Make one change against a revision."""
        rows = TableRows(put_pools=(Pool(f"pool-{revision % 10}"),))
        change = RowChange(f"change-{revision}", "bench", revision, rows)
        outcome = await self.nodes[0].control.apply(change)
        assert outcome.is_ok(), outcome


def measure_fsync(folder: Path, count: int) -> list[float]:
    """Return the seconds that each append and sync of a record took.

    :param folder: a folder on the disk.
    :param count: number of records.
    """
    times = []
    descriptor = os.open(folder / "probe", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    for _ in range(count):
        start_s = time.perf_counter()
        os.write(descriptor, b"x" * RECORD_BYTES)
        os.fdatasync(descriptor)
        times.append(time.perf_counter() - start_s)
    os.close(descriptor)
    return times


async def measure_changes(voters: int, folder: Path, count: int) -> list[float]:
    """Return the seconds that each of several sequential changes took.

    :param voters: number of voters.
    :param folder: parent of the data folders.
    :param count: number of changes.
    """
    group = VoterGroup(voters, folder)
    await group.change(0)
    times = []
    for revision in range(1, count + 1):
        start_s = time.perf_counter()
        await group.change(revision)
        times.append(time.perf_counter() - start_s)
    await group.stop()
    return times


async def measure_claims(folder: Path, rounds: int) -> tuple[float, float]:
    """Return claims per second, and processor seconds of all voters per claim.

    :param folder: parent of the data folders.
    :param rounds: number of batches of concurrent claims.
    """
    group = VoterGroup(3, folder)
    await group.change(0)
    control = group.nodes[0].control
    start_s, processor_start_s = time.perf_counter(), time.process_time()
    for number in range(rounds):
        requests = [
            ClaimRequest("team", f"{number}-{n}", "print", f"{number}-{n}")
            for n in range(CONCURRENT_CLAIMS)
        ]
        outcomes = await asyncio.gather(*(control.claim(item) for item in requests))
        assert all(outcome.is_ok() for outcome in outcomes)
    claims = rounds * CONCURRENT_CLAIMS
    rate = claims / (time.perf_counter() - start_s)
    cost_s = (time.process_time() - processor_start_s) / claims
    await group.stop()
    return rate, cost_s


async def measure_restart(folder: Path, count: int) -> tuple[float, float]:
    """Return seconds until the log is recovered, and until a change is accepted.

    :param folder: parent of the data folder.
    :param count: number of changes before the restart.
    """
    group = VoterGroup(1, folder)
    for revision in range(count):
        await group.change(revision)
    await group.stop()
    start_s = time.perf_counter()
    group = VoterGroup(1, folder)
    while group.nodes[0].replica.durable_index < count:
        await asyncio.sleep(0.005)
    recovered_s = time.perf_counter() - start_s
    await group.change(count)
    changed_s = time.perf_counter() - start_s
    await group.stop()
    return recovered_s, changed_s


def format_percentiles(times: list[float]) -> str:
    """Return the 50th and 99th percentile of times, in milliseconds, as text.

    :param times: times in seconds.
    """
    ordered = sorted(times)
    p50_ms = ordered[len(ordered) // 2] * MS_PER_S
    p99_ms = ordered[int(len(ordered) * 0.99)] * MS_PER_S
    return f"p50 {p50_ms:.2f} ms, p99 {p99_ms:.2f} ms"


def main() -> None:
    """Print every figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", help="folder on the disk to measure")
    parser.add_argument("--changes", type=int, default=300)
    parser.add_argument("--restart-changes", type=int, default=10_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        folder = Path(name)
        print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
        print(f"fsync: {format_percentiles(measure_fsync(folder, options.changes))}")
        for voters in (1, 3, 5):
            path = folder / f"voters-{voters}"
            times = asyncio.run(measure_changes(voters, path, options.changes))
            print(f"change, {voters} voters: {format_percentiles(times)}")
        rate, cost_s = asyncio.run(measure_claims(folder / "claims", 20))
        cost_ms = cost_s * MS_PER_S
        print(f"claims: {rate:.0f}/s, {cost_ms:.3f} ms of processor time each")
        count = options.restart_changes
        recovered_s, changed_s = asyncio.run(measure_restart(folder / "restart", count))
        print(
            f"restart after {count} changes: recovered in {recovered_s:.2f} s, "
            f"next change accepted after {changed_s:.2f} s"
        )


if __name__ == "__main__":
    main()
