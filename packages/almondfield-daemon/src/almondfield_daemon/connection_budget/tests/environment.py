"""Runs each scenario in an event loop with simulated time."""

from almondfield_testing import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
