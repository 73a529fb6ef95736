"""Time of the event loop, which tests can pause and advance, and a periodic timer."""

from almondfield_core.clock.core import WallClock, now
from almondfield_core.clock.periodic_timer import PeriodicTimer

__all__ = ["PeriodicTimer", "WallClock", "now"]
