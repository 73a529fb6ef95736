"""Placement of routers' slots on servers, with as few moves as possible."""

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
    """Return the slots by router and server that come closest to the targets.

    Slots are added only from what is free now. A slot taken from one router becomes
    free once that router has confirmed that it does not use it.

    :param target_by_router: slots that each router should have.
    :param granted_by_router: slots by server of the newest grant to each router.
    :param in_flight_by_router: requests by server that each router reported.
    :param free_by_server: slots that no router may be using.
    :param slots_by_server: slots of the servers that may get new work.
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
    """Take slots away, unused ones first, from the fullest server."""
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
    """Take slots away from a server that announces fewer than were granted."""
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
    """Give free slots to the routers that miss the largest part of their target."""
    while free.total() > 0:
        wanting = [
            r for r, kept in placed.items() if kept.total() < target_by_router[r]
        ]
        if not wanting:
            return
        router = min(
            wanting, key=lambda r: (placed[r].total() / target_by_router[r], r)
        )
        kept = placed[router]
        server = max(
            (name for name, slots in free.items() if slots > 0),
            key=lambda name: (free[name] / slots_by_server[name], -kept[name], name),
        )
        kept[server] += 1
        free[server] -= 1
