"""Measures a change of one route beside tables of several sizes.

Prints the time until the change is accepted and until it is in force everywhere, the
longest time that the event loop was held, and the processor time of the whole fleet.
All hosts run in this process over links in memory, with their data folders on the disk
at hand, so that they share its processor.
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
MILLISECONDS = 1000.0


@dataclass(frozen=True)
class Figures:
    """Figures of one change, in seconds.

    :ivar accepted_s: until it was accepted.
    :ivar in_force_s: until it was in force at every host.
    :ivar held_s: longest time that the event loop was held.
    :ivar used_s: processor time of all hosts.
    """

    accepted_s: float
    in_force_s: float
    held_s: float
    used_s: float

    def __str__(self) -> str:
        """Return the figures in milliseconds."""
        return (
            f"accepted {self.accepted_s * MILLISECONDS:.0f} ms, "
            f"in force {self.in_force_s * MILLISECONDS:.0f} ms, "
            f"loop held {self.held_s * MILLISECONDS:.0f} ms, "
            f"processor {self.used_s * MILLISECONDS:.0f} ms"
        )


class Probe:
    """Notes the longest time that the event loop was held."""

    def __init__(self) -> None:
        self.held_s = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            began = time.perf_counter()
            await asyncio.sleep(PROBE_S)
            held_s = time.perf_counter() - began - PROBE_S
            self.held_s = max(self.held_s, held_s)

    def stop(self) -> None:
        """Stop probing."""
        self._task.cancel()


class Hosts:
    """Control nodes of one process, of which three vote.

    :param count: number of hosts.
    :param folder: where their data folders are.
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
        """Return the control group as the last host reaches it."""
        return self.nodes[-1].control

    async def stop(self) -> None:
        """Stop every node."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def change(self, change) -> Figures:
        """Return the figures of a change."""
        probe = Probe()
        began, used = time.perf_counter(), time.process_time()
        accepted = (await self.control.apply(change)).unwrap()
        accepted_s = time.perf_counter() - began
        while not (await self.control.wait_in_force(accepted.revision, 0)).unwrap_or(
            False
        ):
            await asyncio.sleep(POLL_S)
        in_force_s = time.perf_counter() - began
        probe.stop()
        used_s = time.process_time() - used
        return Figures(accepted_s, in_force_s, probe.held_s, used_s)


def make_tables(count: int) -> Tables:
    """Return tables with a number of routes, two for each team.

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


def whole_change(before: Tables, routes: tuple[Route, ...], change_id: str):
    """Return a change that carries the tables as a whole."""
    return TableChange(change_id, "bench", before.revision, before.pools, routes)


def row_change(before: Tables, routes: tuple[Route, ...], change_id: str):
    """Return a change that carries the rows that differ."""
    from almondfield_core.messages import RowChange
    from almondfield_core.tables import rows_between

    rows = rows_between(before, Tables(0, before.pools, routes))
    return RowChange(change_id, "bench", before.revision, rows)


async def measure(hosts: int, count: int, changes: int, form, folder: Path) -> None:
    """Print the figures of a first change of all routes, then of one route each.

    :param hosts: number of hosts.
    :param count: number of routes.
    :param changes: number of changes of one route.
    :param form: makes a change of the wanted form.
    :param folder: where data folders go.
    """
    fleet = Hosts(hosts, folder)
    view = fleet.nodes[-1].view
    tables = make_tables(count)
    # A leader calls nothing in force before the leases of an earlier one have ended.
    await fleet.change(TableChange("empty", "bench", 0, tables.pools, ()))
    await view.wait_change(0)
    first = await fleet.change(
        TableChange("first", "bench", 1, tables.pools, tables.routes)
    )
    print(f"{count} routes, first change of all: {first}", flush=True)
    figures = []
    for number in range(changes):
        before = await view.wait_change(number + 1)
        place = number * count // changes
        altered = replace(before.routes[place], queue_limit=number + 1)
        routes = (*before.routes[:place], altered, *before.routes[place + 1 :])
        figures.append(await fleet.change(form(before, routes, f"change-{number}")))
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
    parser.add_argument("--whole", action="store_true", help="carry whole tables")
    options = parser.parse_args()
    form = whole_change if options.whole else row_change
    print(f"{options.hosts} hosts, load average {os.getloadavg()[0]:.1f}")
    for count in options.routes:
        with tempfile.TemporaryDirectory(dir=options.folder) as name:
            asyncio.run(
                measure(options.hosts, count, options.changes, form, Path(name))
            )


if __name__ == "__main__":
    main()
