"""Slopes of membership: hosts of the fleet and announcements of servers."""

import asyncio
import tracemalloc
from dataclasses import replace

from almondfield_core.messages import PoolLease, ServerAnnouncement
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Pool, PoolKind, Selector, Tables
from almondfield_core.wire import decode_message, encode_message
from almondfield_daemon.membership import Membership
from almondfield_daemon.membership.holds import HoldDirectory
from almondfield_daemon.membership.hosts import HostDirectory
from almondfield_daemon.membership.messages import (
    HostDigest,
    HostUpdate,
    ReachabilityUpdate,
    SpareSlotsUpdate,
)
from slopes_fit import Slope, fit
from slopes_harness import MeteredNetwork, attributed_to, run_metered

__all__ = ["make_announcement", "measure_hosts"]

US_PER_S = 1e6
HOSTS = (9, 30, 60, 120)
MEMORY_HOSTS = (30, 120, 370, 740)
SETTLE_S = 3.0
STEADY_S = 2.0
RESTARTS = (0, 1, 2, 4)
RESTART_HOSTS = 30
SPARE_CHANGES = (0, 5, 10, 20)
SERVERS = (10, 40, 80, 160)
ANNOUNCE_SECONDS = 5.0


class _StubView:
    def __init__(self, tables=None, lease_by_pool=None) -> None:
        self.tables = tables or Tables()
        self.lease_by_pool = lease_by_pool or {}

    def freshness_left_s(self) -> float:
        return 3.0


class _Fleet:
    def __init__(self, count: int) -> None:
        self.network = MeteredNetwork(seed=5)
        self.rows = tuple(
            HostSettings(f"host-{number}", f"dc-{number % 11}", "127.0.0.1")
            for number in range(count)
        )
        self.members: dict[str, Membership] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.spare = dict.fromkeys((row.name for row in self.rows), 0)

    def start(self, name: str, incarnation: int = 1) -> None:
        with attributed_to(name):
            settings = DaemonSettings(name, self.rows, SecuritySettings("", "", ""))
            peers = self.network.peers(name)
            member = Membership(peers, _StubView(), settings, incarnation)
            member.set_spare_slots_source(lambda: self.spare[name])
            self.members[name] = member
            self.tasks[name] = asyncio.create_task(member.run())

    def restart(self, name: str, incarnation: int) -> None:
        self.tasks[name].cancel()
        self.start(name, incarnation)


def measure_hosts() -> list[Slope]:
    """Return the slopes of hosts, restarts, spare levels and servers."""
    steady = [(n, _measure_steady(n)) for n in HOSTS]
    restarts = [(n, _measure_restarts(n)) for n in RESTARTS]
    spares = [(n, _measure_spare_changes(n)) for n in SPARE_CHANGES]
    servers = [(n, _measure_announcements(n)) for n in SERVERS]
    paused = "links in memory, paused clock"
    return [
        fit(
            "membership, processor",
            "hosts",
            "us of processor time a second of one host",
            f"nothing changes, {paused}",
            [(n, steady[0]) for n, steady in steady],
        ),
        fit(
            "membership, messages",
            "hosts",
            "messages a second sent by one host besides heartbeats",
            f"nothing changes, {paused}",
            [(n, steady[1]) for n, steady in steady],
        ),
        fit(
            "membership, memory",
            "hosts",
            "bytes of one host",
            "news of each host, its spare slots and its four neighbours",
            [(n, _measure_memory(n)) for n in MEMORY_HOSTS],
        ),
        fit(
            "restarts, traffic",
            "restarts in 10 s",
            "bytes sent by one host in those 10 s",
            f"{RESTART_HOSTS} hosts, {paused}",
            [(n, restart[0]) for n, restart in restarts],
        ),
        fit(
            "restarts, processor",
            "restarts in 10 s",
            "us of processor time of one host in those 10 s",
            f"{RESTART_HOSTS} hosts, {paused}",
            [(n, restart[1]) for n, restart in restarts],
        ),
        fit(
            "spare levels, traffic",
            "changes of level a second in the fleet",
            "bytes a second sent by one host",
            f"{RESTART_HOSTS} hosts, {paused}",
            spares,
        ),
        fit(
            "announcements, processor",
            "servers that announce themselves to the host each second",
            "us of processor time a second of the relay host",
            f"one pool, without HTTP, {paused}",
            [(n, server[0]) for n, server in servers],
        ),
        fit(
            "announcements, traffic",
            "servers that announce themselves to the host each second",
            "bytes a second sent by the relay host",
            f"one pool, {paused}",
            [(n, server[1]) for n, server in servers],
        ),
        fit(
            "announcements, messages",
            "servers that announce themselves to the host each second",
            "messages a second sent by the relay host",
            f"one pool, {paused}",
            [(n, server[2]) for n, server in servers],
        ),
    ]


