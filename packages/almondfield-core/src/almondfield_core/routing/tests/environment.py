"""Runs each scenario in a paused event loop."""

from almondfield_testing import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
