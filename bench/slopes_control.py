"""Slopes of the control group: hosts, table rows, changes and claims."""

import asyncio
import random
import tracemalloc

from result import Ok

from almondfield_control import ControlNode
from almondfield_core.clock import WallClock
from almondfield_core.messages import ClaimRequest, TableChange
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Pool, Route, hash_key
from slopes_fit import Slope, fit
from slopes_harness import HostUse, MeteredNetwork, attributed_to, run_metered

__all__ = ["measure_control"]

US_PER_S = 1e6
VOTERS = 3
POOLS = 13
SYNC_S = 0.001
HOSTS = (5, 10, 20, 40)
ROWS = (100, 200, 400, 800)
CHANGES = (0, 2, 4, 8)
CLAIMS = (0, 25, 50, 100)
KEPT_CLAIMS = (50, 100, 150, 200)
MEASURE_S = 4.0
SECURITY = SecuritySettings("", "", "")


class _MemoryDisk:
    """The disk port in memory; each write is delayed by the time of a disk sync."""

    def __init__(self) -> None:
        self.file_by_name: dict[str, bytes] = {}
        self.written = 0

    async def names(self):
        return tuple(sorted(self.file_by_name))

    async def read(self, name):
        return self.file_by_name[name]

    async def append(self, name, data):
        await asyncio.sleep(SYNC_S)
        self.written += len(data)
        self.file_by_name[name] = self.file_by_name.get(name, b"") + data

    async def truncate(self, name, size):
        self.file_by_name[name] = self.file_by_name[name][:size]

    async def replace(self, name, data):
        await asyncio.sleep(SYNC_S)
        self.written += len(data)
        self.file_by_name[name] = bytes(data)

    async def remove(self, name):
        self.file_by_name.pop(name, None)

    def close(self):
        pass


class _ControlGroup:
    """Control nodes of a region; the first three hosts are voters."""

    def __init__(self, hosts: int) -> None:
        self.network = MeteredNetwork(seed=4)
        self.names = [f"host-{number}" for number in range(hosts)]
        self.disks = {name: _MemoryDisk() for name in self.names[:VOTERS]}
        self.nodes: dict[str, ControlNode] = {}
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        rows = tuple(
            HostSettings(name, "dc", "", voter=name in self.disks)
            for name in self.names
        )
        for number, name in enumerate(self.names):
            settings = DaemonSettings(name, rows, SECURITY, data_folder="x")
            with attributed_to(name):
                self.nodes[name] = ControlNode(
                    self.network.peers(name),
                    settings,
                    WallClock(1e9),
                    1,
                    disk=self.disks.get(name),
                    rng=random.Random(number),
                )
                self.tasks.append(asyncio.create_task(self.nodes[name].run()))
        while not self.leader or any(
            node.view.freshness_left_s() <= 0 for node in self.nodes.values()
        ):
            await asyncio.sleep(0.1)

    @property
    def leader(self) -> str:
        leading = [n for n in self.disks if self.nodes[n].replica.is_leader]
        return leading[0] if leading else ""

    @property
    def follower(self) -> str:
        return next(name for name in self.disks if name != self.leader)

    @property
    def non_voter(self) -> str:
        return self.names[-1]

    async def change(self, number: int, rows: int) -> None:
        pools = tuple(Pool(f"pool-{n}") for n in range(POOLS))
        revision = self.nodes[self.non_voter].view.tables.revision
        change = TableChange(
            f"change-{number}", "operator", revision, pools, make_routes(rows, number)
        )
        outcome = await self.nodes[self.non_voter].control.apply(change)
        assert isinstance(outcome, Ok), outcome

    async def claim(self, number: int) -> None:
        request = ClaimRequest("team-1", f"key-{number:032}", "f" * 64, f"c-{number}")
        control = self.nodes[self.non_voter].control
        assert isinstance(await control.claim(request), Ok)
        assert isinstance(await control.settle_claim(request, None, True), Ok)


def make_routes(rows: int, number: int) -> tuple[Route, ...]:
    """Return routes with one key each; the weight of the first depends on the number.

    :param rows: number of routes.
    :param number: number of the change.
    """
    return tuple(
        Route(
            f"team-{row}",
            "/v1/chat",
            f"pool-{row % POOLS}",
            (hash_key(f"key-{row}"),),
            weight=1.0 + number if row == 0 else 1.0,
        )
        for row in range(rows)
    )


