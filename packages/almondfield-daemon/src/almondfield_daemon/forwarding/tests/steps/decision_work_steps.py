"""Steps of decision_work.feature."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.fleet.messages import RouterHello, RouterState
from almondfield_daemon.forwarding import ServerSelector
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.tests.fakes import (
    FakeEngines,
    FakeLimits,
    make_assignment,
)
from almondfield_daemon.forwarding.tests.requests import PROMPT, make_request, route
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_daemon.server_notices import Leaving, ServerNotices, ServerStart
from almondfield_fairshare.prefix_placement import Candidate, Placement
from almondfield_testing import count_calls, run

ROUTERS_IN_A_RUSH = 50  # so many that a router may prefill few prompts of its own
FIRST_OTHER = 10  # the servers before it may be chosen


@given("a prompt that the scheduler {decision}")
def step_impl(context, decision):
    context.decision = decision


@given("nothing is known of the servers")
def step_impl(context):
    context.leaving = context.failing = 0


@given("{count:d} of the other servers leave")
def step_impl(context, count):
    context.leaving, context.failing = count, 0


@given("{count:d} of the other servers have failed")
def step_impl(context, count):
    context.leaving, context.failing = 0, count


@when("a server is chosen for it among {few:d} and among {many:d} servers")
def step_impl(context, few, many):
    context.route = replace(route("streaming", 2), has_prompt=True)
    context.calls = [run(context, calls_among(context, n)) for n in (few, many)]


@then("the router makes at most {factor:g} times as many calls among {many:d}")
def step_impl(context, factor, many):
    of_few, of_many = context.calls
    assert of_many <= factor * of_few, context.calls


async def calls_among(context, count):
    """Return the number of calls that one choice and its later checks make."""
    hello = RouterHello("east", "r", "127.0.0.1:1", RouterState.READY)
    view = FleetView(None, hello, (), lambda: None)
    servers = tuple(
        FleetServer(f"s{n}", "p", f"127.0.0.1:{n + 1}", "east", 16)
        for n in range(count)
    )
    view._merge(servers, "control")
    placement = Placement(random.Random(1))
    notices = ServerNotices()
    engines = FakeEngines()
    match context.decision:
        case "admits":
            engines.assignment = make_assignment(servers[0].name)
        case "refuses for its share":
            engines.assignment = EngineRefusal(1.0, True, 0.1, 1)
        case "leaves undecided in a rush":
            view._last_router_count = ROUTERS_IN_A_RUSH * count
            candidate = Candidate(servers[0].name, 16)
            placement.start(candidate, PROMPT)
    others = servers[FIRST_OTHER:]
    for server in others[: context.leaving]:
        start = ServerStart(server.name, server.born_ms)
        notices.record(start, (Leaving(),), 0.0, "r")
    for server in others[: context.failing]:
        placement.record(server.name).record_failure()
    selector = ServerSelector(
        view, placement, "east", engines, HostDelay(), notices, FakeLimits()
    )
    request = make_request(context, 1.0, prompt=PROMPT)
    # The first choice creates records that later ones use.
    await selector.choose(request, frozenset())
    calls = Counter()
    with count_calls(calls):
        selected = await selector.choose(request, frozenset())
        if isinstance(selected, SelectedServer):
            selector.may_have_changed_version("p", selected.server)
            selector.may_be_left("p", selected)
    return calls.total()
