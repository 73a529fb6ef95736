"""Gives each scenario an event loop for real sockets on free ports."""

import asyncio


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