def measure_control() -> list[Slope]:
    """Return the slopes of the leader, a follower and a host that is no voter."""
    paused = "3 voters, 13 pools, links and disks in memory, paused clock"
    slopes = []
    slopes += _fit_roles("hosts", f"nothing changes, {paused}", HOSTS, _measure_idle)
    slopes += _fit_roles(
        "rows of the tables",
        f"1 change a second, 6 hosts, {paused}",
        ROWS,
        _measure_row_counts,
    )
    slopes += _fit_roles(
        "changes a second",
        f"100 rows, 6 hosts, {paused}",
        CHANGES,
        _measure_change_rates,
    )
    slopes += _fit_roles(
        "claims a second",
        f"claim and settlement, 6 hosts, {paused}",
        CLAIMS,
        _measure_claims,
    )
    memory = [(rows, _measure_row_memory(rows)) for rows in ROWS]
    unit = "bytes of one host"
    slopes.append(fit("tables, memory", "rows of the tables", unit, "routes", memory))
    kept = [(claims, _measure_claim_memory(claims)) for claims in KEPT_CLAIMS]
    unit = "bytes of one voter"
    slopes.append(fit("claims, memory", "claims kept", unit, "state and log", kept))
    return slopes


def _fit_roles(varied, setting, counts, measure) -> list[Slope]:
    uses = [(count, measure(count)) for count in counts]
    slopes = []
    for index, role in enumerate(("leader", "follower", "plain host")):
        figures = {
            "us of processor time a second": lambda use: (
                use.processor_s.total() * US_PER_S
            ),
            "bytes a second sent": lambda use: use.sent_bytes.total(),
            "bytes a second received": lambda use: use.received_bytes.total(),
            "messages a second sent": lambda use: use.sent.total(),
        }
        for unit, read in figures.items():
            points = [(n, read(roles[index]) / MEASURE_S) for n, roles in uses]
            slopes.append(fit(f"control, {role}", varied, unit, setting, points))
    return slopes


def _measure(hosts: int, work) -> tuple[HostUse, ...]:
    group = _ControlGroup(hosts)

    async def main():
        await group.start()
        await asyncio.sleep(1.0)
        roles = (group.leader, group.follower, group.non_voter)
        await work(group, 1.0)
        before = [group.network.resource_use(name) for name in roles]
        await work(group, MEASURE_S)
        after = [group.network.resource_use(name) for name in roles]
        return tuple(later - earlier for later, earlier in zip(after, before))

    return run_metered(group.network, main)


def _measure_idle(hosts: int) -> tuple[HostUse, ...]:
    async def work(group, seconds):
        await asyncio.sleep(seconds)

    return _measure(hosts, work)


def _measure_row_counts(rows: int) -> tuple[HostUse, ...]:
    return _measure(6, _make_change_work(1.0, rows))


def _measure_change_rates(rate: int) -> tuple[HostUse, ...]:
    return _measure(6, _make_change_work(rate, 100))


def _make_change_work(rate: float, rows: int):
    number = 0

    async def work(group, seconds):
        nonlocal number
        for _ in range(int(rate * seconds)):
            number += 1
            started_s = asyncio.get_running_loop().time()
            with attributed_to(group.non_voter):
                await asyncio.create_task(group.change(number, rows))
            elapsed_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(max(0.0, 1.0 / rate - elapsed_s))
        if not rate:
            await asyncio.sleep(seconds)

    return work


def _measure_claims(rate: int) -> tuple[HostUse, ...]:
    number = 0

    async def work(group, seconds):
        nonlocal number
        tasks = []
        for _ in range(int(rate * seconds)):
            number += 1
            with attributed_to(group.non_voter):
                tasks.append(asyncio.create_task(group.claim(number)))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)
        if not rate:
            await asyncio.sleep(seconds)

    return _measure(6, work)


def _measure_claim_memory(claims: int) -> float:
    group = _ControlGroup(VOTERS)

    async def main():
        await group.start()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for number in range(claims):
            await group.claim(number)
        written = sum(len(b) for d in group.disks.values() for b in _files(d))
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return (used - written) / VOTERS

    return run_metered(group.network, main)


def _files(disk: _MemoryDisk) -> list[bytes]:
    return list(disk.file_by_name.values())


def _measure_row_memory(rows: int) -> float:
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        routes = make_routes(rows, 1)
        used = tracemalloc.get_traced_memory()[0] - before
        del routes
        return used
    finally:
        tracemalloc.stop()
