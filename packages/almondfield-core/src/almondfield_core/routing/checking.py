"""Checks a routing table and reports every problem with it."""

import math
import re
from collections.abc import Iterator

from almondfield_core.findings import Finding, format_value
from almondfield_core.routing.core import RouteRule, RoutingTable
from almondfield_core.routing.homes import check_homes

__all__ = ["check_routing_table"]

# Requests name their team in a header; without a name, the header is left out.
TEAM_NAME = re.compile(r"[\x20-\x7e\xa0-\xff]*")


def check_routing_table(
    table: RoutingTable, regions: frozenset[str] = frozenset()
) -> tuple[Finding, ...]:
    """Return a finding for each rule that the table breaks.

    :param table: the table, whose values have the right types.
    :param regions: regions of all data centres; empty if they aren't known.
    """
    return (
        *_check_version(table),
        *_check_pools(table),
        *_check_routes(table),
        *_check_teams(table),
        *check_homes(table, regions),
    )


def _check_version(table: RoutingTable) -> Iterator[Finding]:
    if table.version < 1:
        yield Finding("version", f"{table.version}", "1 or more")


def _check_pools(table: RoutingTable) -> Iterator[Finding]:
    seen: set[str] = set()
    for index, pool in enumerate(table.pools):
        if not pool.name:
            yield Finding(f"pools[{index}].name", "empty", "a name")
        if pool.name in seen:
            place = f"pools[{index}].name"
            yield Finding(place, f"{pool.name!r} is repeated", "a unique name")
        seen.add(pool.name)
        for name in ("cold_start_s", "warmup_per_s"):
            value = getattr(pool, name)
            if not 0 <= value < math.inf:
                yield Finding(f"pools[{index}].{name}", f"{value}", "0 or more")


def _check_routes(table: RoutingTable) -> Iterator[Finding]:
    pools = {pool.name for pool in table.pools}
    first_by_key: dict[tuple[str, str], int] = {}
    for index, route in enumerate(table.routes):
        place = f"routes[{index}]"
        yield from _check_route(place, route, pools)
        key = (route.domain, route.path_prefix)
        first = first_by_key.setdefault(key, index)
        if first != index:
            problem = f"same domain and prefix as routes[{first}]"
            yield Finding(place, problem, "one route per domain and prefix")


def _check_route(place: str, route: RouteRule, pools: set[str]) -> Iterator[Finding]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        allowed = "a prefix that begins and ends with /"
        yield Finding(f"{place}.path_prefix", f"{prefix!r}", allowed)
    if route.timeout_s <= 0:
        yield Finding(f"{place}.timeout_s", f"{route.timeout_s}", "more than 0")
    if route.max_attempts < 1:
        yield Finding(f"{place}.max_attempts", f"{route.max_attempts}", "1 or more")
    for share_index, share in enumerate(route.shares):
        if share.pool not in pools:
            share_place = f"{place}.shares[{share_index}].pool"
            yield Finding(share_place, f"no pool {share.pool!r}", "the name of a pool")
        if share.weight < 0:
            share_place = f"{place}.shares[{share_index}].weight"
            yield Finding(share_place, f"{share.weight}", "0 or more")
    if sum(share.weight for share in route.shares) <= 0:
        yield Finding(f"{place}.shares", "weights add up to 0", "more than 0")


def _check_teams(table: RoutingTable) -> Iterator[Finding]:
    team_by_key_hash: dict[str, str] = {}
    names: set[str] = set()
    for index, team in enumerate(table.teams):
        if TEAM_NAME.fullmatch(team.team) is None:
            allowed = "characters of Latin-1 but control characters"
            problem = f"is {format_value(team.team)}"
            yield Finding(f"teams[{index}].team", problem, allowed)
        if team.team in names:
            problem = f"{team.team!r} is repeated"
            yield Finding(f"teams[{index}].team", problem, "one row per team")
        names.add(team.team)
        for key_index, key_hash in enumerate(team.key_hashes):
            owner = team_by_key_hash.setdefault(key_hash, team.team)
            if owner != team.team:
                place = f"teams[{index}].key_hashes[{key_index}]"
                yield Finding(place, f"is also a key of {owner!r}", "a key of one team")
