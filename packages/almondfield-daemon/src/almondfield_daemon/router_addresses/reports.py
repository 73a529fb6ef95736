"""What a router reports about its size and load, and when it does so early."""

import math
from dataclasses import dataclass, replace

from almondfield_core.clock import now

__all__ = ["EarlyReports", "RouterLoad", "clamp_load"]

MIN_CORES = 0.01
MAX_CORES = 1024.0
MAX_COUNT = 1_000_000  # more connections than a process has descriptors
MAX_LOOP_DELAY_S = 60.0  # a router that is this late has been lost long before
EARLY_INTERVAL_S = 0.4  # two early reports between two hellos
EARLY_CONNECTIONS = 32  # half of what overloads a router
EARLY_FACTOR = 1.5
LATE_S = 0.25  # the delay from which a router's timeouts show nothing about servers


@dataclass(frozen=True)
class RouterLoad:
    """Size and load of a router.

    :ivar cores: processor cores that it may use; 0 if it doesn't tell.
    :ivar connections: open connections of callers.
    :ivar running: requests in work.
    :ivar loop_delay_s: longest recent delay of its event loop, in seconds.
    """

    cores: float = 0.0
    connections: int = 0
    running: int = 0
    loop_delay_s: float = 0.0


def clamp_load(load: RouterLoad) -> tuple[RouterLoad, tuple[str, ...]]:
    """Return a load within bounds, and the names of the items that were outside.

    :param load: the load as reported by a host, which may be of another build.
    """
    clamped = RouterLoad(
        cores=_clamp(load.cores, MIN_CORES, MAX_CORES) if load.cores else 0.0,
        connections=int(_clamp(load.connections, 0, MAX_COUNT)),
        running=int(_clamp(load.running, 0, MAX_COUNT)),
        loop_delay_s=_clamp(load.loop_delay_s, 0.0, MAX_LOOP_DELAY_S),
    )
    if not math.isfinite(load.cores) or load.cores < 0:
        clamped = replace(clamped, cores=0.0)
    odd = (name for name, value in vars(load).items() if vars(clamped)[name] != value)
    return clamped, tuple(odd)


def _clamp(value: float, least: float, most: float) -> float:
    return min(max(value, least), most) if math.isfinite(value) else least


class EarlyReports:
    """Decides when a router reports its load before its next hello is due.

    Only a rise is reported early: a router that recovers returns gradually anyway.
    """

    def __init__(self) -> None:
        self._told = RouterLoad()
        self._early_s = float("-inf")

    def record_hello(self, load: RouterLoad) -> None:
        """Record the load in a hello.

        :param load: the load.
        """
        self._told = load

    def take(self, load: RouterLoad) -> bool:
        """Return whether to report a load early, and record it as reported if so.

        :param load: the current load.
        """
        rise = load.connections - self._told.connections
        threshold = EARLY_FACTOR * self._told.connections
        is_much = rise >= EARLY_CONNECTIONS and load.connections >= threshold
        is_late = load.loop_delay_s >= LATE_S > self._told.loop_delay_s
        if not (is_much or is_late) or now() - self._early_s < EARLY_INTERVAL_S:
            return False
        self._early_s = now()
        self._told = load
        return True
