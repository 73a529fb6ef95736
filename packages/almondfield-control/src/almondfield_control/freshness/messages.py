"""Messages about tables and leases between hosts and the leader."""

from dataclasses import dataclass

from almondfield_core.messages import PoolLease
from almondfield_core.tables import Tables
from almondfield_core.wire import wire_message

__all__ = ["NotLeader", "RenewalReply", "RenewalRequest", "RevisionNotice"]


@wire_message("renewal-request")
@dataclass(frozen=True)
class RenewalRequest:
    """Asks the leader for a host's leases and for news.

    :ivar incarnation: number that grows with each start of the host.
    :ivar revision: revision of the host's tables.
    :ivar acknowledged: lowest revision that the host may still serve, its own or
        one that it relayed a lease for.
    :ivar draining: whether the host gives its pool leases away and wants no more.
    """

    incarnation: int
    revision: int
    acknowledged: int
    draining: bool = False


@wire_message("renewal-reply")
@dataclass(frozen=True)
class RenewalReply:
    """Leases of a host, counted from when it sent its request.

    :ivar term: term of the leader.
    :ivar freshness_s: seconds for which the tables count as current.
    :ivar pool_lease_s: seconds for which the host may schedule its pools.
    :ivar revision: revision of the newest tables.
    :ivar pool_leases: which host schedules which pool.
    :ivar tables: the newest tables; None where the host has them.
    """

    term: int
    freshness_s: float
    pool_lease_s: float
    revision: int
    pool_leases: tuple[PoolLease, ...]
    tables: Tables | None = None


@wire_message("not-leader")
@dataclass(frozen=True)
class NotLeader:
    """Says that the host that was asked does not lead.

    :ivar leader_host: host of the leader as far as it is known; else empty.
    """

    leader_host: str


@wire_message("revision-notice")
@dataclass(frozen=True)
class RevisionNotice:
    """Tells a host to renew its lease at once, since there are news.

    :ivar revision: revision of the newest tables.
    """

    revision: int
