"""One paused event loop per scenario."""

import almondfield_testing
from almondfield_testing import after_scenario

__all__ = ["after_scenario", "before_scenario"]


def before_scenario(context, scenario):
    """Give the scenario a paused loop that goes to the next timer at once.

    Nothing here waits for threads or sockets, so that the loop needs no idle rounds.
    """
    almondfield_testing.before_scenario(context, scenario)
    context.loop.setup_looptime(start=0.0, noop_cycles=0)
