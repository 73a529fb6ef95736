"""Runs each scenario in an event loop with simulated time.

Scenarios over real sockets get a loop that polls the sockets for a short time before
its clock jumps to the next timer.
"""

import asyncio
import selectors

import looptime

import almondfield_testing
from almondfield_testing import after_scenario

__all__ = ["after_scenario", "before_scenario"]

SOCKET_WAIT_S = 0.003
WAITS_BEFORE_JUMP = 10


class WaitingSelector(selectors.DefaultSelector):
    """Waits for sockets even if the event loop only polls them."""

    def select(self, timeout=None):
        wait_s = timeout if timeout is None else max(timeout, SOCKET_WAIT_S)
        return super().select(wait_s)


def before_scenario(context, scenario):
    """Set ``context.loop`` to the event loop of the scenario."""
    if "sockets" not in scenario.effective_tags:
        almondfield_testing.before_scenario(context, scenario)
        return
    loop = asyncio.SelectorEventLoop(WaitingSelector())
    context.loop = looptime.patch_event_loop(
        loop, start=0.0, noop_cycles=WAITS_BEFORE_JUMP
    )
    asyncio.set_event_loop(context.loop)
