"""Weighted max-min sharing of whole slots."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "RouterNeed",
    "TeamDemand",
    "adjust_targets",
    "allot_to_teams",
    "split_over_routers",
    "spread_idle",
]


LEAST_MOVE = 2
"""Slots that a router must miss before slots in use move to it."""


@dataclass(frozen=True)
class RouterNeed:
    """What a router has and needs.

    :ivar granted: slots of its newest grant.
    :ivar fair: slots that its teams' shares come to.
    :ivar demand: requests that wait or run there.
    :ivar spare: unused slots that it should have beside its demand.
    """

    granted: int
    fair: int
    demand: int
    spare: int = 0


@dataclass(frozen=True)
class TeamDemand:
    """What a team could use of a pool now.

    :ivar requests: requests that wait or run.
    :ivar counter: weighted service, in slot-seconds per weight.
    :ivar weight: weight of the team.
    """

    requests: int
    counter: float
    weight: float


def allot_to_teams(
    slots: int, demand_by_team: Mapping[str, TeamDemand], horizon_s: float
) -> dict[str, int]:
    """Return the slots of each team.

    Every slot goes to the team whose counter would be lowest once its slots had run
    for the horizon. This fills up by weight and makes up for past differences.

    :param slots: slots of the pool.
    :param demand_by_team: demand of each team; none gets more than it asks for.
    :param horizon_s: seconds over which differences are made up.
    """
    allotted = dict.fromkeys(demand_by_team, 0)
    heap = [
        (demand.counter, team)
        for team, demand in demand_by_team.items()
        if demand.requests > 0
    ]
    heapq.heapify(heap)
    for _ in range(slots):
        if not heap:
            break
        counter, team = heap[0]
        demand = demand_by_team[team]
        allotted[team] += 1
        if allotted[team] < demand.requests:
            heapq.heapreplace(heap, (counter + horizon_s / demand.weight, team))
        else:
            heapq.heappop(heap)
    return allotted


def split_over_routers(
    slots: int,
    requests_by_router: Mapping[str, int],
    credit_by_router: Mapping[str, float],
) -> dict[str, int]:
    """Return the slots of a team at each router, close to the share of its requests.

    :param slots: slots of the team; at most the sum of its requests.
    :param requests_by_router: requests of the team that wait or run at each router.
    :param credit_by_router: slots that a router missed of its share so far, which
        let a router with few requests have its turn.
    """
    total = sum(requests_by_router.values())
    if slots >= total:
        return dict(requests_by_router)
    split = dict.fromkeys(requests_by_router, 0)
    missing = [
        (-(slots * requests / total + credit_by_router.get(router, 0.0)), router)
        for router, requests in requests_by_router.items()
        if requests > 0
    ]
    heapq.heapify(missing)
    for _ in range(slots):
        if not missing:
            break
        shortfall, router = heapq.heappop(missing)
        split[router] += 1
        if split[router] < requests_by_router[router]:
            heapq.heappush(missing, (shortfall + 1.0, router))
    return split


def spread_idle(idle: int, need_by_router: Mapping[str, float]) -> dict[str, int]:
    """Return idle slots by router: one each where possible, the rest by need.

    :param idle: slots that no request needs now.
    :param need_by_router: recent demand of each router.
    """
    if not need_by_router:
        return {}
    spread = dict.fromkeys(need_by_router, 0)
    heap = [(0.0, -need, router) for router, need in need_by_router.items()]
    heapq.heapify(heap)
    for _ in range(idle):
        _, negative_need, router = heap[0]
        spread[router] += 1
        filled = spread[router] / (1.0 - negative_need)
        heapq.heapreplace(heap, (filled + 1.0, negative_need, router))
    return spread


def adjust_targets(
    total: int, free: int, need_by_router: Mapping[str, RouterNeed]
) -> dict[str, int]:
    """Return the slots that each router should have, with few changes.

    A router that could run more gets slots that others leave unused; slots in use
    move for fairness only where a router misses at least two, or has none.

    :param total: slots of the pool.
    :param free: slots that no router may be using.
    :param need_by_router: what each router has, should have and could use.
    """
    target = {router: need.granted for router, need in need_by_router.items()}
    _take_back(target, need_by_router, sum(target.values()) - total)
    missing = _missing(target, need_by_router, free)
    for router in sorted(missing, key=lambda name: (-missing[name], name)):
        target[router] += missing[router]
    _take_back(target, need_by_router, sum(target.values()) - total)
    _take_unused(target, need_by_router, sum(missing.values()) - free)
    return target


def _missing(target, need_by_router, free) -> dict[str, int]:
    """Return the slots that each router lacks, where moving them is worth while."""
    unused = free + sum(
        max(0, target[router] - need.demand) for router, need in need_by_router.items()
    )
    missing = {}
    for router, need in need_by_router.items():
        lacks = need.fair - target[router]
        if lacks >= LEAST_MOVE or (lacks > 0 and not target[router]):
            missing[router] = lacks
        elif need.fair >= need.demand:
            missing[router] = max(0, need.demand + need.spare - target[router])
        elif lacks > 0:
            missing[router] = 0
    left = unused - sum(missing.values())
    for router in sorted(missing, key=lambda name: (target[name], name)):
        lacks = need_by_router[router].fair - target[router]
        if not missing[router] and 0 < lacks <= left:
            missing[router] = lacks
            left -= lacks
    return missing


def _take_unused(target, need_by_router, count: int) -> None:
    """Take unused slots back for what the free slots cannot give now."""
    moved = sum(
        max(0, need.granted - target[router]) for router, need in need_by_router.items()
    )
    unused = sum(
        max(0, min(target[router], need.granted) - need.demand)
        for router, need in need_by_router.items()
    )
    _take_back(target, need_by_router, min(unused, count - moved))


def _take_back(target, need_by_router, count: int) -> None:
    """Take slots from the routers that have most beyond their need."""
    for _ in range(count):
        router = max(
            target,
            key=lambda name: (
                target[name] - need_by_router[name].demand > 0,
                target[name] - need_by_router[name].fair,
                target[name],
                name,
            ),
        )
        target[router] -= 1
