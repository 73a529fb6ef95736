"""The regions of backend servers, for requests that may reach only some of them.

The load is a few checks for each request with homes, over the servers of its pool.
"""

from collections.abc import Mapping

import eliot

from almondfield_daemon.fleet import FleetServer

__all__ = ["ServerHomes"]

# Names of data centres come from announcements, which anyone may send.
MAX_LOGGED = 100


class ServerHomes:
    """Finds the servers in allowed regions by their data centres.

    A server whose data centre has no known region is in no allowed region.

    :param region_by_data_centre: the region of each data centre.
    """

    def __init__(self, region_by_data_centre: Mapping[str, str]) -> None:
        self._region_by_data_centre = region_by_data_centre
        self._logged: set[str] = set()

    def within(
        self, servers: tuple[FleetServer, ...], regions: frozenset[str] | None
    ) -> tuple[FleetServer, ...]:
        """Return the servers that are in allowed regions.

        :param servers: the servers.
        :param regions: the allowed regions; None for all.
        """
        if regions is None:
            return servers
        return tuple([s for s in servers if self._region(s.data_centre) in regions])

    def _region(self, data_centre: str) -> str | None:
        region = self._region_by_data_centre.get(data_centre)
        if (
            region is None
            and data_centre not in self._logged
            and len(self._logged) < MAX_LOGGED
        ):
            self._logged.add(data_centre)
            eliot.log_message("homes:unknown-data-centre", data_centre=data_centre)
        return region
