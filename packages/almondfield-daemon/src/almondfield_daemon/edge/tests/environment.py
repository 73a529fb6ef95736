"""Gives each scenario an event loop with simulated time, or one for real sockets."""

import asyncio

from almondfield_testing import after_scenario
from almondfield_testing import before_scenario as before_paused_scenario

__all__ = ["after_scenario", "before_scenario"]


def before_scenario(context, scenario):
    """Give the scenario an event loop as ``context.loop``."""
    if "sockets" not in scenario.effective_tags:
        before_paused_scenario(context, scenario)
        return
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
