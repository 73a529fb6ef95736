"""Chooses the addresses of routers for one caller.

Handles callers that choose alike: hundreds of connections of one team to the same
address of an answer, while its neighbours have a few, and routers of unequal size.
"""

import random
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from almondfield_daemon.router_addresses.callers import CallerRates
from almondfield_daemon.router_addresses.levels import MIN_NAMED, LoadLevels, sizes
from almondfield_daemon.router_addresses.reports import RouterLoad
from almondfield_daemon.router_addresses.sampling import draw, thin

__all__ = ["MAX_ADDRESSES", "AddressChooser", "Candidate"]

MAX_ADDRESSES = 64  # callers accept no more
SMALL_FLEET = 10  # routers; up to here all are named
# Callers who choose alike from different subsets of 8 of 21 send at most two in five
# to one router; with more names more, with fewer a caller has little to fall back on.
MAX_NAMED = 8
NAMED_FRACTION = 0.5  # with nearly all routers named, weights would have no effect
EQUAL_RATIO = 1.1  # sizes that differ by less count as equal
MAX_SIZE_RATIO = 4.0  # to the median; an absurd report must not attract all callers


@dataclass(frozen=True)
class Candidate:
    """A router that may be named.

    :ivar router: name of its host.
    :ivar address: ``ip:port`` for callers.
    :ivar load: its last report.
    """

    router: str
    address: str
    load: RouterLoad


class AddressChooser:
    """Chooses addresses from the last reports of routers.

    :param rng: shuffles addresses.

    :ivar levels: which routers are left out, or return.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rates = CallerRates()
        self.levels = LoadLevels()

    def evaluate(
        self, load_by_router: Mapping[str, RouterLoad], fleet_size: int
    ) -> None:
        """Evaluate the last reports of the ready routers of one data centre.

        :param load_by_router: the reports by the name of the host.
        :param fleet_size: number of routers of all data centres.
        """
        if fleet_size > SMALL_FLEET:
            self.levels.evaluate(load_by_router)
            return
        for router in load_by_router:
            self.levels.forget(router)

    def choose(
        self, near: Sequence[Candidate], fleet_size: int, caller: str
    ) -> tuple[str, ...]:
        """Return addresses in random order.

        :param near: routers that may be named.
        :param fleet_size: number of routers of all data centres.
        :param caller: name of the caller, which gets similar answers each time; empty
            if nothing is known about it.
        """
        weight_by_router = _weights(near)
        level_by_router = {item.router: self.levels.level(item.router) for item in near}
        names_few = self._names_few(weight_by_router)
        is_reduced = names_few or any(level < 1 for level in level_by_router.values())
        if fleet_size <= SMALL_FLEET or not is_reduced:
            addresses = [item.address for item in near]
            self._rng.shuffle(addresses)
            return tuple(addresses[:MAX_ADDRESSES])
        available = [item for item in near if level_by_router[item.router] > 0]
        if len(available) < MIN_NAMED:
            available = list(near)
            level_by_router = dict.fromkeys(level_by_router, 1.0)
        is_shared = self._rates.is_shared(caller)
        key = str(self._rng.random()) if is_shared else caller
        if names_few:
            count = min(int(NAMED_FRACTION * len(available)), MAX_NAMED)
            count = min(max(count, MIN_NAMED), len(available))
            weight_by_address = {
                item.address: weight_by_router[item.router]
                * level_by_router[item.router]
                for item in available
            }
            addresses = list(draw(weight_by_address, count, key, not is_shared))
        else:
            # Only the routers that return are missing from some answers.
            thinned = thin(
                {item.address: level_by_router[item.router] for item in available}, key
            )
            everyone = tuple(item.address for item in available)
            addresses = list(thinned if len(thinned) >= MIN_NAMED else everyone)
        self._rng.shuffle(addresses)
        return tuple(addresses[:MAX_ADDRESSES])

    def _names_few(self, weight_by_router: Mapping[str, float]) -> bool:
        """Return whether an answer names only a few routers."""
        weights = weight_by_router.values()
        if weights and max(weights) > EQUAL_RATIO * min(weights):
            return True
        return any(self.levels.is_crowded(router) for router in weight_by_router)


def _weights(near: Sequence[Candidate]) -> dict[str, float]:
    """Return the sizes of routers in relation to the median."""
    size_by_router = sizes({item.router: item.load for item in near})
    if not size_by_router:
        return {}
    middle = statistics.median(size_by_router.values())
    most = MAX_SIZE_RATIO * middle
    return {router: min(size, most) / middle for router, size in size_by_router.items()}
