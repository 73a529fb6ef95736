"""The clock of the runtime; tests pause and advance it."""

from almondfield_core.clock.beat import Beat
from almondfield_core.clock.core import WallClock, now

__all__ = ["Beat", "WallClock", "now"]
