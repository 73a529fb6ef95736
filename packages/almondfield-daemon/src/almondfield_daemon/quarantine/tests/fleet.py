"""Hosts in memory that exchange quarantines."""

import asyncio
import random
from contextlib import suppress

from almondfield_daemon.fleet import FleetControl, FleetView, RouterState
from almondfield_daemon.fleet.messages import RouterHello
from almondfield_daemon.quarantine import QuarantineClient, QuarantineService
from almondfield_testing import InMemoryNetwork

__all__ = ["CONTROL_HOSTS", "Fleet"]

CONTROL_HOSTS = ("c1", "c2", "c3")


class Host:
    """A control host or a router, with its task."""

    def __init__(self, network, name, incarnation, accepts_connection):
        peers = network.peers(name)
        if name in CONTROL_HOSTS:
            rng = random.Random(1)
            self.fleet = FleetControl(peers, incarnation, lambda: CONTROL_HOSTS, rng)
            self.quarantine = QuarantineService(
                peers, self.fleet.routers.hosts, lambda: CONTROL_HOSTS
            )
            self.fleet.register_handlers()
        else:
            hello = RouterHello("east", "region", f"{name}:80", RouterState.READY)
            self.fleet = FleetView(
                peers,
                hello,
                CONTROL_HOSTS,
                lambda: None,
                lambda host: self.quarantine.sync(host),
            )
            self.quarantine = QuarantineClient(
                peers,
                self.fleet.control_hosts,
                self.fleet.responsive_control_hosts,
                accepts_connection,
            )
        self.quarantine.register_handlers()
        self.task = asyncio.ensure_future(self.fleet.run())


class Fleet:
    """Hosts in memory."""

    def __init__(self):
        self.network = InMemoryNetwork()
        self.host_by_name = {}
        self.starts = 0
        self.gone_addresses = set()
        self.tried_addresses = []

    def start(self, name):
        """Start a host with empty memory."""
        self.starts += 1
        self.host_by_name[name] = Host(
            self.network, name, self.starts, self.accepts_connection
        )

    async def accepts_connection(self, address):
        """Return whether a server listens at an address."""
        self.tried_addresses.append(address)
        return address not in self.gone_addresses

    async def restart(self, names):
        """End hosts at once, and start them again with empty memory."""
        for name in names:
            host = self.host_by_name.pop(name)
            host.task.cancel()
            with suppress(asyncio.CancelledError):
                await host.task
            self.network.stop(name)
        for name in names:
            self.start(name)
