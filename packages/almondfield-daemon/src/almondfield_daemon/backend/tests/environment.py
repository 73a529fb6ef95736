"""Gives each scenario a real-time event loop, as the tests use real sockets."""

import asyncio

from almondfield_testing import after_scenario

__all__ = ["after_scenario", "before_scenario"]


def before_scenario(context, scenario):
    """Give the scenario an event loop as ``context.loop``."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
