"""Steps of evacuations.feature."""

import asyncio
from dataclasses import replace

from behave import given, when

from almondfield_daemon.forwarding.tests.fakes import make_assignment
from almondfield_daemon.forwarding.tests.requests import PROMPT, serve
from almondfield_testing import run


@given('only the first server is in "{data_centre}"')
def step_impl(context, data_centre):
    """Let the router prefer the first server, as it is in the router's data centre."""
    first, *others = context.view.fleet_servers
    others = [replace(server, data_centre="west") for server in others]
    context.view.fleet_servers = (replace(first, data_centre=data_centre), *others)


@given('only the first server is in "{data_centre}", which is evacuated')
def step_impl(context, data_centre):
    context.execute_steps(f'Given only the first server is in "{data_centre}"')
    context.evacuated = frozenset((data_centre,))


@given("all servers are in evacuated data centres")
def step_impl(context):
    context.execute_steps('Given only the first server is in "east"')
    context.evacuated = frozenset(("east", "west"))


@given("the data centre of its servers is evacuated")
def step_impl(context):
    context.evacuated = frozenset(("east",))


@given("the scheduler assigns the first server after {seconds:g} s")
def step_impl(context, seconds):
    context.engines.decisions = [(make_assignment("s0"), seconds), (None, 0.0)]


@given("the second server answers after 1.0 s and then loses its answer")
def step_impl(context):
    context.servers[1].failure = "loses its answer after 1.0 s"


@when('"{data_centre}" is evacuated {seconds:g} s after {request} came')
def step_impl(context, data_centre, seconds, request):
    prompt = PROMPT if request == "a request with a prompt" else None
    context.route = replace(context.route, has_prompt=prompt is not None)

    async def serve_and_evacuate():
        served = asyncio.ensure_future(serve(context, prompt=prompt))
        await asyncio.sleep(seconds)
        context.evacuated = frozenset((data_centre,))
        return await served

    context.served = run(context, serve_and_evacuate())


@when("the evacuations end")
def step_impl(context):
    context.evacuated = frozenset()
