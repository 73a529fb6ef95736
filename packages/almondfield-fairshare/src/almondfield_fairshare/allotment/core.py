"""Weighted max-min sharing of whole slots."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["TeamDemand", "allot_to_teams", "split_over_routers", "spread_idle"]


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
