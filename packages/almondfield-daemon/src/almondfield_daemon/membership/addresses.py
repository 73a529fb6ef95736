"""The hosts that ``GET /addresses`` returns, and their order."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from almondfield_core.settings import HostSettings

__all__ = ["AddressAnswer", "HostAddress", "order_hosts"]

MIN_WEIGHT = 0.05


@dataclass(frozen=True)
class HostAddress:
    """One host that takes callers' requests.

    :ivar host: name of the host.
    :ivar data_centre: data centre of the host.
    :ivar address: ``ip:port`` for callers.
    """

    host: str
    data_centre: str
    address: str


@dataclass(frozen=True)
class AddressAnswer:
    """Addresses that a caller may use, in order of preference.

    :ivar addresses: the addresses.
    :ivar lifetime_s: seconds for which the caller may cache the answer.
    """

    addresses: tuple[HostAddress, ...]
    lifetime_s: float


def order_hosts(
    hosts: Iterable[tuple[HostSettings, float]],
    data_centre: str,
    region: str,
    random_source: random.Random,
) -> tuple[HostAddress, ...]:
    """Return addresses by distance, then in random order weighted by spare capacity.

    The caller's data centre comes first, then its region, then all other hosts.

    :param hosts: hosts with their spare capacity, relative to each other.
    :param data_centre: data centre of the caller.
    :param region: region of that data centre.
    :param random_source: source of the order among equally distant hosts.
    """

    def rank(item: tuple[HostSettings, float]) -> tuple[int, str, float]:
        host, spare = item
        near = host.data_centre == data_centre
        distance = 0 if near else 1 if host.region == region else 2
        # For uniform u, the probability that a host has the greatest
        # u ** (1 / weight) is proportional to its weight.
        draw = random_source.random() ** (1.0 / max(spare, MIN_WEIGHT))
        return distance, "" if distance else host.data_centre, -draw

    return tuple(
        HostAddress(host.name, host.data_centre, f"{host.address}:{host.caller_port}")
        for host, _ in sorted(hosts, key=rank)
    )
