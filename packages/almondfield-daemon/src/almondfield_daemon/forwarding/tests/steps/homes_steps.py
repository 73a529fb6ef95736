"""Steps of homes.feature."""

from dataclasses import replace

from behave import given, then

from almondfield_core.routing import RoutingIndex, TeamKeys
from almondfield_core.tables import hash_key


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


@then("the router refuses it for good with {status:d}")
def step_impl(context, status):
    answer = context.refusal.answer
    assert answer.startswith(b"HTTP/1.1 %d" % status), answer
    assert b"retry-after" not in answer, answer
