"""Messages about tables and leases between hosts and the leader."""

from dataclasses import dataclass

from almondfield_control.commands import Member
from almondfield_control.freshness.delta import TablesDelta
from almondfield_core.messages import PoolLease
from almondfield_core.tables import Tables
from almondfield_core.wire import wire_message

__all__ = [
    "NotLeader",
    "RelayReply",
    "RelayRequest",
    "RenewalReply",
    "RenewalRequest",
    "RevisionAnswer",
    "RevisionNotice",
    "RevisionQuery",
]


@wire_message("renewal-request")
@dataclass(frozen=True)
class RenewalRequest:
    """Asks the leader for a host's leases and for news.

    :ivar incarnation: number that grows with each start of the host.
    :ivar revision: revision of the host's tables.
    :ivar acknowledged: lowest revision that the host may still serve, its own or
        one that it relayed a lease for.
    :ivar leases_index: newest change of pool leases that the host has.
    :ivar draining: whether the host gives its pool leases away and wants no more.
    """

    incarnation: int
    revision: int
    acknowledged: int
    leases_index: int
    draining: bool = False


@wire_message("renewal-reply")
@dataclass(frozen=True)
class RenewalReply:
    """Leases of a host, counted from when it sent its request.

    :ivar term: term of the leader.
    :ivar freshness_s: seconds for which the tables count as current.
    :ivar pool_lease_s: seconds for which the host may schedule its pools.
    :ivar revision: revision of the newest tables.
    :ivar leases_index: entry that last changed a pool lease.
    :ivar pool_leases: which host schedules which pool; empty where the host has it.
    :ivar tables: the newest tables; None where the host has them or gets a delta.
    :ivar delta: what leads from the host's tables to the newest; None without one.
    """

    term: int
    freshness_s: float
    pool_lease_s: float
    revision: int
    leases_index: int
    pool_leases: tuple[PoolLease, ...]
    tables: Tables | None = None
    delta: TablesDelta | None = None


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


@wire_message("revision-query")
@dataclass(frozen=True)
class RevisionQuery:
    """Asks a voter what its log holds, where no leader is found."""


@wire_message("revision-answer")
@dataclass(frozen=True)
class RevisionAnswer:
    """What a voter's log holds.

    :ivar voter_id: identity of the voter.
    :ivar revision: revision that its entries lead to, committed or not.
    :ivar hears_leader: whether it heard a leader, or voted, within an election
        timeout.
    :ivar members_index: entry that named the members.
    :ivar members: members of the control group, as the voter knows them.
    """

    voter_id: str
    revision: int
    hears_leader: bool
    members_index: int
    members: tuple[Member, ...]


@wire_message("relay-request")
@dataclass(frozen=True)
class RelayRequest:
    """Asks a neighbour to share its freshness lease.

    :ivar revision: revision of the host's tables.
    """

    revision: int


@wire_message("relay-reply")
@dataclass(frozen=True)
class RelayReply:
    """A neighbour's freshness lease, counted from when the request was sent.

    :ivar left_s: seconds that are left of it; 0 without a lease of its own.
    :ivar revision: revision that counts as current.
    :ivar tables: the tables; None where the host has them.
    """

    left_s: float
    revision: int
    tables: Tables | None = None
