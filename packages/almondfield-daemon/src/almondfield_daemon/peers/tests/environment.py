"""Runs each scenario in a paused event loop.

Scenarios over real sockets get one whose clock waits a little for the sockets before
it jumps to the next timer.
"""

import asyncio
import selectors

import looptime

import almondfield_testing
from almondfield_testing import after_scenario

__all__ = ["after_scenario", "before_scenario"]

SOCKET_WAIT_S = 0.003
WAITS_BEFORE_JUMP = 10


class PatientSelector(selectors.DefaultSelector):
    """Waits for sockets also where the event loop only asks for what is ready."""

    def select(self, timeout=None):
        patient = timeout if timeout is None else max(timeout, SOCKET_WAIT_S)
        return super().select(patient)


def before_scenario(context, scenario):
    """Give the scenario its event loop as ``context.loop``."""
    if "sockets" not in scenario.effective_tags:
        almondfield_testing.before_scenario(context, scenario)
        return
    loop = asyncio.SelectorEventLoop(PatientSelector())
    context.loop = looptime.patch_event_loop(
        loop, start=0.0, noop_cycles=WAITS_BEFORE_JUMP
    )
    asyncio.set_event_loop(context.loop)
