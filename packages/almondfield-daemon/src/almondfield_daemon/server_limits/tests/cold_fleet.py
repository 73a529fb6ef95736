"""A fleet with cold servers: real control hosts, routers and selection of servers."""

import asyncio
import random
from collections import defaultdict
from dataclasses import replace

from almondfield_core.clock import now
from almondfield_core.routing import (
    EngineLimits,
    Prompt,
    PromptPart,
    RequestLimits,
    RoutingTable,
    ServerPool,
)
from almondfield_daemon.fleet import FleetControl, FleetServer, FleetView, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.forwarding import RequestMetadata, ServerSelector
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.servers import Unavailable
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.scheduling import EngineClient, EngineService
from almondfield_daemon.scheduling.tests.fakes import FakePublisher
from almondfield_daemon.scheduling.tests.router_teams import ROUTE
from almondfield_daemon.server_limits import LimitService, ServerLimits
from almondfield_daemon.server_notices import (
    ColdTime,
    ServerClosedError,
    ServerNotices,
)
from almondfield_fairshare.prefix_placement import Placement
from almondfield_testing import InMemoryNetwork

__all__ = ["ColdFleet"]

CONTROL_HOSTS = ("c1", "c2", "c3")
WARMUP_PER_S = 5.2
COLD_S = 6.0
ANNOUNCE_S = 1.2
CONNECT_S = 0.15  # at most, in addition to messages of up to 0.05 s
ANSWER_S = 0.3
DEADLINE_S = 6.0
POOLS = (
    ServerPool("engine", 100, "/", EngineLimits(64, 600_000), COLD_S, WARMUP_PER_S),
    ServerPool("plain", 100, "/", None, COLD_S, WARMUP_PER_S),
)
TABLE = RoutingTable(1, pools=POOLS, limits=RequestLimits(work_per_s=2e6))


class Server:
    """A backend server that is cold at times."""

    def __init__(self, name, pool):
        self.name = name
        self.pool = pool
        self.born_ms = 1
        self.sequence = 100
        self.cold_until_s = float("-inf")
        self.arrivals_s = []
        self.is_announced = True
        self.most_while_cold = 0

    def arrive(self):
        """Count a request."""
        self.arrivals_s.append(now())
        if now() < self.cold_until_s:
            within = sum(at_s > now() - 1 for at_s in self.arrivals_s[-100:])
            self.most_while_cold = max(self.most_while_cold, within)

    def announcement(self):
        """Return the next announcement."""
        self.sequence += 1
        return FleetServer(
            self.name,
            self.pool,
            f"{self.name}:1",
            "east",
            64,
            born_ms=self.born_ms,
            sequence=self.sequence,
            cold_left_s=max(0.0, self.cold_until_s - now()),
        )


