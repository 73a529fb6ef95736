"""Hosts and backend servers as this host knows them."""

import asyncio
import random

from almondfield_core.messages import (
    AnnouncementRelay,
    ServerAnnouncement,
)
from almondfield_core.ports import Peers, TableView
from almondfield_core.settings import DaemonSettings

from almondfield_daemon.membership.addresses import AddressAnswer, order_hosts
from almondfield_daemon.membership.selection import selects_server

__all__ = ["Membership"]


class Membership:
    """Relays announcements and answers which hosts callers may use.

    :param peers: messages to the other hosts.
    :param view: tables and pool leases.
    :param settings: settings of this daemon.
    :param incarnation: number that grows with each start of this host.
    """

    def __init__(
        self,
        peers: Peers,
        view: TableView,
        settings: DaemonSettings,
        incarnation: int,
    ) -> None:
        self._peers = peers
        self._view = view
        self._settings = settings
        self._incarnation = incarnation
        self._random = random.Random(f"{settings.host}/{incarnation}")
        self._draining = False

    async def run(self) -> None:
        """Spread what this host knows until cancelled."""
        await asyncio.Event().wait()

    async def announce(self, announcement: ServerAnnouncement) -> None:
        """Pass an announcement on to the schedulers whose pools select the server.

        :param announcement: what the server says of itself.
        """
        for pool in self._view.tables.pools:
            lease = self._view.lease_by_pool.get(pool.name)
            if lease is None or not selects_server(pool, announcement):
                continue
            relay = AnnouncementRelay(pool.name, (announcement,), (0.0,))
            self._peers.send(lease.host, relay)

    def addresses(self, data_centre: str = "") -> AddressAnswer:
        """Return the addresses that a caller may use.

        :param data_centre: data centre of the caller; this host's if empty.
        """
        own = next(h for h in self._settings.hosts if h.name == self._settings.host)
        data_centre = data_centre or own.data_centre
        regions = {h.data_centre: h.region for h in self._settings.hosts}
        hosts = [
            (host, 1.0)
            for host in self._settings.hosts
            if not (host == own and self._draining)
        ]
        region = regions.get(data_centre, own.region)
        return AddressAnswer(
            order_hosts(hosts, data_centre, region, self._random),
            self._settings.timing.address_lifetime_s,
        )

    def drain(self) -> None:
        """Leave the address answers of every host; this host keeps serving."""
        self._draining = True
