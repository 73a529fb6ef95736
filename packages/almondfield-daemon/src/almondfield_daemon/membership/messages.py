"""Wire messages with which hosts exchange updates about hosts and held servers."""

from dataclasses import dataclass
from enum import StrEnum

from almondfield_core.settings import HostSettings
from almondfield_core.wire import wire_message

__all__ = [
    "HoldUpdate",
    "HostDigest",
    "HostState",
    "HostUpdate",
    "ReachabilityUpdate",
    "SpareSlotsUpdate",
]


class HostState(StrEnum):
    """Whether a host accepts callers' requests."""

    LIVE = "live"
    DRAINING = "draining"


@dataclass(frozen=True)
class HostUpdate:
    """State of a host as it reports it; the greatest (incarnation, number) is newest.

    :ivar settings: name, addresses and ports of the host.
    :ivar incarnation: number that increases with each start of the host.
    :ivar number: number that increases within the incarnation.
    :ivar state: whether it accepts callers' requests.
    :ivar fresh: whether its tables are current.
    """

    settings: HostSettings
    incarnation: int
    number: int
    state: HostState = HostState.LIVE
    fresh: bool = True

    @property
    def recency(self) -> tuple[int, int]:
        """Return a value that is greater for a newer update."""
        return self.incarnation, self.number


@dataclass(frozen=True)
class ReachabilityUpdate:
    """Whether a neighbour receives a host's heartbeats.

    The greatest (incarnation, number) is newest.

    :ivar host: name of the host.
    :ivar watcher: name of the neighbour.
    :ivar incarnation: incarnation of the neighbour.
    :ivar number: number that increases within that incarnation.
    :ivar silent: whether the host is unresponsive to the neighbour.
    """

    host: str
    watcher: str
    incarnation: int
    number: int
    silent: bool

    @property
    def recency(self) -> tuple[int, int]:
        """Return a value that is greater for a newer update."""
        return self.incarnation, self.number


@dataclass(frozen=True)
class SpareSlotsUpdate:
    """Spare capacity of a host; the greatest (incarnation, number) is newest.

    :ivar host: name of the host.
    :ivar incarnation: incarnation of the host.
    :ivar number: number that increases within the incarnation.
    :ivar level: binary logarithm of one plus the spare slots, rounded.
    """

    host: str
    incarnation: int
    number: int
    level: int

    @property
    def recency(self) -> tuple[int, int]:
        """Return a value that is greater for a newer update."""
        return self.incarnation, self.number


@dataclass(frozen=True)
class HoldUpdate:
    """A hold that excludes a backend server from new work.

    The greatest (fencing, number) is newest.

    :ivar server: name of the server.
    :ivar fencing: fencing number of the order that it is held for.
    :ivar number: number that increases among the updates for the order.
    :ivar lifetime_s: seconds after receipt until the hold expires; 0 ends it.
    """

    server: str
    fencing: int
    number: int
    lifetime_s: float

    @property
    def recency(self) -> tuple[int, int]:
        """Return a value that is greater for a newer update."""
        return self.fencing, self.number


@wire_message("host-digest")
@dataclass(frozen=True)
class HostDigest:
    """Updates that the receiver may not have.

    :ivar hosts: states of hosts.
    :ivar silences: which hosts are unresponsive to which neighbours.
    :ivar spares: spare capacities of hosts.
    :ivar holds: holds of backend servers.
    """

    hosts: tuple[HostUpdate, ...] = ()
    silences: tuple[ReachabilityUpdate, ...] = ()
    spares: tuple[SpareSlotsUpdate, ...] = ()
    holds: tuple[HoldUpdate, ...] = ()
