"""The clock of the runtime; tests pause and advance it."""

from almondfield_core.clock.core import WallClock, now
from almondfield_core.clock.periodic_timer import Beat

__all__ = ["Beat", "WallClock", "now"]