class ColdFleet:
    """Control hosts, routers with real selection of servers, and stand-in servers."""

    def __init__(self, routers, servers, pool, seed=1):
        self.random = random.Random(seed)
        self.network = InMemoryNetwork(seed)
        self.leader = "c1"
        self.pool = pool
        self.number = 0
        self.stalled_until_s = 0.0
        self.retries_s = []
        self.sent_s = []
        self.sent_by_kind = defaultdict(list)
        self.servers = {f"s{n}": Server(f"s{n}", pool) for n in range(servers)}
        self.publisher_by_host = {
            host: FakePublisher(host == "c1", TABLE) for host in CONTROL_HOSTS
        }
        self.control_by_host = {h: self._control(h) for h in CONTROL_HOSTS}
        self.tasks = []
        self.selector_by_router = {
            host: self._router(host) for host in [f"r{n}" for n in range(routers)]
        }
        for control in self.control_by_host.values():
            self.tasks.append(asyncio.ensure_future(control.run()))
        for server in self.servers.values():
            self.tasks.append(asyncio.ensure_future(self._announce(server)))

    def _control(self, host):
        peers = self.network.peers(host)
        publisher = self.publisher_by_host[host]
        fleet = FleetControl(peers, 1, lambda: CONTROL_HOSTS, self.random)
        fleet.register_handlers()
        fleet.cold.pool_of = {pool.name: pool for pool in POOLS}.get
        limits = LimitService(peers, publisher, fleet.cold)
        limits.register_handlers()
        limits.notified_hosts = lambda: (*CONTROL_HOSTS, *fleet.routers.hosts())
        fleet.server_limits = limits.limits
        fleet.cold_servers = limits.cold_servers
        service = EngineService(
            peers, fleet, publisher, limits, 4.0, lambda: self.random.getrandbits(48)
        )
        service.register_handlers()
        return fleet

    def _router(self, host):
        peers = self.network.peers(host)
        hello = RouterHello("east", "r", f"{host}:1", RouterState.READY)
        limits = None
        view = FleetView(
            peers,
            hello,
            CONTROL_HOSTS,
            lambda: None,
            lambda host: None,
            lambda items: limits.learn(items),
            lambda items, asked_s: limits.learn_cold(items, asked_s),
        )
        view.cold.pool_of = {pool.name: pool for pool in POOLS}.get
        limits = ServerLimits(peers, lambda: self.leader, view.router_count, view.cold)
        limits.register_handlers()
        self.tasks.append(asyncio.ensure_future(view.run()))
        return ServerSelector(
            view,
            Placement(random.Random(host)),
            "east",
            EngineClient(peers, lambda: self.leader, 0, limits.report_all),
            HostDelay(),
            ServerNotices(),
            limits,
        )

    async def _announce(self, server):
        await asyncio.sleep(self.random.uniform(0, 0.3))
        while True:
            self.announce(server)
            await asyncio.sleep(ANNOUNCE_S)

    def announce(self, server):
        """Announce a server to one control host."""
        if server.is_announced:
            host = self.random.choice(CONTROL_HOSTS)
            self.control_by_host[host].announce(server.announcement())

    def restart(self, server):
        """Start a server anew; it is announced at once."""
        server.born_ms += 1000
        server.sequence = 0
        server.arrivals_s.clear()
        server.cold_until_s = now() + COLD_S
        self.announce(server)

    def lead(self, host):
        """Let a host lead; none if empty."""
        for name, publisher in self.publisher_by_host.items():
            publisher.leads = name == host
            publisher.term += 1
        self.leader = host

    async def generate(self, rate, seconds, is_stream=lambda: False):
        """Send requests at random times to random routers."""
        tasks = []
        until_s = now() + seconds
        routers = list(self.selector_by_router)
        while now() < until_s:
            await asyncio.sleep(self.random.expovariate(rate))
            router = self.random.choice(routers)
            tasks.append(asyncio.ensure_future(self._call(router, is_stream())))
        await asyncio.gather(*tasks)

    def _request(self, is_stream):
        self.number += 1
        is_prompt = self.pool == "engine"
        prompt = Prompt("m", 200, 10, (PromptPart(f"p{self.number}", 200),))
        metadata = RequestMetadata(
            str(self.number),
            last_event_id="1" if is_stream else "",
            prompt=prompt if is_prompt else None,
        )
        route = replace(ROUTE, has_prompt=is_prompt)
        team = f"team-{self.number % 5}"
        until_s = now() + DEADLINE_S
        return ForwardRequest(
            "POST", b"/", (), metadata, route, self.pool, 1, team, now(), until_s
        )

    async def _call(self, router, is_stream):
        request = self._request(is_stream)
        selected = await self.selector_by_router[router].choose(request, frozenset())
        if isinstance(selected, Unavailable):
            self.retries_s.append(now() + selected.retry_after_s)
            return
        server = self.servers[selected.server.name]
        # A new connection may take some time.
        connect_s = self.random.uniform(0.001, CONNECT_S)
        await asyncio.sleep(max(connect_s, self.stalled_until_s - now()))
        try:
            selected.check_notices()
            selected.use_permit()
        except ServerClosedError:
            selected.end(was_sent=False)
            return
        server.arrive()
        self.sent_s.append(now())
        self.sent_by_kind[is_stream].append(now())
        await asyncio.sleep(ANSWER_S)
        left_s = server.cold_until_s - now()
        notices = (ColdTime(left_s),) if left_s > 0 else ()
        selected.record_notices("", notices, now())
        selected.begin_answer()
        await asyncio.sleep(ANSWER_S)
        selected.end()
