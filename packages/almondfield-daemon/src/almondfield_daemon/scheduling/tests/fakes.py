"""Fakes of what the scheduler depends on."""

from dataclasses import dataclass

from almondfield_core.routing import (
    EngineLimits,
    RequestLimits,
    RoutingTable,
    ServerPool,
)

__all__ = ["POOL", "FakePublisher"]

POOL = "pool"
TABLE = RoutingTable(
    version=1,
    pools=(ServerPool(POOL, 100, engine=EngineLimits(64, 600_000)),),
    limits=RequestLimits(work_per_s=80_000.0),
)


@dataclass
class FakePublisher:
    """Stands in for the publisher of a host.

    :ivar leads: whether the host leads.
    :ivar has_lease: whether its lease is valid.
    """

    leads: bool
    table: RoutingTable = TABLE
    has_lease: bool = True
    term: int = 1

    @property
    def is_leader(self):
        """Return whether the host leads with a valid lease."""
        return self.leads and self.has_lease

    @property
    def led_term(self):
        """Return the term that the host leads; None if it leads none."""
        return self.term if self.leads else None
