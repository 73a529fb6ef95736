"""Checks the rows of the tables, individually and against each other."""

import functools
import re
from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence

from almondfield_core.findings import Finding, format_value
from almondfield_core.tables.core import Pool, Route, Timeouts

__all__ = ["check_named_rows", "check_row_counts", "check_tables"]

MAX_POOLS = 10_000
MAX_ROUTES = 100_000
MAX_KEYS_PER_ROUTE = 64
MAX_NAME_LENGTH = 128
MAX_PREFIX_LENGTH = 1024
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000_000.0
MAX_SERVERS = 100_000
MAX_SLOTS = 100_000
MAX_QUEUE_LIMIT = 1_000_000
MAX_TIMEOUT_S = 86_400.0
MAX_COST_S = 86_400.0

METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
KEY_HASH = re.compile(r"[0-9a-f]{64}")
PATH_PREFIX = re.compile(r"/[!-~]*")

NameRow = Callable[[int], str]


def check_tables(pools: Sequence[Pool], routes: Sequence[Route]) -> tuple[Finding, ...]:
    """Return a finding for each problem with the rows, those of pools first.

    :param pools: rows of the pools table.
    :param routes: rows of the routes table.
    """
    oversize = tuple(check_row_counts(len(pools), len(routes)))
    if oversize:
        return oversize
    return check_named_rows(pools, routes, "pools[{}]".format, "routes[{}]".format)


def check_named_rows(
    pools: Sequence[Pool],
    routes: Sequence[Route],
    name_pool: NameRow,
    name_route: NameRow,
) -> tuple[Finding, ...]:
    """Return a finding for each problem with the rows, those of pools first.

    :param pools: rows of the pools table.
    :param routes: rows of the routes table.
    :param name_pool: returns the place of a pool by its index.
    :param name_route: returns the place of a route by its index.
    """
    findings: list[Finding] = []
    for index, pool in enumerate(pools):
        findings += _check_pool(name_pool(index), pool)
    findings += _find_repeated_pools(pools, name_pool)
    pool_names = {pool.name for pool in pools}
    for index, route in enumerate(routes):
        findings += _check_route(name_route(index), route, pool_names)
    findings += _find_repeated_routes(routes, name_route)
    findings += _find_shared_keys(routes, name_route)
    findings += _find_differing_weights(routes, name_route)
    return tuple(findings)


def check_row_counts(pools: int, routes: int) -> Iterator[Finding]:
    """Return a finding for each table that has too many rows.

    :param pools: number of rows of the pools table.
    :param routes: number of rows of the routes table.
    """
    if pools > MAX_POOLS:
        yield Finding("pools", f"has {pools} rows", f"at most {MAX_POOLS}")
    if routes > MAX_ROUTES:
        yield Finding("routes", f"has {routes} rows", f"at most {MAX_ROUTES}")


def _check_pool(path: str, pool: Pool) -> Iterator[Finding]:
    yield from _check_name(f"{path}.name", pool.name)
    yield from _check_range(
        f"{path}.wanted_servers", pool.wanted_servers, 0, MAX_SERVERS
    )
    yield from _check_range(
        f"{path}.max_slots_per_server", pool.max_slots_per_server, 0, MAX_SLOTS
    )
    yield from _check_duration(f"{path}.typical_cost", pool.typical_cost, MAX_COST_S)
    yield from _check_timeouts(f"{path}.timeouts", pool.timeouts)
    selects = pool.selects
    if pool.wanted_servers and not selects.model:
        problem = f"is {pool.wanted_servers}, but selects.model is empty"
        yield Finding(f"{path}.wanted_servers", problem, "0, or name the model")
    if selects.version and not selects.model:
        problem = f"is {format_value(selects.version)}, but selects.model is empty"
        yield Finding(f"{path}.selects.version", problem, "name the model too")
    names = (selects.model, selects.version, *selects.adapters)
    labels = (*selects.label_by_name.keys(), *selects.label_by_name.values())
    for name in (*names, *labels):
        if name:
            yield from _check_name(f"{path}.selects", name)


def _check_timeouts(path: str, timeouts: Timeouts) -> Iterator[Finding]:
    for item in ("connect_s", "first_byte_s", "chunk_s"):
        yield from _check_duration(
            f"{path}.{item}", getattr(timeouts, item), MAX_TIMEOUT_S
        )


