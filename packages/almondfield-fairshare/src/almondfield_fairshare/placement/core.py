"""Placement of routers' slots on servers, moving as few slots as possible."""

from collections import Counter
from collections.abc import Mapping

__all__ = ["place_slots"]


def place_slots(
    target_by_router: Mapping[str, int],
    granted_by_router: Mapping[str, Mapping[str, int]],
    in_flight_by_router: Mapping[str, Mapping[str, int]],
    free_by_server: Mapping[str, int],
    slots_by_server: Mapping[str, int],
) -> dict[str, dict[str, int]]:
    """Return the slots by router and server that are closest to the targets.

    Only slots that are free now are added. A slot taken from one router becomes free
    after that router has confirmed that it does not use it.

    :param target_by_router: slots that each router should have.
    :param granted_by_router: slots by server in the newest grant to each router.
    :param in_flight_by_router: requests in flight by server, as each router reported.
    :param free_by_server: slots that no router can be using.
    :param slots_by_server: slots of the servers that take new work.
    """
    free = Counter({s: n for s, n in free_by_server.items() if s in slots_by_server})
    placed = {}
    for router in sorted(target_by_router):
        kept = Counter(
            {
                server: min(slots, slots_by_server[server])
                for server, slots in granted_by_router.get(router, {}).items()
                if server in slots_by_server
            }
        )
        in_flight = in_flight_by_router.get(router, {})
        _shrink(kept, target_by_router[router], in_flight, slots_by_server)
        placed[router] = kept
    _cap_servers(placed, in_flight_by_router, slots_by_server)
    _grow(placed, target_by_router, free, slots_by_server)
    return {
        router: {s: n for s, n in kept.items() if n} for router, kept in placed.items()
    }


def _shrink(kept, target, in_flight, slots_by_server):
    """Remove slots beyond the target: unused ones first, from the fullest server."""
    for _ in range(kept.total() - target):
        server = max(
            (name for name, slots in kept.items() if slots),
            key=lambda name: (
                kept[name] > in_flight.get(name, 0),
                kept[name] / slots_by_server[name],
                name,
            ),
        )
        kept[server] -= 1


def _cap_servers(placed, in_flight_by_router, slots_by_server):
    """Remove slots of servers that announce fewer than were granted."""
    for server, slots in slots_by_server.items():
        excess = sum(kept[server] for kept in placed.values()) - slots
        for _ in range(excess):
            router = max(
                (name for name, kept in placed.items() if kept[server]),
                key=lambda name: (
                    placed[name][server]
                    - in_flight_by_router.get(name, {}).get(server, 0),
                    name,
                ),
            )
            placed[router][server] -= 1


def _grow(placed, target_by_router, free, slots_by_server):
    """Add free slots to the routers that are furthest below their target."""
    while free.total() > 0:
        below_target = [
            r for r, kept in placed.items() if kept.total() < target_by_router[r]
        ]
        if not below_target:
            return
        router = min(
            below_target, key=lambda r: (placed[r].total() / target_by_router[r], r)
        )
        kept = placed[router]
        server = max(
            (name for name, slots in free.items() if slots > 0),
            key=lambda name: (free[name] / slots_by_server[name], -kept[name], name),
        )
        kept[server] += 1
        free[server] -= 1
