"""Steps of busy_scheduler.feature."""

import asyncio
from collections import Counter

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.forwarding.counts import RefusalCause
from almondfield_daemon.forwarding.servers import Unavailable
from almondfield_daemon.scheduling.messages import EngineRequest
from almondfield_daemon.scheduling.tests.router_teams import RouterTeams, work_of
from almondfield_testing import run

MEASURED_S = 3.0


class SlowDecisions:
    """Handler that takes requests one after the other, as a busy event loop does.

    :param handle: the handler of the scheduler.
    :param peers: told how long each request waited for the loop.

    :ivar per_s: requests that are handled in a second.
    :ivar begins_late_s: time for which other work keeps the loop busy when the first
        request comes, in seconds.
    :ivar delays_s: when each request came and how long it waited, in seconds.
    """

    def __init__(self, handle, peers):
        self._handle = handle
        self._peers = peers
        self._free_s = 0.0
        self.per_s = 0.0
        self.begins_late_s = 0.0
        self.delays_s = []

    async def handle(self, sender, message):
        """Handle a request once those before it are done."""
        came_s = now()
        self._free_s = max(came_s, self._free_s) + self.begins_late_s + 1 / self.per_s
        self.begins_late_s = 0.0
        await asyncio.sleep(self._free_s - came_s)
        self._peers.handling_delay_s = now() - came_s
        self.delays_s.append((came_s, now() - came_s))
        return await self._handle(sender, message)


class BusyTeams:
    """Prompts of two teams: those sent, and those that the scheduler decided on.

    :param teams: the routers and engines.
    """

    def __init__(self, teams):
        self.teams = teams
        self.asked_by_team = Counter()
        self._decided_s = []
        self._sent_s = []

    async def serve(self, team, host):
        """Select an engine for one prompt and use it."""
        request = self.teams.request(team)
        self.asked_by_team[team] += work_of(request.metadata.prompt)
        sent_s = now()
        self._sent_s.append(sent_s)
        selector = self.teams.selector_by_host[host]
        selected = await selector.choose(request, frozenset())
        is_refused = isinstance(selected, Unavailable)
        if is_refused:
            is_decided = selected.cause is not RefusalCause.NO_SCHEDULER
        else:
            is_decided = selected.assignment.wait_s is not None
        if is_decided:
            self._decided_s.append(sent_s)
        if not is_refused:
            await self.teams.use(selected, request)

    async def generate(self, team, hosts, rate, seconds):
        """Send the prompts of one team at random times."""
        rng = self.teams.random
        tasks = []
        until_s = now() + seconds
        while now() < until_s:
            await asyncio.sleep(rng.expovariate(rate))
            task = asyncio.ensure_future(self.serve(team, rng.choice(hosts)))
            tasks.append(task)
        await asyncio.gather(*tasks)

    def used_decisions(self):
        """Return the number of prompts that were decided on."""
        return len(self._decided_s)

    def decided_share(self, last_s):
        """Return the part of the last seconds' prompts that was decided on."""
        since_s = max(self._sent_s) - last_s
        decided = sum(sent_s >= since_s for sent_s in self._decided_s)
        return decided / sum(sent_s >= since_s for sent_s in self._sent_s)


@given('"{host}" decides on at most {limit:g} prompts a second')
@when('"{host}" decides on at most {limit:g} prompts a second')
def step_impl(context, host, limit):
    if not hasattr(context, "slow_decisions_by_host"):
        context.slow_decisions_by_host = {}
    if host not in context.slow_decisions_by_host:
        service = context.service_by_host[host]
        peers = context.network.peers_by_host[host]
        slow_decisions = SlowDecisions(service._on_request, peers)
        peers.register_handler(EngineRequest, slow_decisions.handle)
        context.slow_decisions_by_host[host] = slow_decisions
    context.slow_decisions_by_host[host].per_s = limit


@given('"{host}" begins {seconds:g} s late')
def step_impl(context, host, seconds):
    context.slow_decisions_by_host[host].begins_late_s = seconds


@when(
    'team "{a}" sends {rate_a:g} prompts a second to "{router}" and team "{b}" '
    "{rate_b:g} to {count:d} others for {seconds:g} s"
)
def step_impl(context, a, rate_a, router, b, rate_b, count, seconds):
    others = [f"other-{number}" for number in range(count)]

    async def generate():
        if not hasattr(context, "busy_teams"):
            context.busy_teams = BusyTeams(RouterTeams(context, [router, *others]))
        await asyncio.gather(
            context.busy_teams.generate(a, [router], rate_a, seconds),
            context.busy_teams.generate(b, others, rate_b, seconds),
        )

    run(context, generate())
    context.seconds = seconds


@then('team "{team}" was given at least {share:g} of the work that it asked for')
def step_impl(context, team, share):
    asked = context.busy_teams.asked_by_team[team]
    given_work = context.busy_teams.teams.work_by_team[team]
    assert given_work >= share * asked, (given_work, asked)


@then("at least {share:g} of its {limit:g} decisions a second were used")
def step_impl(context, share, limit):
    used = context.busy_teams.used_decisions()
    assert used >= share * limit * context.seconds, used


@then("the scheduler decided on at least {share:g} of the prompts of the last 3 s")
def step_impl(context, share):
    decided = context.busy_teams.decided_share(MEASURED_S)
    assert decided >= share, decided


@then("it answers within {limit:g} s after {seconds:g} s")
def step_impl(context, limit, seconds):
    (decisions,) = context.slow_decisions_by_host.values()
    first_s = decisions.delays_s[0][0]
    late = [item for item in decisions.delays_s if item[0] - first_s >= seconds]
    assert late
    assert max(delay_s for _, delay_s in late) <= limit, max(late, key=lambda i: i[1])
