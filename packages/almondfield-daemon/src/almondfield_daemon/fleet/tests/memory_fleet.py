"""Hosts that share an in-memory network, each of which can be ended and started."""

import asyncio
import random
from contextlib import suppress

from almondfield_daemon.fleet import FleetControl, FleetView, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_testing import InMemoryNetwork

__all__ = ["MemoryFleet", "make_control", "make_view"]


def make_control(peers, incarnation, control_hosts):
    """Return what a control host knows of the fleet."""
    rng = random.Random(1)
    return FleetControl(peers, incarnation, lambda: control_hosts, rng)


def make_view(peers, name, control_hosts, on_server_change, on_control_return):
    """Return what a router knows of the fleet."""
    hello = RouterHello("east", "region", f"{name}:80", RouterState.READY)
    return FleetView(peers, hello, control_hosts, on_server_change, on_control_return)


class MemoryFleet:
    """Hosts in memory; each one has a task that runs it.

    :param make_host: returns a host from the network, its name and its incarnation.
    """

    def __init__(self, make_host):
        self._make_host = make_host
        self._starts = 0
        self.network = InMemoryNetwork()
        self.host_by_name = {}

    def start(self, name):
        """Start a host with empty memory."""
        self._starts += 1
        self.host_by_name[name] = self._make_host(self.network, name, self._starts)

    async def kill(self, name):
        """End a host at once."""
        host = self.host_by_name.pop(name)
        host.task.cancel()
        with suppress(asyncio.CancelledError):
            await host.task
        self.network.stop(name)
