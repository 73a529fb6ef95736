"""Weighted max-min fair allocation of whole slots."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "RouterNeed",
    "TeamDemand",
    "adjust_targets",
    "allocate_to_teams",
    "split_over_routers",
    "spread_idle",
]


MIN_SLOT_MOVE = 2
"""Smallest deficit of a router for which slots in use move to it."""


@dataclass(frozen=True)
class RouterNeed:
    """Slots that a router has, and slots that it needs.

    :ivar granted: slots of its newest grant.
    :ivar fair: its fair share: the sum of its teams' slots.
    :ivar demand: requests that wait or run there.
    :ivar spare: unused slots that it should have in addition to its demand.
    """

    granted: int
    fair: int
    demand: int
    spare: int = 0


@dataclass(frozen=True)
class TeamDemand:
    """Demand of a team for the slots of a pool.

    :ivar requests: requests that wait or run.
    :ivar counter: service used so far, in slot-seconds per weight.
    :ivar weight: weight of the team.
    """

    requests: int
    counter: float
    weight: float


def allocate_to_teams(
    slots: int, demand_by_team: Mapping[str, TeamDemand], horizon_s: float
) -> dict[str, int]:
    """Return the slots of each team.

    Each slot goes to the team whose counter would be lowest after its slots have run
    for the horizon. This shares by weight and compensates for past differences.

    :param slots: slots of the pool.
    :param demand_by_team: demand of each team; no team gets more slots than it
        has requests.
    :param horizon_s: time over which differences are compensated, in seconds.
    """
    allocated = dict.fromkeys(demand_by_team, 0)
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
        allocated[team] += 1
        if allocated[team] < demand.requests:
            heapq.heapreplace(heap, (counter + horizon_s / demand.weight, team))
        else:
            heapq.heappop(heap)
    return allocated


def split_over_routers(
    slots: int,
    requests_by_router: Mapping[str, int],
    credit_by_router: Mapping[str, float],
) -> dict[str, int]:
    """Return the slots of a team at each router, in proportion to its requests.

    :param slots: slots of the team; at most the sum of its requests.
    :param requests_by_router: requests of the team that wait or run at each router.
    :param credit_by_router: slots by which a router has fallen short of its share so
        far. The credit ensures that a router with few requests gets a slot in time.
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
    """Return the idle slots by router: one each first, the rest by need.

    :param idle: slots that no request needs.
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

    A router with more requests than slots gets the unused slots of others. Slots in
    use move for fairness only to a router that is short of at least two, or has none.

    :param total: slots of the pool.
    :param free: slots that no router can be using.
    :param need_by_router: granted slots, fair share and demand of each router.
    """
    target = {router: need.granted for router, need in need_by_router.items()}
    _reclaim(target, need_by_router, sum(target.values()) - total)
    missing = _slots_to_add(target, need_by_router, free)
    for router in sorted(missing, key=lambda name: (-missing[name], name)):
        target[router] += missing[router]
    _reclaim(target, need_by_router, sum(target.values()) - total)
    _reclaim_unused(target, need_by_router, sum(missing.values()) - free)
    return target


def _slots_to_add(target, need_by_router, free) -> dict[str, int]:
    """Return the slots to add to each router; small deficits may be left out."""
    unused = free + sum(
        max(0, target[router] - need.demand) for router, need in need_by_router.items()
    )
    missing = {}
    for router, need in need_by_router.items():
        deficit = need.fair - target[router]
        if deficit >= MIN_SLOT_MOVE or (deficit > 0 and not target[router]):
            missing[router] = deficit
        elif need.fair >= need.demand:
            missing[router] = max(0, need.demand + need.spare - target[router])
        elif deficit > 0:
            missing[router] = 0
    left = unused - sum(missing.values())
    for router in sorted(missing, key=lambda name: (target[name], name)):
        deficit = need_by_router[router].fair - target[router]
        if not missing[router] and 0 < deficit <= left:
            missing[router] = deficit
            left -= deficit
    return missing


def _reclaim_unused(target, need_by_router, count: int) -> None:
    """Reclaim unused slots to cover what the free slots cannot."""
    moved = sum(
        max(0, need.granted - target[router]) for router, need in need_by_router.items()
    )
    unused = sum(
        max(0, min(target[router], need.granted) - need.demand)
        for router, need in need_by_router.items()
    )
    _reclaim(target, need_by_router, min(unused, count - moved))


def _reclaim(target, need_by_router, count: int) -> None:
    """Reclaim slots from the routers that exceed their need the most."""
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