def _check_route(path: str, route: Route, pool_names: set[str]) -> Iterator[Finding]:
    yield from _check_name(f"{path}.team", route.team)
    if route.pool not in pool_names:
        problem = f"no pool {format_value(route.pool)}"
        yield Finding(f"{path}.pool", problem, "the name of a row of pools")
    if len(route.path_prefix) > MAX_PREFIX_LENGTH or not PATH_PREFIX.fullmatch(
        route.path_prefix
    ):
        allowed = f"/ and then up to {MAX_PREFIX_LENGTH - 1} printable characters"
        yield Finding(
            f"{path}.path_prefix", f"is {format_value(route.path_prefix)}", allowed
        )
    yield from _check_range(f"{path}.weight", route.weight, MIN_WEIGHT, MAX_WEIGHT)
    yield from _check_range(
        f"{path}.queue_limit", route.queue_limit, 1, MAX_QUEUE_LIMIT
    )
    yield from _check_duration(
        f"{path}.queue_deadline_s", route.queue_deadline_s, MAX_TIMEOUT_S
    )
    yield from _check_keys(f"{path}.key_hashes", route.key_hashes)
    for index in _invalid_method_indexes(route.idempotent_methods):
        place = f"{path}.idempotent_methods[{index}]"
        problem = f"is {format_value(route.idempotent_methods[index])}"
        yield Finding(place, problem, "an HTTP method in capitals")


# Cached, as most routes of a fleet have the same few methods.
@functools.lru_cache(maxsize=256)
def _invalid_method_indexes(methods: tuple[str, ...]) -> tuple[int, ...]:
    """Return the indexes of the items that are not HTTP methods."""
    return tuple(
        index for index, method in enumerate(methods) if not METHOD.fullmatch(method)
    )


def _check_keys(path: str, key_hashes: tuple[str, ...]) -> Iterator[Finding]:
    if len(key_hashes) > MAX_KEYS_PER_ROUTE:
        problem = f"has {len(key_hashes)} hashes"
        yield Finding(path, problem, f"at most {MAX_KEYS_PER_ROUTE}")
    for index, key_hash in enumerate(key_hashes):
        if not KEY_HASH.fullmatch(key_hash):
            place = f"{path}[{index}]"
            yield Finding(
                place,
                f"is {format_value(key_hash)}",
                "a SHA-256 of 64 lower-case hexadecimal digits",
            )


def _check_name(path: str, name: str) -> Iterator[Finding]:
    has_valid_length = 1 <= len(name) <= MAX_NAME_LENGTH
    if not has_valid_length or not name.isprintable() or name != name.strip():
        allowed = f"1 to {MAX_NAME_LENGTH} printable characters, no space at either end"
        yield Finding(path, f"is {format_value(name)}", allowed)


def _check_range(
    path: str, value: float, minimum: float, maximum: float
) -> Iterator[Finding]:
    if not minimum <= value <= maximum:
        yield Finding(path, f"is {value}", f"{minimum:g} to {maximum:.0f}")


def _check_duration(path: str, value: float, max_s: float) -> Iterator[Finding]:
    if not 0 < value <= max_s:
        yield Finding(path, f"is {value}", f"above 0, at most {max_s:.0f} s")


def _find_repeated_pools(
    pools: Sequence[Pool], name_pool: NameRow
) -> Iterator[Finding]:
    for index, first in _find_repeats(pool.name for pool in pools):
        problem = (
            f"{format_value(pools[index].name)} is also the name of {name_pool(first)}"
        )
        yield Finding(f"{name_pool(index)}.name", problem, "a unique name")


def _find_repeated_routes(
    routes: Sequence[Route], name_route: NameRow
) -> Iterator[Finding]:
    keys = ((route.team, route.path_prefix) for route in routes)
    for index, first in _find_repeats(keys):
        route = routes[index]
        problem = (
            f"team {format_value(route.team)} has {format_value(route.path_prefix)} "
            f"in {name_route(first)} already"
        )
        yield Finding(name_route(index), problem, "one route per team and prefix")


def _find_shared_keys(
    routes: Sequence[Route], name_route: NameRow
) -> Iterator[Finding]:
    first_by_hash: dict[str, int] = {}
    for index, route in enumerate(routes):
        for key_hash in route.key_hashes:
            first = first_by_hash.setdefault(key_hash, index)
            team = routes[first].team
            if team != route.team:
                problem = (
                    f"{format_value(key_hash[:12])}... is a key of team "
                    f"{format_value(team)} in {name_route(first)}"
                )
                yield Finding(
                    f"{name_route(index)}.key_hashes", problem, "a key of one team only"
                )


def _find_differing_weights(
    routes: Sequence[Route], name_route: NameRow
) -> Iterator[Finding]:
    for index, first in _find_repeats((route.team, route.pool) for route in routes):
        route, weight = routes[index], routes[first].weight
        if route.weight != weight:
            problem = (
                f"is {route.weight}, but team {format_value(route.team)} has weight "
                f"{weight} in pool {format_value(route.pool)} by {name_route(first)}"
            )
            yield Finding(
                f"{name_route(index)}.weight", problem, "one weight per team and pool"
            )


def _find_repeats(keys: Iterable[Hashable]) -> Iterator[tuple[int, int]]:
    """Return the index of each repeated key with the index of its first use."""
    first_by_key: dict[Hashable, int] = {}
    for index, key in enumerate(keys):
        first = first_by_key.setdefault(key, index)
        if first != index:
            yield index, first
