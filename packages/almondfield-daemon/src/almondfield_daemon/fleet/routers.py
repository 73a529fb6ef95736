"""Routers that send hellos to a control host, and their addresses for callers."""

import random
from dataclasses import dataclass

import eliot

from almondfield_core.clock import now
from almondfield_core.containment import contain_errors
from almondfield_daemon.fleet.messages import RouterHello, RouterState
from almondfield_daemon.router_addresses import (
    AddressChooser,
    Candidate,
    RouterLoad,
    clamp_load,
)

__all__ = ["RouterDirectory"]

HEARTBEAT_TIMEOUT_S = 2.5  # two hello intervals and some delay
EXPIRY_S = 20.0  # longer than callers cache an address
# The shortest time in which a lost host must have been noticed, and 3 s: a router that
# ended earlier must not be named.
FALLBACK_S = 6.0
NONE_ALLOWED_LOG_INTERVAL_S = 10.0  # callers ask again every 2 s
EVALUATION_INTERVAL_S = 0.25  # a fraction of the hello interval
MIN_IN_DATA_CENTRE = 2  # with one router, its failure leaves callers without any


@dataclass(frozen=True)
class _RouterRecord:
    """The last hello of a router.

    :ivar hello: the hello.
    :ivar load: the load that it reports, within bounds.
    :ivar odd_items: items of the load that were out of bounds.
    :ivar last_seen_s: when it was received, in seconds of the loop's clock.
    """

    hello: RouterHello
    load: RouterLoad
    odd_items: tuple[str, ...]
    last_seen_s: float


class RouterDirectory:
    """Routers by host, from their hellos.

    :param rng: shuffles the addresses for callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._chooser = AddressChooser(rng)
        self._record_by_host: dict[str, _RouterRecord] = {}
        self._evaluated_s = float("-inf")
        self._none_allowed_logged_s = float("-inf")

    def record(self, host: str, hello: RouterHello) -> None:
        """Record a hello of a router.

        :param host: name of the router's host.
        :param hello: the hello.
        """
        known = self._record_by_host.get(host)
        if known is None or known.hello.state != hello.state:
            eliot.log_message("router:heard", router=host, state=hello.state.value)
        reported = RouterLoad(
            hello.cores, hello.connections, hello.running, hello.loop_delay_s
        )
        load, odd_items = clamp_load(reported)
        if odd_items and (known is None or known.odd_items != odd_items):
            values = {name: repr(vars(reported)[name]) for name in odd_items}
            eliot.log_message("router:odd-report", router=host, values=values)
        self._record_by_host[host] = _RouterRecord(hello, load, odd_items, now())
        # The router needs its reply all the same.
        with contain_errors("evaluation of routers"):
            self._evaluate_loads()

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts whose routers sent a hello within ``EXPIRY_S``."""
        self._expire()
        return tuple(self._record_by_host)

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of the routers that :meth:`hosts` returns."""
        self._expire()
        records = self._record_by_host.values()
        return frozenset([item.hello.data_centre for item in records])

    def left_out_count(self) -> int:
        """Return the number of routers that are left out as they are overloaded."""
        return self._chooser.levels.left_out_count()

    def left_out_total(self) -> int:
        """Return how often a router was left out since the start."""
        return self._chooser.levels.left_out_total

    def addresses(
        self,
        region: str,
        data_centre: str,
        caller: str = "",
        allowed_regions: frozenset[str] | None = None,
    ) -> tuple[str, ...]:
        """Return router addresses for a caller, in random order.

        The routers are those of the caller's data centre. If it has too few, they are
        those of the region, or all if the region has none. Where their sizes differ or
        some are overloaded, only a few of them are named. Routers that are neither in
        the caller's region nor in an allowed one are never named.

        :param region: region of the caller.
        :param data_centre: data centre of the caller.
        :param caller: name of the caller; empty if nothing is known about it.
        :param allowed_regions: other regions whose routers may be named; None for all.
        """
        self._expire()
        # If no router has sent a recent hello, this host is probably partitioned.
        usable = self._ready(HEARTBEAT_TIMEOUT_S) or self._ready(FALLBACK_S)
        permitted = usable
        if allowed_regions is not None:
            regions = allowed_regions | {region}
            permitted = {
                host: item
                for host, item in usable.items()
                if item.hello.region in regions
            }
            if usable and not permitted:
                self._log_none_allowed(allowed_regions)
        near = {
            host: item
            for host, item in permitted.items()
            if item.hello.data_centre == data_centre
        }
        if len(near) < MIN_IN_DATA_CENTRE:
            in_region = {
                host: item
                for host, item in permitted.items()
                if item.hello.region == region
            }
            near = in_region or permitted
        candidates = [
            Candidate(host, item.hello.caller_address, item.load)
            for host, item in near.items()
        ]
        return self._chooser.choose(candidates, len(usable), caller)

    def _log_none_allowed(self, allowed_regions: frozenset[str]) -> None:
        if now() - self._none_allowed_logged_s >= NONE_ALLOWED_LOG_INTERVAL_S:
            self._none_allowed_logged_s = now()
            eliot.log_message("router:none-allowed", allowed=sorted(allowed_regions))

    def _ready(self, within_s: float) -> dict[str, _RouterRecord]:
        """Return the ready routers whose last hello came within a time."""
        cutoff_s = now() - within_s
        return {
            host: item
            for host, item in self._record_by_host.items()
            if item.hello.state is RouterState.READY and item.last_seen_s > cutoff_s
        }

    def _evaluate_loads(self) -> None:
        """Evaluate the reports of all data centres, at most once in an interval."""
        if now() - self._evaluated_s < EVALUATION_INTERVAL_S:
            return
        self._evaluated_s = now()
        ready = self._ready(HEARTBEAT_TIMEOUT_S)
        loads_by_centre: dict[str, dict[str, RouterLoad]] = {}
        for host, item in ready.items():
            loads = loads_by_centre.setdefault(item.hello.data_centre, {})
            loads[host] = item.load
        for loads in loads_by_centre.values():
            self._chooser.evaluate(loads, len(ready))

    def _expire(self) -> None:
        cutoff_s = now() - EXPIRY_S
        for host, item in list(self._record_by_host.items()):
            if item.last_seen_s < cutoff_s:
                del self._record_by_host[host]
                self._chooser.levels.forget(host)
                eliot.log_message("router:lost", router=host)
