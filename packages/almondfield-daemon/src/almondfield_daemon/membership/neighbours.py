"""The neighbours of a host, with which it exchanges heartbeats and updates."""

import hashlib
from collections.abc import Iterable

__all__ = ["find_neighbours"]

RINGS = 2


def find_neighbours(host: str, hosts: Iterable[str]) -> frozenset[str]:
    """Return the hosts adjacent to a host on rings that are ordered by hash.

    The relation is symmetric. A host has at most ``2 * RINGS`` neighbours whatever
    the size of the fleet, and the path between any two hosts grows with the logarithm
    of that size. Adding or removing a host changes the neighbours of few others.

    :param host: name of the host.
    :param hosts: names of all hosts.
    """
    names = sorted({host, *hosts})
    neighbours: set[str] = set()
    for ring in range(RINGS):
        ring_hosts = sorted(names, key=lambda name: _ring_position(name, ring))
        index = ring_hosts.index(host)
        neighbours |= {ring_hosts[index - 1], ring_hosts[(index + 1) % len(ring_hosts)]}
    return frozenset(neighbours - {host})


def _ring_position(name: str, ring: int) -> bytes:
    return hashlib.blake2b(f"{ring}/{name}".encode(), digest_size=8).digest()