def _measure_memory(count: int) -> float:
    """Return the bytes of memory that received news of a number of hosts uses."""
    names = [f"host-{number}" for number in range(count)]
    digest = HostDigest(
        tuple(
            HostUpdate(HostSettings(name, "dc-1", "127.0.0.1"), 1_790_000_000_000, 1)
            for name in names
        ),
        tuple(
            ReachabilityUpdate(name, watcher, 1_790_000_000_000, 2, False)
            for name in names
            for watcher in names[:4]
        ),
        tuple(SpareSlotsUpdate(name, 1_790_000_000_000, 3, 4) for name in names),
    )
    body = encode_message(digest)

    async def main():
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        directory = HostDirectory("host-0", (), HoldDirectory())
        directory.merge(decode_message("host-digest", body).unwrap())
        return tracemalloc.get_traced_memory()[0] - before

    try:
        return asyncio.run(main())
    finally:
        tracemalloc.stop()


def _measure_steady(count: int) -> tuple[float, float]:
    fleet = _Fleet(count)

    async def main():
        for row in fleet.rows:
            fleet.start(row.name)
        await asyncio.sleep(SETTLE_S)
        before = [fleet.network.resource_use(row.name) for row in fleet.rows[:5]]
        await asyncio.sleep(STEADY_S)
        after = [fleet.network.resource_use(row.name) for row in fleet.rows[:5]]
        used = [later - earlier for later, earlier in zip(after, before)]
        processor_s = sum(use.processor_s.total() for use in used) / 5 / STEADY_S
        messages = sum(use.sent.total() for use in used) / 5 / STEADY_S
        return processor_s * US_PER_S, messages

    return run_metered(fleet.network, main)


def _measure_restarts(restarts: int) -> tuple[float, float]:
    fleet = _Fleet(RESTART_HOSTS)

    async def main():
        for row in fleet.rows:
            fleet.start(row.name)
        await asyncio.sleep(SETTLE_S)
        watched = [row.name for row in fleet.rows[20:40]]
        before = [fleet.network.resource_use(name) for name in watched]
        for number in range(restarts):
            fleet.restart(fleet.rows[number].name, 2 + number)
            await asyncio.sleep(10.0 / restarts)
        if not restarts:
            await asyncio.sleep(10.0)
        after = [fleet.network.resource_use(name) for name in watched]
        used = [later - earlier for later, earlier in zip(after, before)]
        sent = sum(use.sent_bytes.total() for use in used) / len(watched)
        processor_s = sum(use.processor_s.total() for use in used) / len(watched)
        return sent, processor_s * US_PER_S

    return run_metered(fleet.network, main)


def _measure_spare_changes(rate: int) -> float:
    fleet = _Fleet(RESTART_HOSTS)

    async def change():
        step = 0
        while rate:
            await asyncio.sleep(1.0 / rate)
            name = fleet.rows[step % RESTART_HOSTS].name
            fleet.spare[name] = 7 if fleet.spare[name] == 0 else 0
            step += 1

    async def main():
        for row in fleet.rows:
            fleet.start(row.name)
        task = asyncio.create_task(change())
        await asyncio.sleep(SETTLE_S)
        before = [fleet.network.resource_use(row.name) for row in fleet.rows]
        await asyncio.sleep(10.0)
        after = [fleet.network.resource_use(row.name) for row in fleet.rows]
        task.cancel()
        used = [later - earlier for later, earlier in zip(after, before)]
        return sum(use.sent_bytes.total() for use in used) / len(used) / 10.0

    return run_metered(fleet.network, main)


def make_announcement(number: int, pool: str) -> ServerAnnouncement:
    """Return the announcement of a model runner.

    :param number: number of the runner.
    :param pool: name of its model.
    """
    return ServerAnnouncement(
        name=f"runner-{number}",
        incarnation=1_790_000_000_000,
        address=f"127.0.{number // 250}.{number % 250 + 1}:8000",
        data_centre="dc-1",
        kind=PoolKind.MODEL,
        slots=8,
        model=pool,
        version="2026-11",
        label_by_name={"pool": pool},
        checks_fencing=True,
        resumes_streams=True,
    )


def _measure_announcements(count: int) -> tuple[float, float, float]:
    network = MeteredNetwork(seed=5)
    rows = (HostSettings("a", "dc", ""), HostSettings("b", "dc", ""))
    pools = tuple(Pool(f"pool-{n}", selects=Selector(f"pool-{n}")) for n in range(13))
    leases = {pool.name: PoolLease(pool.name, "b", 1) for pool in pools}

    async def announce(member, number):
        announcement = make_announcement(number, "pool-3")
        step = 0
        await asyncio.sleep(number / count)
        while True:
            await member.announce(replace(announcement, busy=step % 8))
            step += 1
            await asyncio.sleep(1.0)

    async def main():
        network.peers("b")
        settings = DaemonSettings("a", rows, SecuritySettings("", "", ""))
        with attributed_to("a"):
            view = _StubView(Tables(1, pools), leases)
            member = Membership(network.peers("a"), view, settings, 1)
            tasks = [asyncio.create_task(member.run())]
            tasks += [
                asyncio.create_task(announce(member, number)) for number in range(count)
            ]
        await asyncio.sleep(2.0)
        before = network.resource_use("a")
        await asyncio.sleep(ANNOUNCE_SECONDS)
        used = network.resource_use("a") - before
        return (
            used.processor_s.total() / ANNOUNCE_SECONDS * US_PER_S,
            used.sent_bytes.total() / ANNOUNCE_SECONDS,
            used.sent.total() / ANNOUNCE_SECONDS,
        )

    return run_metered(network, main)
