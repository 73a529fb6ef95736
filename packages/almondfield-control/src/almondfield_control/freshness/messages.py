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
    """Request to renew a host's leases and to send newer tables and pool leases.

    :ivar incarnation: number that increases with each start of the host.
    :ivar revision: revision of the host's tables.
    :ivar acknowledged: lowest revision that the host may still serve, its own or
        one that it relayed a lease for.
    :ivar leases_index: index of the newest pool lease entry that the host has.
    :ivar draining: whether the host releases its pool leases and takes no more.
    """

    incarnation: int
    revision: int
    acknowledged: int
    leases_index: int
    draining: bool = False


@wire_message("renewal-reply")
@dataclass(frozen=True)
class RenewalReply:
    """Leases of a host; their lifetimes start when the host sent its request.

    :ivar term: term of the leader.
    :ivar freshness_s: seconds for which the tables count as current.
    :ivar pool_lease_s: seconds for which the host may schedule its pools.
    :ivar revision: revision of the newest tables.
    :ivar leases_index: index of the entry that last changed a pool lease.
    :ivar pool_leases: all pool leases; empty if the host has the newest.
    :ivar tables: the newest tables; None if the host has them or receives a delta.
    :ivar delta: difference from the host's tables to the newest; None if not used.
    :ivar evacuated: the evacuated data centres.
    :ivar evacuations_index: log entry of the last change of them; 0 for none.
    """

    term: int
    freshness_s: float
    pool_lease_s: float
    revision: int
    leases_index: int
    pool_leases: tuple[PoolLease, ...]
    tables: Tables | None = None
    delta: TablesDelta | None = None
    evacuated: tuple[str, ...] = ()
    evacuations_index: int = 0


@wire_message("not-leader")
@dataclass(frozen=True)
class NotLeader:
    """Reply of a host that does not lead.

    :ivar leader_host: host of the leader, if known; else empty.
    """

    leader_host: str


@wire_message("revision-notice")
@dataclass(frozen=True)
class RevisionNotice:
    """Notification to renew at once, since the tables or pool leases changed.

    :ivar revision: revision of the newest tables.
    """

    revision: int


@wire_message("revision-query")
@dataclass(frozen=True)
class RevisionQuery:
    """Query for the newest revision in a voter's log, used without a leader."""


@wire_message("revision-answer")
@dataclass(frozen=True)
class RevisionAnswer:
    """The newest revision and the members in a voter's log.

    :ivar voter_id: identity of the voter.
    :ivar revision: revision after all its entries, committed or not.
    :ivar hears_leader: whether it received a leader's message, or voted, within an
        election timeout.
    :ivar members_index: index of the entry that set the members.
    :ivar members: members of the control group according to the voter.
    """

    voter_id: str
    revision: int
    hears_leader: bool
    members_index: int
    members: tuple[Member, ...]


@wire_message("relay-request")
@dataclass(frozen=True)
class RelayRequest:
    """Request to a neighbour to relay its freshness lease.

    :ivar revision: revision of the host's tables.
    """

    revision: int


@wire_message("relay-reply")
@dataclass(frozen=True)
class RelayReply:
    """A neighbour's freshness lease; its time starts when the request was sent.

    :ivar left_s: seconds until it expires; 0 if the neighbour has no lease of its own.
    :ivar revision: revision that counts as current.
    :ivar tables: the tables; None if the host has them.
    """

    left_s: float
    revision: int
    tables: Tables | None = None
