"""Callers that keep answers of the directory, and the routers that they connect to."""

import asyncio
import random
import zlib
from collections import Counter
from dataclasses import dataclass, replace

from almondfield_core.clock import now
from almondfield_daemon.fleet import RouterDirectory, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.router_addresses import EarlyReports, RouterLoad

__all__ = ["CallersModel", "make_hello"]

TICK_S = 0.1
TICKS_PER_HELLO = 10
TICKS_PER_CHECK = 2


def make_hello(host, load):
    """Return the hello of a ready router."""
    hello = RouterHello("east", "region", f"{host}:80", RouterState.READY)
    return replace(hello, **vars(load))


@dataclass
class _Caller:
    name: str
    team: str
    keeps_s: float
    asks_s: float
    address: str = ""


class CallersModel:
    """Routers of one data centre, and callers with one connection each.

    :param cores_by_host: sizes of the routers.
    :param reports: whether routers report their load; earlier builds don't.

    :ivar moves: number of connections given up after the first 7 s.
    :ivar history: largest number of connections of one router, once a second.
    """

    def __init__(self, cores_by_host, reports):
        self._rng = random.Random(1)
        self.directory = RouterDirectory(self._rng)
        self.cores_by_host = cores_by_host
        self._reports = reports
        self._early_by_host = {host: EarlyReports() for host in cores_by_host}
        self.callers = []
        self.moves = 0
        self.history = []

    def add(self, count, team, has_name):
        """Add callers of a team that chooses alike; at random without a team."""
        for number in range(count):
            name = f"{team}-{number}" if has_name else "shared"
            keeps_s = 2.0 if number % 2 else 6.0
            self.callers.append(_Caller(name, team, keeps_s, number / count))

    def count_by_address(self):
        """Return the connections at each address."""
        return Counter(caller.address for caller in self.callers if caller.address)

    async def run(self, seconds):
        """Let time pass."""
        for tick in range(round(seconds / TICK_S)):
            counts = self.count_by_address()
            self._report(tick, counts)
            if tick % TICKS_PER_HELLO == 0:
                self.history.append(max(counts.values(), default=0))
            for caller in self.callers:
                if caller.asks_s <= now():
                    self._ask(caller)
            await asyncio.sleep(TICK_S)

    def _report(self, tick, counts):
        for host, cores in self.cores_by_host.items():
            connections = counts[f"{host}:80"]
            load = RouterLoad(cores, connections) if self._reports else RouterLoad()
            early = self._early_by_host[host]
            if tick % TICKS_PER_HELLO == 0:
                early.record_hello(load)
            elif tick % TICKS_PER_CHECK or not early.take(load):
                continue
            self.directory.record(host, make_hello(host, load))

    def _ask(self, caller):
        answer = self.directory.addresses("region", "east", caller.name)
        caller.asks_s = now() + caller.keeps_s
        before = caller.address
        if caller.team:
            text = f"{caller.team} "
            caller.address = min(answer, key=lambda a: zlib.crc32((text + a).encode()))
        elif before not in answer:
            caller.address = self._rng.choice(answer)
        self.moves += before not in ("", caller.address) and now() > 7.0
