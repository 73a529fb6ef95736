"""Steps of the scenarios about regions in routing.feature."""

import re
from dataclasses import replace

from behave import given, then, when

from almondfield_core.routing import (
    DomainRegions,
    RoutingTable,
    TeamKeys,
    check_routing_table,
    regions_of_request,
)
from almondfield_core.routing.tests.steps.routing_steps import route


def read_regions(text):
    if text == "none":
        return ()
    return None if text == "all" else tuple(text.split(","))


def show(regions):
    return "all" if regions is None else ",".join(sorted(regions)) or "none"


@when('its {row} allows the regions "{regions}", and data centres are in "{known}"')
def step_impl(context, row, regions, known):
    rows = getattr(context.routing, f"{row}s")
    changed = (replace(rows[0], allowed_regions=read_regions(regions)),)
    table = replace(context.routing, **{f"{row}s": changed})
    context.findings = check_routing_table(table, frozenset(read_regions(known)))


@then('the findings are about "{places}"')
def step_impl(context, places):
    found = ",".join(item.place for item in context.findings) or "none"
    assert found == places, found


@given('a route that allows "{allowed}" and a team that allows "{by_team}"')
def step_impl(context, allowed, by_team):
    team = TeamKeys("t", (), None, read_regions(by_team))
    rule = route("/", allowed_regions=read_regions(allowed))
    context.regions = regions_of_request(rule, team)


@then('their requests may be processed in "{regions}"')
def step_impl(context, regions):
    assert show(context.regions) == regions, context.regions


@given('a table whose routes of domain "d" allow {lists}')
def step_impl(context, lists):
    context.routing = RoutingTable(
        1,
        tuple(
            route(f"/{index}/", allowed_regions=read_regions(regions))
            for index, regions in enumerate(re.findall('"([^"]*)"', lists))
        ),
    )
    context.domain_regions = DomainRegions()


@then('callers of "{domain}" are told routers in "{regions}"')
def step_impl(context, domain, regions):
    told = context.domain_regions.regions(context.routing, domain)
    assert show(told) == regions, told


@then('without a table, callers of "{domain}" are told routers in "{regions}"')
def step_impl(context, domain, regions):
    assert show(context.domain_regions.regions(None, domain)) == regions
