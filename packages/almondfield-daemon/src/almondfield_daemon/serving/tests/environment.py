"""Real sockets on free ports, in the event loop of each scenario."""

import asyncio


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
