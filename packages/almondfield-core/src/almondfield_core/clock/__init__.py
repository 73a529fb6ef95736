"""Time of the event loop, which tests can pause and advance, and timers on it."""

from almondfield_core.clock.arrival_timeout import ArrivalTimeout
from almondfield_core.clock.core import WallClock, now
from almondfield_core.clock.periodic_timer import PeriodicTimer

__all__ = ["ArrivalTimeout", "PeriodicTimer", "WallClock", "now"]
