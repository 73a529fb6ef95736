"""Steps of late_intake.feature."""

import random
import re
from dataclasses import replace

from behave import given, then, when
from result import Ok

from almondfield_core.clock import now
from almondfield_core.routing import RoutingIndex, RoutingTable, ServerPool
from almondfield_core.settings import AnswerSettings
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.forwarding import (
    ForwardEndpoint,
    Forwarder,
    RequestMetadata,
    RetryWindow,
    ServerSelector,
)
from almondfield_daemon.forwarding.tests.fakes import (
    FakeCodec,
    FakeEngines,
    FakeLimits,
    FakeOrigins,
    FakeView,
)
from almondfield_daemon.forwarding.tests.late_router import LateRouter
from almondfield_daemon.forwarding.tests.requests import PROMPT, route
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.loop_delay import ARRIVAL_KEY, Arrival
from almondfield_daemon.server_notices import ServerNotices
from almondfield_daemon.serving import RequestHead
from almondfield_fairshare.prefix_placement import Candidate, Placement
from almondfield_testing import run

METADATA_BY_REQUEST = {
    "a prompt": RequestMetadata("r", 4.0, prompt=PROMPT),
    "a stream's take-up": RequestMetadata(
        "r", 4.0, prompt=PROMPT, last_event_id="2", first_request_id="q"
    ),
    "another request": RequestMetadata("r", 4.0),
    "a team's request": RequestMetadata("r", 4.0, key="k"),
}
MAX_HELD_BYTES = 1_000_000
WINDOW_S = 6
ENGINES = 3
ROUTERS = 191


class HeadCodec(FakeCodec):
    """A codec that knows the metadata of the request and writes retry times."""

    def __init__(self, metadata):
        self.metadata = metadata

    def read_request(self, headers):
        """Return the metadata."""
        return Ok(self.metadata)

    def problem_headers(self, problem):
        """Return the retry time."""
        if problem.retry_after_s is None:
            return ()
        return ((b"retry-after", b"%.1f" % problem.retry_after_s),)


class Subscription:
    """The subscription to a table of one route."""

    version = 1
    fresh_s = 3.0

    def __init__(self, target_s):
        prompts = replace(
            route("streaming", 2), has_prompt=True, latency_target_s=target_s
        )
        pools = (ServerPool("p", 1),)
        self.index = RoutingIndex(RoutingTable(1, routes=(prompts,), pools=pools))

    def fresh_left_s(self):
        """Return the time left of the lease."""
        return self.fresh_s


@given("a router of a route with a target of {target_s:g} s, where {others}")
def step_impl(context, target_s, others):
    context.subscription = Subscription(target_s)
    context.engines = FakeEngines()
    context.engines.has_undecided = others == "another prompt waits"
    context.prefills = 0
    context.evacuated = frozenset()


@given("{scheduler} decides, and {count:d} prompts are in prefill")
def step_impl(context, scheduler, count):
    context.engines.has_scheduler = scheduler == "a scheduler"
    context.prefills = count


@when("{request} is read {late_s:g} s after it came")
def step_impl(context, request, late_s):
    async def check():
        codec = HeadCodec(METADATA_BY_REQUEST[request])
        placement = Placement(random.Random(1))
        servers = [
            FleetServer(f"e{number}", "p", f"e{number}:1", "east", 4, sequence=1)
            for number in range(ENGINES)
        ]
        for server in servers[: context.prefills]:
            placement.start(Candidate(server.name, 4, True, False), PROMPT)
        selector = ServerSelector(
            FakeView(tuple(servers), lambda: ROUTERS),
            placement,
            "east",
            context.engines,
            HostDelay(),
            ServerNotices(),
            FakeLimits(),
            evacuated=lambda: context.evacuated,
        )
        forwarder = Forwarder(
            None,
            selector,
            FakeOrigins(),
            lambda: RetryWindow(10.0, 0.2, 50.0, lambda: 1),
            AnswerSettings(),
        )
        endpoint = ForwardEndpoint(
            forwarder, context.subscription, codec, MAX_HELD_BYTES
        )
        came_s = now() - late_s
        state = {ARRIVAL_KEY: Arrival(came_s, came_s, is_first=False)}
        endpoint.limit_connections(lambda: 1, 10)
        head = RequestHead("POST", b"/x", b"", ((b"host", b"d"),), state)
        return endpoint.intake.check(head)

    context.refusal = run(context, check())


@then("the router passes it on")
def step_impl(context):
    assert context.refusal is None, context.refusal


@then("the router refuses it, to be sent again in {seconds:g} s")
def step_impl(context, seconds):
    assert context.refusal is not None
    lines = context.refusal.answer.split(b"\r\n")
    assert lines[0].startswith(b"HTTP/1.1 503"), lines
    assert b"retry-after: %.1f" % seconds in lines, lines


@given(
    "a router that passes on a prompt in {passing:g} ms, and refuses one in {ms:g} ms"
)
def step_impl(context, passing, ms):
    context.router = LateRouter(passing / 1000, ms / 1000)


@when('team "{team}" sends {per_s:g} prompts a second, {others} for {seconds:d} s')
def step_impl(context, team, per_s, others, seconds):
    others_per_s = float(re.search(r"\d+", others)[0])
    context.others = re.findall(r'"(\w+)"', others)
    context.seconds = seconds
    per_s_by_team = {team: per_s} | dict.fromkeys(context.others, others_per_s)
    run(context, context.router.serve(per_s_by_team, seconds))


def windows(context):
    """Return the ranges of whole seconds that are compared."""
    return [
        range(first, first + WINDOW_S)
        for first in range(context.seconds - WINDOW_S + 1)
    ]


@then("each of the others has half of its prompts passed on in each 6 s")
def step_impl(context):
    router = context.router
    for team in context.others:
        for window in windows(context):
            read = sum(router.read_by_team[team][second] for second in window)
            passed = sum(router.passed_by_team[team][second] for second in window)
            assert passed >= read / 2 > 0, (team, window, passed, read)


@then("the router passes on at least {least:g} prompts a second")
def step_impl(context, least):
    passed = sum(item.total() for item in context.router.passed_by_team.values())
    assert passed >= least * context.seconds, passed


@then("half of the prompts are read within {seconds:g} s")
def step_impl(context, seconds):
    unread_s = sorted(context.router.unread_s)
    assert unread_s[len(unread_s) // 2] <= seconds, unread_s[len(unread_s) // 2]
