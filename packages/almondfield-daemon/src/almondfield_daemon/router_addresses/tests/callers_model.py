"""A model of callers that keep answers of the directory, in paused time."""

import asyncio
import random
import zlib
from collections import Counter
from dataclasses import dataclass, replace

from almondfield_core.clock import now
from almondfield_daemon.fleet import RouterDirectory, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.router_addresses import EarlyReports, RouterLoad

__all__ = ["DATA_CENTRE", "CallersModel", "make_hello"]

DATA_CENTRE = "east"
TICK_S = 0.1
TICKS_PER_HELLO = 10
TICKS_PER_CHECK = 2


def make_hello(host, load, data_centre=DATA_CENTRE):
    """Return the hello of a ready router."""
    hello = RouterHello(data_centre, "region", f"{host}:80", RouterState.READY)
    return replace(hello, **vars(load))


@dataclass
class Caller:
    """A caller with one connection.

    :ivar name: name by which the directory knows it.
    :ivar keeps_s: for how long it keeps an answer, in seconds.
    :ivar team: team that chooses alike; empty for a caller that chooses at random.
    """

    name: str
    keeps_s: float
    team: str
    asks_s: float = 0.0
    address: str = ""


class CallersModel:
    """Routers of one data centre in a larger fleet, and their callers.

    :param cores_by_host: sizes of the routers.
    :param reports: whether the routers report size and load; those of earlier builds
        don't, and are named as they were before.

    :ivar callers: the callers.
    :ivar moves: number of connections given up after the first 7 s.
    :ivar history: largest number of connections of one router, once a second.
    """

    def __init__(self, cores_by_host, reports=True):
        self._rng = random.Random(1)
        self.directory = RouterDirectory(self._rng)
        self.cores_by_host = cores_by_host
        self._reports = reports
        self._early_by_host = {host: EarlyReports() for host in cores_by_host}
        self.callers = []
        self.moves = 0
        self.history = []

    def add(self, count, team=""):
        """Add callers, half of which keep answers for 2 s, the others for 6 s."""
        for number in range(count):
            keeps_s = 2.0 if number % 2 else 6.0
            # They begin within the first second.
            asks_s = number / count
            self.callers.append(Caller(f"{team}-{number}", keeps_s, team, asks_s))

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
            load = RouterLoad()
            if self._reports:
                load = RouterLoad(cores, counts[f"{host}:80"])
            early = self._early_by_host[host]
            if tick % TICKS_PER_HELLO == 0:
                early.record_hello(load)
            elif tick % TICKS_PER_CHECK or not early.take(load):
                continue
            self.directory.record(host, make_hello(host, load))

    def _ask(self, caller):
        answer = self.directory.addresses("region", DATA_CENTRE, caller.name)
        caller.asks_s = now() + caller.keeps_s
        before = caller.address
        if caller.team:
            caller.address = min(answer, key=lambda a: _rank(caller.team, a))
        elif before not in answer:
            caller.address = self._rng.choice(answer)
        self.moves += before not in ("", caller.address) and now() > 7.0


def _rank(team, address):
    return zlib.crc32(f"{team} {address}".encode())
