"""Steps of routing.feature."""

import re
from dataclasses import replace

from behave import given, then, when

from almondfield_core.routing import (
    PoolShare,
    RequestKind,
    RouteRule,
    RoutingIndex,
    RoutingTable,
    ServerPool,
    TeamKeys,
    check_routing_table,
)


def route(prefix, **changes):
    rule = RouteRule(
        name=prefix,
        domain="d",
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        shares=(PoolShare("p"),),
        timeout_s=1.0,
        latency_target_s=0.1,
    )
    return replace(rule, **changes)


def change_route(context, **changes):
    routes = (replace(context.routing.routes[0], **changes),)
    context.routing = replace(context.routing, routes=routes)


@given('routes for {prefixes} of domain "d"')
def step_impl(context, prefixes):
    routes = tuple(route(prefix) for prefix in re.findall('"([^"]*)"', prefixes))
    context.index = RoutingIndex(RoutingTable(1, routes, (ServerPool("p", 1),)))


@then('path "{path}" of domain "{domain}" has route "{name}"')
def step_impl(context, path, domain, name):
    found = context.index.route(domain, path)
    assert (found.name if found else "none") == name, found


@given("a valid routing table")
def step_impl(context):
    teams = (TeamKeys("t", ("k",)),)
    context.routing = RoutingTable(1, (route("/a/"),), (ServerPool("p", 1),), teams)


@when("its version is 0")
def step_impl(context):
    context.routing = replace(context.routing, version=0)


@when("a team's name has a line end")
def step_impl(context):
    teams = (TeamKeys("t\r\nforged: 1", ("k",)),)
    context.routing = replace(context.routing, teams=teams)


@when("a team's name is beyond Latin-1")
def step_impl(context):
    context.routing = replace(context.routing, teams=(TeamKeys("\u4f60", ("k",)),))


@when("a route has timeout 0")
def step_impl(context):
    change_route(context, timeout_s=0.0)


@when("a route has weights that add up to 0")
def step_impl(context):
    change_route(context, shares=(PoolShare("p", 0.0),))


@when("a route has a negative weight")
def step_impl(context):
    change_route(context, shares=(PoolShare("p", -1.0), PoolShare("p", 2.0)))


@when("a route names an unknown pool")
def step_impl(context):
    change_route(context, shares=(PoolShare("unknown"),))


@when("a route has no trailing slash")
def step_impl(context):
    change_route(context, path_prefix="/a")


@when("a route has 0 attempts")
def step_impl(context):
    change_route(context, max_attempts=0)


@when("a route is repeated")
def step_impl(context):
    context.routing = replace(context.routing, routes=context.routing.routes * 2)


@when("two teams share a key")
def step_impl(context):
    teams = (TeamKeys("t", ("k",)), TeamKeys("u", ("k",)))
    context.routing = replace(context.routing, teams=teams)


@when("a team is repeated")
def step_impl(context):
    teams = (TeamKeys("t", ("k",)), TeamKeys("t", ("l",)))
    context.routing = replace(context.routing, teams=teams)


@when("a pool is repeated")
def step_impl(context):
    context.routing = replace(context.routing, pools=context.routing.pools * 2)


@then('the findings name "{place}"')
def step_impl(context, place):
    places = [finding.place for finding in check_routing_table(context.routing)]
    assert place in places, places


@then("there are {count:d} findings")
def step_impl(context, count):
    findings = check_routing_table(context.routing)
    assert len(findings) == count, [str(finding) for finding in findings]
