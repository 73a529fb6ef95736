"""Control hosts and routers over real links, some of whose messages come late."""

import asyncio
import random
from contextlib import suppress
from dataclasses import replace

from almondfield_core.clock import now
from almondfield_core.settings import (
    FLEET_TIMING,
    DaemonSettings,
    HostSettings,
    SecuritySettings,
)
from almondfield_daemon.fleet import (
    FleetControl,
    FleetServer,
    FleetView,
    RouterState,
    ServerPhase,
)
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.peers import PynngPeers
from almondfield_daemon.peers.tests.fakes import (
    MemoryConnection,
    MemoryNetwork,
    MemorySockets,
)

__all__ = ["LateFleet"]

DELAY_S = (0.001, 0.002)
MIN_GAP_S = 0.0001
POOL = "pool"
SERVER = FleetServer("s", POOL, "s:1", "east", 8, born_ms=1000)
WATCH_INTERVAL_S = 0.01


class LateConnection(MemoryConnection):
    """An outbound connection with the delays of both hosts, which keeps the order."""

    def __init__(self, network, source, target):
        super().__init__(network, source, target)
        self.last_arrival_s = 0.0
        # A host without power refuses no connection, so that the dial has no end.
        self.stalled = target not in network.on_frame_by_host

    def send(self, frame):
        delay_s = sum(self.network.draw_delay_s(host) for host in self.path)
        # Handlers of one time run in any order.
        earliest_s = self.last_arrival_s + MIN_GAP_S
        self.last_arrival_s = max(earliest_s, now() + delay_s)
        loop = asyncio.get_running_loop()
        loop.call_at(self.last_arrival_s, self.arrive, frame)
        return True


class LateSockets(MemorySockets):
    """The ``Sockets`` port of one host of a :class:`LateNetwork`."""

    def dial(self, address):
        return LateConnection(self.network, self.host, address.partition(":")[0])


class LateNetwork(MemoryNetwork):
    """Connections with delays by host, in seconds as (minimum, maximum)."""

    def __init__(self, seed):
        super().__init__()
        self.random = random.Random(seed)
        self.delay_s_by_host = {}

    def draw_delay_s(self, host):
        """Return how late a host sends or handles one message."""
        return self.random.uniform(*self.delay_s_by_host.get(host, DELAY_S))


class LateFleet:
    """Control hosts, routers and the backend server "s".

    :ivar view_by_router: the routers' views.
    :ivar control_by_host: the running control hosts.
    """

    def __init__(self, control_hosts, routers, seed=1):
        self.rng = random.Random(seed)
        self.network = LateNetwork(seed)
        self.control_hosts = tuple(f"c{n + 1}" for n in range(control_hosts))
        self.routers = tuple(f"r{n + 1}" for n in range(routers))
        self.view_by_router = {}
        self.control_by_host = {}
        self.tasks_by_host = {}
        self.starts = 0
        self.sequence = 0

    def start(self, host):
        """Start a host with empty memory."""
        self.starts += 1
        own = HostSettings(host, "east", host)
        settings = DaemonSettings(
            host, (own,), SecuritySettings("", "", ""), timing=FLEET_TIMING
        )
        peers = PynngPeers(
            settings,
            b"",
            self.starts,
            LateSockets(self.network, host),
            lambda name: HostSettings(name, "east", name),
        )
        coroutines = [peers.run()]
        if host in self.control_hosts:
            rng = random.Random(1)
            control = FleetControl(peers, self.starts, lambda: self.control_hosts, rng)
            # The members of the control group exchange messages all the time.
            peers.keep_links(self.control_hosts)
            control.register_handlers()
            self.control_by_host[host] = control
            coroutines.append(control.run())
        else:
            hello = RouterHello("east", "region", f"{host}:80", RouterState.READY)
            view = FleetView(peers, hello, self.control_hosts, lambda: None)
            self.view_by_router[host] = view
            coroutines.append(view.run())
        self.tasks_by_host[host] = [asyncio.ensure_future(c) for c in coroutines]

    async def kill(self, *hosts):
        """End hosts abruptly."""
        for host in hosts:
            self.control_by_host.pop(host, None)
            for task in self.tasks_by_host.pop(host):
                task.cancel()
                with suppress(asyncio.CancelledError):
                    await task

    async def start_at(self, host, start_s):
        """Start a host at a time of the loop's clock."""
        await asyncio.sleep(start_s - now())
        self.start(host)

    async def restart(self, *hosts):
        """End hosts and start them at once with empty memory."""
        await self.kill(*hosts)
        for host in hosts:
            self.start(host)

    def announce(self, host, phase=ServerPhase.SERVING):
        """Announce the server at a control host, which acknowledges at once."""
        self.sequence += 1
        announcement = replace(SERVER, phase=phase, sequence=self.sequence)
        self.control_by_host[host].announce(announcement)

    def uses_server(self, router):
        """Return whether a router gives the server new work."""
        servers = self.view_by_router[router].servers(POOL)
        return any(server.name == SERVER.name for server in servers)

    async def measure_use_s(self, timeout_s):
        """Return for how long any router uses the server, in seconds."""
        started_s = now()
        while any(self.uses_server(router) for router in self.routers):
            if now() > started_s + timeout_s:
                break
            await asyncio.sleep(WATCH_INTERVAL_S)
        return now() - started_s
