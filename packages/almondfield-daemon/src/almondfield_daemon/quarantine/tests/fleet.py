"""Hosts in memory that exchange quarantines."""

import asyncio
from functools import partial

from almondfield_daemon.fleet.tests.memory_fleet import (
    MemoryFleet,
    make_control,
    make_view,
)
from almondfield_daemon.quarantine import QuarantineClient, QuarantineService

__all__ = ["CONTROL_HOSTS", "Fleet"]

CONTROL_HOSTS = ("c1", "c2", "c3")


class Host:
    """A control host or a router, with its task."""

    def __init__(self, network, name, incarnation, accepts_connection):
        peers = network.peers(name)
        if name in CONTROL_HOSTS:
            self.fleet = make_control(peers, incarnation, CONTROL_HOSTS)
            self.quarantine = QuarantineService(
                peers, self.fleet.routers.hosts, lambda: CONTROL_HOSTS
            )
            self.fleet.register_handlers()
        else:
            self.fleet = make_view(
                peers,
                name,
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


class Fleet(MemoryFleet):
    """Hosts in memory, and the addresses at which no server listens."""

    def __init__(self):
        super().__init__(partial(Host, accepts_connection=self.accepts_connection))
        self.gone_addresses = set()
        self.tried_addresses = []

    async def accepts_connection(self, address):
        """Return whether a server listens at an address."""
        self.tried_addresses.append(address)
        return address not in self.gone_addresses

    async def restart(self, names):
        """End hosts at once, and start them again with empty memory."""
        for name in names:
            await self.kill(name)
        for name in names:
            self.start(name)
