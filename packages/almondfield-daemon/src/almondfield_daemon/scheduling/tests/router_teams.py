"""Routers with real server selection, and stand-ins of engines."""

import asyncio
import random
from collections import Counter

from almondfield_core.clock import now
from almondfield_core.routing import (
    PoolShare,
    Prompt,
    PromptPart,
    RequestKind,
    RouteRule,
)
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding import RequestMetadata, ServerSelector
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.servers import Unavailable
from almondfield_daemon.forwarding.tests.fakes import FakeLimits, FakeView
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.scheduling import EngineClient
from almondfield_daemon.scheduling.tests.fakes import POOL
from almondfield_daemon.server_notices import ServerNotices
from almondfield_fairshare.engines.tests.standins import StandInEngine
from almondfield_fairshare.prefix_placement import Placement

__all__ = ["RouterTeams", "engine_server", "work_of"]

PREFILL_TOKENS_PER_S = 40_000.0
CACHE_TOKENS = 600_000
SHARED_TOKENS = 4000
UNIQUE_TOKENS = 2000
OUTPUT_TOKENS = 50
PREFIXES = 20
STREAM_S = 1.0
DEADLINE_S = 6.0
ROUTE = RouteRule(
    name="route",
    domain="d",
    path_prefix="/",
    kind=RequestKind.STREAMING,
    shares=(PoolShare(POOL),),
    timeout_s=DEADLINE_S,
    latency_target_s=0.8,
    has_prompt=True,
)


def engine_server(name):
    return FleetServer(name, POOL, f"{name}:1", "east", 64, sequence=1)


def work_of(prompt):
    """Return the work of a prompt and its answer, in tokens of the teams' shares."""
    return prompt.input_tokens + 2 * prompt.max_output_tokens


class RouterTeams:
    """Routers with real server selection, and the work that their teams get."""

    def __init__(self, context, hosts):
        self.random = random.Random(1)
        self.selector_by_host = {}
        self.engine_by_name = {
            name: StandInEngine(PREFILL_TOKENS_PER_S, CACHE_TOKENS)
            for name in context.engine_names
        }
        self.number = 0
        self.work_by_team = Counter()
        self.refused_by_team = Counter()
        self.retries_s = []
        view = FakeView(
            tuple(engine_server(name) for name in self.engine_by_name),
            lambda: len(hosts),
        )
        for host in hosts:
            client = EngineClient(context.network.peers(host), lambda: context.leader)
            self.selector_by_host[host] = ServerSelector(
                view,
                Placement(random.Random(1)),
                "east",
                client,
                HostDelay(),
                ServerNotices(),
                FakeLimits(),
            )

    def request(self, team):
        """Return a request of a team with one of the shared prefixes."""
        self.number += 1
        parts = (
            PromptPart(f"prefix-{self.random.randrange(PREFIXES)}", SHARED_TOKENS),
            PromptPart(f"own-{self.number}", UNIQUE_TOKENS),
        )
        tokens = SHARED_TOKENS + UNIQUE_TOKENS
        prompt = Prompt("m", tokens, OUTPUT_TOKENS, parts)
        arrived_s = now()
        return ForwardRequest(
            method="POST",
            target=b"/",
            headers=(),
            metadata=RequestMetadata(str(self.number), DEADLINE_S, prompt=prompt),
            route=ROUTE,
            pool=POOL,
            table_version=1,
            team=team,
            arrived_s=arrived_s,
            until_s=arrived_s + DEADLINE_S,
        )

    async def serve(self, team, host):
        """Select an engine for one request and use it."""
        request = self.request(team)
        selected = await self.selector_by_host[host].choose(request, frozenset())
        if isinstance(selected, Unavailable):
            self.refused_by_team[team] += 1
            self.retries_s.append(selected.retry_after_s)
            return
        await self.use(selected, request)

    async def use(self, selected, request, on_begin=lambda: None):
        """Prefill a request at its engine and stream its answer."""
        prompt = request.metadata.prompt
        await self.engine_by_name[selected.server.name].prefill(prompt)
        selected.begin_answer()
        on_begin()
        self.work_by_team[request.team] += work_of(prompt)
        await asyncio.sleep(STREAM_S)
        selected.end()

    async def generate(self, hosts_by_team, rate, seconds):
        """Send requests of all teams at random times."""
        tasks = []
        until_s = now() + seconds
        teams = list(hosts_by_team)
        while now() < until_s:
            await asyncio.sleep(self.random.expovariate(rate * len(teams)))
            team = self.random.choice(teams)
            host = self.random.choice(hosts_by_team[team])
            tasks.append(asyncio.ensure_future(self.serve(team, host)))
        await asyncio.gather(*tasks)
