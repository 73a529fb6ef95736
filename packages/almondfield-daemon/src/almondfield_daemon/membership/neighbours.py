"""Which hosts a host exchanges heartbeats and news with."""

import hashlib
from collections.abc import Iterable

__all__ = ["find_neighbours"]

RINGS = 2


def find_neighbours(host: str, hosts: Iterable[str]) -> frozenset[str]:
    """Return the hosts beside a host on rings that are shuffled by hash.

    The relation is symmetric. A host has at most ``2 * RINGS`` neighbours whatever
    the size of the fleet, and the path between any two hosts grows with the logarithm
    of that size. A host that comes or goes changes the neighbours of few others.

    :param host: name of the host.
    :param hosts: names of all hosts.
    """
    names = sorted({host, *hosts})
    neighbours: set[str] = set()
    for ring in range(RINGS):
        order = sorted(names, key=lambda name: _place(name, ring))
        index = order.index(host)
        neighbours |= {order[index - 1], order[(index + 1) % len(order)]}
    return frozenset(neighbours - {host})


def _place(name: str, ring: int) -> bytes:
    return hashlib.blake2b(f"{ring}/{name}".encode(), digest_size=8).digest()
