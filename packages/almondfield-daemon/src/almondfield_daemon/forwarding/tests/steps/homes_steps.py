"""Steps of homes.feature."""

from dataclasses import replace

import eliot
from behave import given, then, when

from almondfield_core.routing import RoutingIndex, TeamKeys
from almondfield_core.tables import hash_key
from almondfield_daemon.forwarding.tests.requests import PROMPT, serve
from almondfield_testing import in_loop


@given('requests are allowed in "{regions}"')
def step_impl(context, regions):
    context.allowed_regions = frozenset(regions.split(","))


@given('the route allows "{allowed}" and the team "{by_team}", {lease} {s:g} s left')
def step_impl(context, allowed, by_team, lease, s):
    table = context.subscription.index.table
    rule = replace(table.routes[0], is_public=True, allowed_regions=(allowed,))
    team = TeamKeys("t", (hash_key("k"),), None, (by_team,))
    table = replace(table, routes=(rule,), teams=(team,))
    context.subscription.index = RoutingIndex(table)
    context.subscription.fresh_s = s


@when("a request is served within its regions")
@in_loop
async def step_impl(context):
    context.served = await serve(context)


@when("a request with a prompt is served within its regions")
@in_loop
async def step_impl(context):
    context.route = replace(context.route, has_prompt=True)
    context.served = await serve(context, prompt=PROMPT)


@when("{count:d} requests are served within their regions")
@in_loop
async def step_impl(context, count):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    try:
        for _ in range(count):
            await serve(context)
    finally:
        eliot.remove_destination(context.messages.append)


@then('the scheduler was asked without "{server}", and the second server got it')
def step_impl(context, server):
    assert [item.excluded for item in context.engines.requests] == [(server,)]
    assert [len(item.received) for item in context.servers] == [0, 1]


@then("the request ends with status {status}")
def step_impl(context, status):
    problem, sink, error, _ = context.served
    got = "cut" if error else str(problem.status if problem else sink.status)
    assert got == status, (got, problem, error)


@then("the router refuses it for good with {status:d}")
def step_impl(context, status):
    answer = context.refusal.answer
    assert answer.startswith(b"HTTP/1.1 %d" % status), answer
    assert b"retry-after" not in answer, answer


@then("its data centre is logged once")
def step_impl(context):
    kinds = [item["message_type"] for item in context.messages]
    assert kinds.count("homes:unknown-data-centre") == 1, kinds
