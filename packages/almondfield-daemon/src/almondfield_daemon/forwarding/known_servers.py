"""The servers of the fleet as one router knows them."""

import math
from collections.abc import Callable, Iterable

from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.forwarding.counts import RefusalCause
from almondfield_daemon.forwarding.homes import ServerHomes
from almondfield_daemon.forwarding.selected_server import SelectedServer, server_start
from almondfield_daemon.forwarding.unavailable import (
    EVACUATED_RETRY_AFTER_S,
    Unavailable,
)
from almondfield_daemon.quarantine import NoQuarantine, RequestQuarantine
from almondfield_daemon.server_notices import ServerNotices, ServerStart

__all__ = ["KnownServers"]

MIN_RETRY_AFTER_S = 0.05  # about the duration of the request that a server tries first


class KnownServers:
    """The servers that may get a request, as far as this router knows.

    :param view: known servers.
    :param notices: what servers said about further work.
    :param quarantine: knows which servers refused connections.
    :param evacuated: returns the evacuated data centres, whose servers get no request.
    :param homes: knows the regions of servers.
    """

    def __init__(
        self,
        view: FleetView,
        notices: ServerNotices,
        quarantine: RequestQuarantine | None = None,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        homes: ServerHomes | None = None,
    ) -> None:
        self._homes = homes or ServerHomes({})
        self._evacuated = evacuated
        self._view = view
        self._notices = notices
        self._quarantine = quarantine or NoQuarantine()
        # Servers whose address now belongs to another server.
        self._misdirected: set[ServerStart] = set()

    def usable(
        self,
        pool: str,
        version: str | None,
        regions: frozenset[str] | None = None,
    ) -> tuple[FleetServer, ...]:
        """Return the servers of a pool that may get a request now.

        :param pool: name of the pool.
        :param version: software version that the server must have; None for any.
        :param regions: regions that the server may be in; None for all.
        """
        servers = self.reachable(pool, version, regions)
        # Most servers have no notices, and this is asked for each request.
        noticed = self._notices.noticed_names()
        if not noticed:
            return servers
        return tuple(
            [
                server
                for server in servers
                if server.name not in noticed
                or self._notices.accepts(server_start(server))
            ]
        )

    def unusable_names(
        self, pool: str, usable: tuple[FleetServer, ...]
    ) -> frozenset[str]:
        """Return the names of a pool's servers that may get no request now.

        :param pool: name of the pool.
        :param usable: the servers that may get it.
        """
        not_serving = self._view.unusable_servers(pool)
        servers = self._view.servers(pool)
        if len(usable) == len(servers):
            return not_serving
        names = {server.name for server in servers}
        return not_serving.union(names.difference([server.name for server in usable]))

    def closed(
        self,
        pool: str,
        version: str | None,
        regions: frozenset[str] | None = None,
    ) -> Unavailable | None:
        """Return a refusal if no server takes work now, for a reason that is known.

        They have all said so, are evacuated, or are outside the allowed regions.

        :param pool: name of the pool.
        :param version: software version that the server must have; None for any.
        :param regions: regions that the server may be in; None for all.
        """
        if evacuated := self.evacuated(pool, regions):
            return evacuated
        servers = self._view.servers(pool)
        if servers and not self._homes.within(servers, regions):
            detail = "no backend server of the pool is in an allowed region"
            return Unavailable(detail, RefusalCause.HOMES)
        if self.usable(pool, version, regions) or not self.reachable(
            pool, version, regions
        ):
            return None
        wait_s = self.wait_s(pool, version, regions)
        if wait_s == math.inf:
            detail = "all backend servers of the pool leave"
            return Unavailable(detail, RefusalCause.CLOSED)
        detail = f"no backend server of the pool takes work for {wait_s:.3f} s"
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        return Unavailable(detail, RefusalCause.CLOSED, retry_after_s)

    def evacuated(
        self, pool: str, regions: frozenset[str] | None = None
    ) -> Unavailable | None:
        """Return a refusal if all servers of a pool are in evacuated data centres.

        :param pool: name of the pool.
        :param regions: regions that the servers may be in; None for all.
        """
        evacuated = self._evacuated()
        if not evacuated:
            return None
        servers = self._homes.within(self._view.servers(pool), regions)
        if not servers or any([s.data_centre not in evacuated for s in servers]):
            return None
        detail = "the data centres of all backend servers of the pool are evacuated"
        return Unavailable(detail, RefusalCause.EVACUATED, EVACUATED_RETRY_AFTER_S)

    def reachable(
        self,
        pool: str,
        version: str | None,
        regions: frozenset[str] | None = None,
    ) -> tuple[FleetServer, ...]:
        """Return the servers of a pool that run, whether or not they take work now.

        A server without recent announcements may have restarted with another version.

        :param pool: name of the pool.
        :param version: software version that the server must have; None for any.
        :param regions: regions that the server may be in; None for all.
        """
        servers = self.running(pool, version, regions)
        if version is None:
            return servers
        if not self._view.is_current():
            return ()
        unresponsive = self._view.unresponsive_servers()
        return tuple(server for server in servers if server.name not in unresponsive)

    def running(
        self,
        pool: str,
        version: str | None,
        regions: frozenset[str] | None = None,
    ) -> tuple[FleetServer, ...]:
        """Return the servers of a pool that run as far as is known, silent or not.

        Servers of evacuated data centres and of other regions are left out, as they get
        no request.

        The version of a server that refused a connection is unknown until it is
        announced again.

        :param pool: name of the pool.
        :param version: software version that the server must have; None for any.
        :param regions: regions that the server may be in; None for all.
        """
        servers = self._homes.within(self._view.servers(pool), regions)
        if evacuated := self._evacuated():
            servers = tuple([s for s in servers if s.data_centre not in evacuated])
        if version is not None:
            servers = tuple(
                [
                    server
                    for server in servers
                    if server.version == version
                    and not self._quarantine.has_refused(server_start(server))
                ]
            )
        if not self._misdirected:
            return servers
        names = {start.name for start in self._misdirected}
        return tuple(
            [
                server
                for server in servers
                if server.name not in names
                or server_start(server) not in self._misdirected
            ]
        )

    def wait_s(
        self,
        pool: str,
        version: str | None,
        regions: frozenset[str] | None = None,
    ) -> float:
        """Return the time until the first server of a pool takes work, in seconds.

        :param pool: name of the pool.
        :param version: software version that the server must have; None for any.
        :param regions: regions that the server may be in; None for all.
        :returns: 0 if one takes work now; infinity if all leave or there is none.
        """
        servers = self.reachable(pool, version, regions)
        return self._notices.wait_s(server_start(server) for server in servers)

    def may_have_changed_version(self, pool: str, server: FleetServer) -> bool:
        """Return whether a server may have restarted with another version.

        :param pool: name of its pool.
        :param server: the server as it was when it was chosen.
        """
        if self._quarantine.has_refused(server_start(server)):
            return True
        return any(
            known.version != server.version
            for known in self._view.servers(pool)
            if known.name == server.name
        )

    def may_be_left(self, pool: str, selected: SelectedServer) -> bool:
        """Return whether a silent server may lose its request to another one.

        One that takes no new work couldn't get it back, but may finish it. One that is
        unresponsive or has restarted may have lost it.

        :param pool: name of the server's pool.
        :param selected: the server, selected for the request.
        """
        server = selected.server
        if server.name in self._view.unresponsive_servers():
            return True
        for known in self._view.servers(pool):
            if known.name == server.name:
                has_restarted = server_start(known) != server_start(server)
                return has_restarted or selected.takes_work()
        return False

    def exclude_misdirected(self, server: FleetServer) -> None:
        """Stop using a server whose address now belongs to another one.

        :param server: the server.
        """
        self._misdirected.add(server_start(server))

    def retain(self, pools: Iterable[str]) -> tuple[FleetServer, ...]:
        """Drop the records of servers that left the fleet; return those that take work.

        :param pools: names of all pools.
        """
        servers = tuple(s for pool in pools for s in self._view.servers(pool))
        self._misdirected &= {server_start(server) for server in servers}
        # A server may leave the pool's list before all its answers have come.
        self._notices.retain(server_start(s) for s in self._view.all_servers())
        return servers
