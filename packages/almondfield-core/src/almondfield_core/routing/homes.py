"""The regions in which requests may be processed, by the lists of routes and teams.

The load is one look-up of lists for each request of a router, and one for each question
of a caller to the directory. The latter is answered from an index of the whole table,
which is made once for each table.
"""

from collections.abc import Iterator

from almondfield_core.findings import Finding
from almondfield_core.routing.core import RouteRule, RoutingTable, TeamKeys

__all__ = ["DomainRegions", "check_homes", "regions_of_request"]


def regions_of_request(
    route: RouteRule, team: TeamKeys | None
) -> frozenset[str] | None:
    """Return the regions in which a request may be processed; None for all.

    :param route: route of the request.
    :param team: team of the caller; None without one.
    :returns: the regions; empty if the lists of route and team have none in common.
    """
    lists = [route.allowed_regions, team.allowed_regions if team is not None else None]
    given = [frozenset(regions) for regions in lists if regions is not None]
    return frozenset.intersection(*given) if given else None


def check_homes(table: RoutingTable, known: frozenset[str]) -> Iterator[Finding]:
    """Yield a finding for each list of regions that no request can satisfy.

    :param table: the table.
    :param known: regions of all data centres; empty if they aren't known.
    """
    rows = {f"routes[{index}]": row for index, row in enumerate(table.routes)}
    rows |= {f"teams[{index}]": row for index, row in enumerate(table.teams)}
    allowed = ", ".join(sorted(known)) or "the region of a data centre"
    for row_place, row in rows.items():
        place = f"{row_place}.allowed_regions"
        if row.allowed_regions is None:
            continue
        if not row.allowed_regions:
            yield Finding(place, "empty", "at least one region, or no list")
        for index, region in enumerate(row.allowed_regions):
            if not region or (known and region not in known):
                problem = f"no data centre is in region {region!r}"
                yield Finding(f"{place}[{index}]", problem, allowed)


class DomainRegions:
    """The regions whose routers may be named to callers of a domain."""

    def __init__(self) -> None:
        self._table: RoutingTable | None = None
        self._regions_by_domain: dict[str, frozenset[str]] = {}

    def regions(self, table: RoutingTable | None, domain: str) -> frozenset[str] | None:
        """Return the regions that the routes of a domain allow; None for all.

        Routes without a list don't widen the lists of others, as callers don't say
        which route they are going to use.

        :param table: the table in force; None if there is none.
        :param domain: the domain name, with or without a port.
        """
        if table is not self._table:
            self._table = table
            self._regions_by_domain = {}
            for route in table.routes if table is not None else ():
                if route.allowed_regions is not None:
                    regions = self._regions_by_domain.get(route.domain, frozenset())
                    regions = regions.union(route.allowed_regions)
                    self._regions_by_domain[route.domain] = regions
        return self._regions_by_domain.get(domain.lower().partition(":")[0])
