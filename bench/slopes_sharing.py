"""Slopes of fair sharing: servers, teams, backlogged teams and routers of a pool."""

import asyncio
import random

from almondfield_core.messages import ServerAnnouncement
from almondfield_core.tables import Pool, PoolKind
from sharing_fleet import Fleet
from sharing_load import Callers
from slopes_fit import Slope, fit
from slopes_harness import HostUse, MeteredNetwork, attributed_to, run_metered

__all__ = ["measure_sharing"]

US_PER_S = 1e6
POOL = "pool-1"
SCHEDULER = "host-1"
ROUTER = "host-2"
RELAY_KIND = "announcement-relay"
SETTLE_S = 3.0
MEASURE_S = 3.0
COST_S = 2.0
SLOTS = 4

SERVERS = (6, 20, 60, 120)
TEAMS = (8, 40, 120, 240)
BACKLOGGED = (0, 8, 32, 96)
ROUTERS = (3, 6, 12, 24)


def measure_sharing() -> list[Slope]:
    """Return the slopes of one pool's scheduler and of one of its routers."""
    slopes = []
    for varied, counts, measure in (
        ("servers of the pool", SERVERS, lambda n: _measure(servers=n)),
        ("teams with work, none backlogged", TEAMS, lambda n: _measure(teams=n)),
        ("backlogged teams", BACKLOGGED, lambda n: _measure(backlogged=n)),
        ("routers of the pool", ROUTERS, lambda n: _measure(routers=n)),
    ):
        uses = [(n, measure(n)) for n in counts]
        slopes += _fit_roles(varied, uses)
        if counts is SERVERS:
            slopes.append(_fit_relays(uses))
    return slopes


def _fit_relays(uses: list[tuple[int, tuple[HostUse, HostUse]]]) -> Slope:
    points = [
        (n, pair[0].processor_s[RELAY_KIND] * US_PER_S / MEASURE_S) for n, pair in uses
    ]
    return fit(
        "sharing, relays at the scheduler",
        "servers of the pool",
        "us of processor time a second",
        "every server announced once a second, in one message",
        points,
    )


def _fit_roles(varied: str, uses: list[tuple[int, tuple[HostUse, HostUse]]]):
    setting = (
        "8 servers of 4 slots, 8 teams, 4 routers, but for what varies; paused clock"
    )
    for index, role in enumerate(("scheduler", "router")):
        figures = {
            "us of processor time a second": lambda use: (
                (use.processor_s.total() - use.processor_s[RELAY_KIND]) * US_PER_S
            ),
            "bytes a second sent": lambda use: use.sent_bytes.total(),
            "bytes a second received": lambda use: (
                use.received_bytes.total() - use.received_bytes[RELAY_KIND]
            ),
            "messages a second sent": lambda use: use.sent.total(),
        }
        for unit, read in figures.items():
            points = [(n, read(pair[index]) / MEASURE_S) for n, pair in uses]
            yield fit(f"sharing, {role}", varied, unit, setting, points)


def _measure(
    servers: int = 8, teams: int = 8, backlogged: int = 0, routers: int = 4
) -> tuple[HostUse, HostUse]:
    network = MeteredNetwork(seed=2)
    announcements = tuple(
        ServerAnnouncement(
            f"runner-{number}", 1, "127.0.0.1:1", "dc", PoolKind.MODEL, SLOTS
        )
        for number in range(servers)
    )
    fleet = _MeteredFleet(
        routers, (Pool(POOL),), announcements, seed=2, network=network
    )

    async def main():
        await fleet.start()
        await asyncio.sleep(1.0)
        callers = Callers(fleet, seed=2)
        _start_callers(callers, fleet, teams, backlogged)
        await asyncio.sleep(SETTLE_S)
        before = [network.resource_use(SCHEDULER), network.resource_use(ROUTER)]
        await asyncio.sleep(MEASURE_S)
        after = [network.resource_use(SCHEDULER), network.resource_use(ROUTER)]
        return tuple(later - earlier for later, earlier in zip(after, before))

    return run_metered(network, main)


def _start_callers(callers, fleet, teams: int, backlogged: int) -> None:
    rng = random.Random(7)
    hosts = fleet.hosts[1:] or fleet.hosts

    def draw() -> float:
        return rng.uniform(0.5, 1.5) * COST_S

    if backlogged:
        # Together these callers keep every slot busy and further requests waiting.
        slots = sum(s.announcement.slots for s in fleet.server_by_name.values())
        callers_per_team = max(2, 2 * slots // backlogged)
        for number in range(backlogged):
            host = hosts[number % len(hosts)]
            callers.keep_busy(host, POOL, f"team-{number}", callers_per_team, draw)
        return
    slots = sum(s.announcement.slots for s in fleet.server_by_name.values())
    busy = min(teams, slots // 2)
    for number in range(teams):
        host = hosts[number % len(hosts)]
        pause_s = COST_S * (teams / busy - 1.0)
        callers._start(
            _send_with_pauses(callers, host, f"team-{number}", draw, pause_s)
        )


async def _send_with_pauses(callers, host, team, draw, pause_s) -> None:
    while True:
        await callers.call(host, POOL, team, draw())
        await asyncio.sleep(pause_s)


class _MeteredFleet(Fleet):
    def start_host(self, host: str) -> None:
        with attributed_to(host):
            super().start_host(host)
