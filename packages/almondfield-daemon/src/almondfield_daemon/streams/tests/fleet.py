"""Hosts in memory that keep the origins of streams, and servers around them."""

import asyncio

from almondfield_daemon.fleet import FleetServer, ServerPhase
from almondfield_daemon.fleet.tests.memory_fleet import (
    MemoryFleet,
    make_control,
    make_view,
)
from almondfield_daemon.streams import OriginClient, OriginService

CONTROL_HOSTS = ("c1", "c2", "c3", "c4", "c5")
ROUTERS = ("r1", "r2")
LEADER = "c3"
POOL = "pool"
HEARTBEAT_S = 1.0


class Host:
    """A control host or a router, with its task."""

    def __init__(self, network, name, incarnation):
        peers = network.peers(name)
        if name in CONTROL_HOSTS:
            self.fleet = make_control(peers, incarnation, CONTROL_HOSTS)
            self.origins = OriginService(peers, self.fleet)
            self.fleet.register_handlers()
            self.origins.register_handlers()
        else:
            self.fleet = make_view(
                peers,
                name,
                CONTROL_HOSTS,
                lambda: self.origins.update_servers(self.fleet.all_servers()),
                lambda host: self.origins.report_all(host),
            )
            self.origins = OriginClient(
                peers,
                self.fleet.control_hosts,
                self.fleet.responsive_control_hosts,
                lambda: LEADER,
            )
        self.task = asyncio.ensure_future(self.fleet.run())


class Fleet(MemoryFleet):
    """Hosts in memory, and servers that announce themselves each second."""

    def __init__(self):
        super().__init__(Host)
        self.server_by_version = {}

    def announce(self, server, at="c1"):
        """Announce a server to a control host."""
        control = self.host_by_name[at]
        control.fleet.announce(server)

    def next_announcement(self, key, **changes):
        """Return the next announcement of the server that began with a version."""
        known = self.server_by_version.get(key)
        sequence = known.sequence + 1 if known else 1
        fields = {
            "name": f"s-{key}",
            "pool": POOL,
            "address": f"s-{key}:1",
            "data_centre": "east",
            "slots": 8,
            "born_ms": 1000,
            "sequence": sequence,
            "version": key,
        }
        server = FleetServer(**(fields | changes))
        self.server_by_version[key] = server
        return server

    async def keep_announcing(self):
        """Announce each server that serves, until cancelled."""
        while True:
            for version, server in list(self.server_by_version.items()):
                if server.phase is ServerPhase.SERVING and server.version == version:
                    self.announce(
                        self.next_announcement(version, born_ms=server.born_ms)
                    )
            await asyncio.sleep(HEARTBEAT_S)
