"""One event loop with simulated time per scenario."""

import almondfield_testing
from almondfield_testing import after_scenario

__all__ = ["after_scenario", "before_scenario"]


def before_scenario(context, scenario):
    """Give the scenario a loop that jumps to the next timer at once.

    These tests wait for no threads or sockets, so that the loop needs no idle cycles.
    """
    almondfield_testing.before_scenario(context, scenario)
    context.loop.setup_looptime(start=0.0, noop_cycles=0)
