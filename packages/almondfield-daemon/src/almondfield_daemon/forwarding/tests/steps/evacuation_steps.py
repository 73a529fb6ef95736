"""Steps of evacuations.feature."""

import asyncio
from dataclasses import replace

from behave import given, when

from almondfield_daemon.forwarding.tests.requests import PROMPT, serve
from almondfield_testing import in_loop


@given('only the first server is in "{data_centre}", where connections take {s:g} s')
def step_impl(context, data_centre, s):
    # The router is in "east" too, so it prefers that server.
    first, *others = context.view.fleet_servers
    others = [replace(server, data_centre="west") for server in others]
    context.view.fleet_servers = (replace(first, data_centre=data_centre), *others)
    context.backends.connect_s = s


@given("the data centre of its servers is evacuated")
def step_impl(context):
    context.evacuated = frozenset(("east",))


@when('"{data_centre}" is evacuated {seconds:g} s after {request} came')
@in_loop
async def step_impl(context, data_centre, seconds, request):
    prompt = PROMPT if request == "a request with a prompt" else None
    context.route = replace(context.route, has_prompt=prompt is not None)
    served = asyncio.ensure_future(serve(context, prompt=prompt))
    await asyncio.sleep(seconds)
    context.evacuated = frozenset((data_centre,))
    context.served = await served
