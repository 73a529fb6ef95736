"""Event loop with simulated time, and shared fleet helpers for these features."""

import sys
from pathlib import Path

import almondfield_testing
from almondfield_testing import after_scenario

__all__ = ["after_scenario", "before_scenario"]

sys.path.insert(0, str(Path(__file__).parents[2] / "tests"))


def before_scenario(context, scenario):
    """Set up an event loop that jumps to the next timer at once."""
    almondfield_testing.before_scenario(context, scenario)
    context.loop.setup_looptime(start=0.0, noop_cycles=0)
