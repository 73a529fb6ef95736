"""Measures a change of one route in tables of several sizes.

Prints the time until the change is accepted and until it is in force everywhere, the
longest time that the event loop was blocked, and the processor time of the whole fleet.
All hosts run in this process over in-memory links, with their data folders on a local
disk, so that they share its processor.
"""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tools"))

from almondfield_control import ControlNode
from almondfield_core.clock import WallClock
from almondfield_core.messages import TableChange
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Pool, Route, Tables, hash_key
from almondfield_testing import InMemoryNetwork

SECURITY = SecuritySettings("", "", "")
VOTERS = 3
ROUTES_PER_TEAM = 2
POOLS = 100
POLL_S = 0.005
PROBE_S = 0.002
MS_PER_S = 1000.0


@dataclass(frozen=True)
class Figures:
    """Figures of one change, in seconds.

    :ivar accepted_s: time until it was accepted.
    :ivar in_force_s: time until it was in force at every host.
    :ivar blocked_s: longest time that the event loop was blocked.
    :ivar processor_s: processor time of all hosts.
    """

    accepted_s: float
    in_force_s: float
    blocked_s: float
    processor_s: float

    def __str__(self) -> str:
        """Return the figures in milliseconds."""
        return (
            f"accepted {self.accepted_s * MS_PER_S:.0f} ms, "
            f"in force {self.in_force_s * MS_PER_S:.0f} ms, "
            f"loop blocked {self.blocked_s * MS_PER_S:.0f} ms, "
            f"processor {self.processor_s * MS_PER_S:.0f} ms"
        )


class LoopProbe:
    """Records the longest time that the event loop was blocked."""

    def __init__(self) -> None:
        self.blocked_s = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            start_s = time.perf_counter()
            await asyncio.sleep(PROBE_S)
            blocked_s = time.perf_counter() - start_s - PROBE_S
            self.blocked_s = max(self.blocked_s, blocked_s)

    def stop(self) -> None:
        """Stop probing."""
        self._task.cancel()


class ControlNodes:
    """Control nodes of one process; the first three are voters.

    :param count: number of hosts.
    :param folder: parent of their data folders.
    """

    def __init__(self, count: int, folder: Path) -> None:
        network = InMemoryNetwork(delay_s=(0.0, 0.0))
        hosts = tuple(
            HostSettings(f"h{number}", "dc", "127.0.0.1", voter=number < VOTERS)
            for number in range(count)
        )
        for host in hosts:
            (folder / host.name).mkdir()
        clock = WallClock(time.time() - asyncio.get_running_loop().time())
        self.nodes = [
            ControlNode(
                network.peers(host.name),
                DaemonSettings(
                    host.name, hosts, SECURITY, data_folder=str(folder / host.name)
                ),
                clock,
                incarnation=1,
            )
            for host in hosts
        ]
        self.tasks = [asyncio.create_task(node.run()) for node in self.nodes]

    @property
    def control(self):
        """Return the last host's client of the control group."""
        return self.nodes[-1].control

    async def stop(self) -> None:
        """Stop every node."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def change(self, change) -> Figures:
        """Make a change and return its figures."""
        probe = LoopProbe()
        start_s, processor_start_s = time.perf_counter(), time.process_time()
        accepted = (await self.control.apply(change)).unwrap()
        accepted_s = time.perf_counter() - start_s
        while not (await self.control.wait_in_force(accepted.revision, 0)).unwrap_or(
            False
        ):
            await asyncio.sleep(POLL_S)
        in_force_s = time.perf_counter() - start_s
        probe.stop()
        processor_s = time.process_time() - processor_start_s
        return Figures(accepted_s, in_force_s, probe.blocked_s, processor_s)


def make_tables(count: int) -> Tables:
    """Return tables with a number of routes, two per team.

    :param count: number of routes.
    """
    pools = tuple(Pool(f"pool-{number}") for number in range(POOLS))
    routes = tuple(
        Route(
            team=f"team-{number // ROUTES_PER_TEAM}",
            path_prefix=f"/v1/{number % ROUTES_PER_TEAM}",
            pool=f"pool-{number % POOLS}",
            key_hashes=(hash_key(f"key-{number}"),),
        )
        for number in range(count)
    )
    return Tables(0, pools, routes)


def table_change(before: Tables, routes: tuple[Route, ...], change_id: str):
    """Return a change that contains the whole tables."""
    return TableChange(change_id, "bench", before.revision, before.pools, routes)


def row_change(before: Tables, routes: tuple[Route, ...], change_id: str):
    """Return a change that contains the rows that differ."""
    from almondfield_core.messages import RowChange
    from almondfield_core.tables import rows_between

    rows = rows_between(before, Tables(0, before.pools, routes))
    return RowChange(change_id, "bench", before.revision, rows)


async def measure(
    hosts: int, count: int, changes: int, make_change, folder: Path
) -> None:
    """Print the figures of a first change of all routes, then of changes of one route.

    :param hosts: number of hosts.
    :param count: number of routes.
    :param changes: number of changes of one route.
    :param make_change: builds a change of one route.
    :param folder: parent of the data folders.
    """
    fleet = ControlNodes(hosts, folder)
    view = fleet.nodes[-1].view
    tables = make_tables(count)
    # A new leader reports no change as in force until the leases that its
    # predecessor granted have expired.
    await fleet.change(TableChange("empty", "bench", 0, tables.pools, ()))
    await view.wait_for_revision(0)
    first = await fleet.change(
        TableChange("first", "bench", 1, tables.pools, tables.routes)
    )
    print(f"{count} routes, first change of all: {first}", flush=True)
    figures = []
    for number in range(changes):
        before = await view.wait_for_revision(number + 1)
        index = number * count // changes
        changed_route = replace(before.routes[index], queue_limit=number + 1)
        routes = (*before.routes[:index], changed_route, *before.routes[index + 1 :])
        figures.append(
            await fleet.change(make_change(before, routes, f"change-{number}"))
        )
    figures.sort(key=lambda item: item.in_force_s)
    print(f"{count} routes, one route, median of {changes}: {figures[changes // 2]}")
    print(f"{count} routes, one route, slowest: {figures[-1]}", flush=True)
    await fleet.stop()


def main() -> None:
    """Print every figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", help="folder on the disk to measure")
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--changes", type=int, default=9)
    parser.add_argument("--routes", type=int, nargs="+", default=[2000, 6000, 20000])
    parser.add_argument(
        "--whole", action="store_true", help="send the whole tables with each change"
    )
    options = parser.parse_args()
    make_change = table_change if options.whole else row_change
    print(f"{options.hosts} hosts, load average {os.getloadavg()[0]:.1f}")
    for count in options.routes:
        with tempfile.TemporaryDirectory(dir=options.folder) as name:
            asyncio.run(
                measure(options.hosts, count, options.changes, make_change, Path(name))
            )


if __name__ == "__main__":
    main()
