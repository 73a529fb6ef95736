"""One paused event loop per scenario."""

from almondfield_testing import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
