"""Routers that send hellos to a control host, and their addresses for callers."""

import random
from dataclasses import dataclass

import eliot

from almondfield_core.clock import now
from almondfield_daemon.fleet.messages import RouterHello, RouterState

__all__ = ["RouterDirectory"]

HEARTBEAT_TIMEOUT_S = 2.5  # two hello intervals and some delay
EXPIRY_S = 20.0  # longer than callers cache an address
MAX_ADDRESSES = 64  # callers accept no more
MIN_IN_DATA_CENTRE = 2  # with one router, its failure leaves callers without any


@dataclass(frozen=True)
class _RouterRecord:
    """The last hello of a router.

    :ivar hello: the hello.
    :ivar last_seen_s: when it was received, in seconds of the loop's clock.
    """

    hello: RouterHello
    last_seen_s: float


class RouterDirectory:
    """Routers by host, from their hellos.

    :param rng: shuffles the addresses for callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._record_by_host: dict[str, _RouterRecord] = {}

    def record(self, host: str, hello: RouterHello) -> None:
        """Record a hello of a router.

        :param host: name of the router's host.
        :param hello: the hello.
        """
        known = self._record_by_host.get(host)
        if known is None or known.hello.state != hello.state:
            eliot.log_message("router:heard", router=host, state=hello.state.value)
        self._record_by_host[host] = _RouterRecord(hello, now())

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts whose routers sent a hello within ``EXPIRY_S``."""
        self._expire()
        return tuple(self._record_by_host)

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of the routers that :meth:`hosts` returns."""
        self._expire()
        records = self._record_by_host.values()
        return frozenset([item.hello.data_centre for item in records])

    def addresses(self, region: str, data_centre: str) -> tuple[str, ...]:
        """Return router addresses for a caller, in random order.

        The routers are those of the caller's data centre. If it has too few, they are
        those of the region, or all if the region has none.

        :param region: region of the caller.
        :param data_centre: data centre of the caller.
        """
        self._expire()
        ready = [
            item
            for item in self._record_by_host.values()
            if item.hello.state is RouterState.READY
        ]
        recent = [
            item for item in ready if now() - item.last_seen_s < HEARTBEAT_TIMEOUT_S
        ]
        # If no router has sent a recent hello, this host is probably partitioned.
        usable = [item.hello for item in recent or ready]
        near = [hello for hello in usable if hello.data_centre == data_centre]
        if len(near) < MIN_IN_DATA_CENTRE:
            in_region = [hello for hello in usable if hello.region == region]
            near = in_region or usable
        self._rng.shuffle(near)
        return tuple(hello.caller_address for hello in near[:MAX_ADDRESSES])

    def _expire(self) -> None:
        cutoff_s = now() - EXPIRY_S
        for host, item in list(self._record_by_host.items()):
            if item.last_seen_s < cutoff_s:
                del self._record_by_host[host]
                eliot.log_message("router:lost", router=host)
