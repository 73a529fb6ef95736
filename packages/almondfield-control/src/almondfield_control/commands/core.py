"""Commands of the control group and the log entries that hold them."""

from dataclasses import dataclass

from almondfield_core.messages import ClaimRequest, RowChange, StoredAnswer
from almondfield_core.routing import RoutingTable
from almondfield_core.wire import (
    decode_message,
    encode_message,
    kind_of,
    wire_message,
)

__all__ = [
    "ChangeEvacuation",
    "ClaimKey",
    "Command",
    "FencingIssued",
    "LeasePool",
    "LogEntry",
    "MarkClaimsLost",
    "Member",
    "MembershipChange",
    "NoOperation",
    "PublishTable",
    "SettleClaim",
    "TableCommand",
    "command_of",
    "entry_of",
]


@dataclass(frozen=True)
class Member:
    """One member of the control group.

    :ivar voter_id: random number in the member's data folder, in hexadecimal.
    :ivar host: name of the host.
    :ivar votes: whether it counts towards a quorum; a learner does not.
    :ivar replaces: identity of the lost voter that a learner replaces; empty for none.
    """

    voter_id: str
    host: str
    votes: bool = True
    replaces: str = ""


@wire_message("no-operation")
@dataclass(frozen=True)
class NoOperation:
    """Entry without effect; begins a leader's term and confirms reads.

    Its commit at the start of a term also commits the entries of earlier terms.
    """


@wire_message("membership-change")
@dataclass(frozen=True)
class MembershipChange:
    """Membership from this entry on; differs by one voter from the previous one.

    :ivar members: all members.
    """

    members: tuple[Member, ...]


@wire_message("table-command")
@dataclass(frozen=True)
class TableCommand:
    """Applies a row change to the tables.

    :ivar change: the change.
    """

    change: RowChange


@wire_message("lease-pool")
@dataclass(frozen=True)
class LeasePool:
    """Leases a pool to a host under the next epoch.

    :ivar pool: name of the pool.
    :ivar host: name of the host; empty if the pool is leased to none.
    """

    pool: str
    host: str


@wire_message("claim-key")
@dataclass(frozen=True)
class ClaimKey:
    """Claims an idempotency key for an attempt.

    :ivar request: the claim.
    :ivar host: router that makes the attempt.
    :ivar incarnation: incarnation of that router.
    """

    request: ClaimRequest
    host: str
    incarnation: int


@wire_message("settle-claim")
@dataclass(frozen=True)
class SettleClaim:
    """Stores the result of a claimed request.

    :ivar request: the claim that was granted.
    :ivar ran: whether the request may have run.
    :ivar answer: the complete answer; None if it is not known.
    """

    request: ClaimRequest
    ran: bool
    answer: StoredAnswer | None = None


@wire_message("lose-claims")
@dataclass(frozen=True)
class MarkClaimsLost:
    """Marks the running claims of a router's earlier incarnations as lost.

    :ivar host: name of the router's host.
    :ivar before_incarnation: claims of smaller incarnations are lost.
    """

    host: str
    before_incarnation: int


@wire_message("publish-table")
@dataclass(frozen=True)
class PublishTable:
    """Publishes a routing table unless its version or a higher one is in force.

    :ivar table: the table.
    :ivar document: the operator's original document, returned unchanged.
    """

    table: RoutingTable
    document: bytes


@wire_message("change-evacuation")
@dataclass(frozen=True)
class ChangeEvacuation:
    """Begins or ends the evacuation of a data centre.

    A message of a call may be delayed until after later calls. It changes nothing then,
    as a command about the same data centre has an index above ``known_index``.

    :ivar data_centre: the data centre.
    :ivar in_force: whether it is to be evacuated.
    :ivar requested_by: address of the operator.
    :ivar known_index: an entry that was applied once the operator had called.
    """

    data_centre: str
    in_force: bool
    requested_by: str
    known_index: int


@wire_message("fencing-issued")
@dataclass(frozen=True)
class FencingIssued:
    """Issues the next fencing number."""


Command = (
    NoOperation
    | MembershipChange
    | TableCommand
    | LeasePool
    | ClaimKey
    | SettleClaim
    | MarkClaimsLost
    | FencingIssued
    | PublishTable
    | ChangeEvacuation
)


@dataclass(frozen=True)
class LogEntry:
    """One entry of the replicated log.

    :ivar index: position in the log, starting at 1.
    :ivar term: term of the leader that created the entry.
    :ivar unix_s: when the leader created it, in seconds since 1970.
    :ivar kind: wire kind of the command.
    :ivar body: the encoded command.
    """

    index: int
    term: int
    unix_s: float
    kind: str
    body: bytes


def entry_of(index: int, term: int, unix_s: float, command: Command) -> LogEntry:
    """Return the log entry of a command.

    :param index: position in the log.
    :param term: term of the leader.
    :param unix_s: calendar time in seconds since 1970.
    :param command: the command.
    """
    kind = kind_of(type(command))
    return LogEntry(index, term, unix_s, kind, encode_message(command))


def command_of(entry: LogEntry) -> Command:
    """Return the command of a log entry.

    :param entry: the entry.
    :raises ValueError: if the entry holds no known command.
    """
    return decode_message(entry.kind, entry.body).unwrap_or_raise(ValueError)
