"""What hosts tell their neighbours of hosts."""

from dataclasses import dataclass
from enum import StrEnum

from almondfield_core.settings import HostSettings
from almondfield_core.wire import wire_message

__all__ = [
    "HoldNews",
    "HostDigest",
    "HostNews",
    "HostState",
    "SilenceNews",
    "SpareNews",
]


class HostState(StrEnum):
    """What a host says of itself."""

    LIVE = "live"
    DRAINING = "draining"


@dataclass(frozen=True)
class HostNews:
    """What a host says of itself; greater (incarnation, number) wins.

    :ivar settings: how to reach the host.
    :ivar incarnation: number that grows with each start of the host.
    :ivar number: number that grows within the incarnation.
    :ivar state: whether it takes callers' requests.
    :ivar fresh: whether its tables are current.
    """

    settings: HostSettings
    incarnation: int
    number: int
    state: HostState = HostState.LIVE
    fresh: bool = True

    @property
    def order(self) -> tuple[int, int]:
        """Return what tells newer news from older."""
        return self.incarnation, self.number


@dataclass(frozen=True)
class SilenceNews:
    """Whether a neighbour of a host hears it; greater (incarnation, number) wins.

    :ivar host: name of the host.
    :ivar watcher: name of the neighbour.
    :ivar incarnation: incarnation of the neighbour.
    :ivar number: number that grows within that incarnation.
    :ivar silent: whether the neighbour hears nothing from the host.
    """

    host: str
    watcher: str
    incarnation: int
    number: int
    silent: bool

    @property
    def order(self) -> tuple[int, int]:
        """Return what tells newer news from older."""
        return self.incarnation, self.number


@dataclass(frozen=True)
class SpareNews:
    """How much more work a host can take; greater (incarnation, number) wins.

    :ivar host: name of the host.
    :ivar incarnation: incarnation of the host.
    :ivar number: number that grows within the incarnation.
    :ivar level: binary logarithm of one plus the spare slots, rounded.
    """

    host: str
    incarnation: int
    number: int
    level: int

    @property
    def order(self) -> tuple[int, int]:
        """Return what tells newer news from older."""
        return self.incarnation, self.number


@dataclass(frozen=True)
class HoldNews:
    """That a backend server gets no new work; greater (fencing, number) wins.

    :ivar server: name of the server.
    :ivar fencing: fencing number of the order that it is held for.
    :ivar number: number that grows for the order.
    :ivar lifetime_s: seconds after receipt for which it holds; 0 ends it.
    """

    server: str
    fencing: int
    number: int
    lifetime_s: float

    @property
    def order(self) -> tuple[int, int]:
        """Return what tells newer news from older."""
        return self.fencing, self.number


@wire_message("host-digest")
@dataclass(frozen=True)
class HostDigest:
    """News that the receiver may not have.

    :ivar hosts: what hosts say of themselves.
    :ivar silences: which neighbours hear which hosts.
    :ivar spares: how much more work hosts can take.
    :ivar holds: backend servers that get no new work.
    """

    hosts: tuple[HostNews, ...] = ()
    silences: tuple[SilenceNews, ...] = ()
    spares: tuple[SpareNews, ...] = ()
    holds: tuple[HoldNews, ...] = ()
