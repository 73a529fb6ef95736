"""Requests to the control group and their typed outcomes."""

from dataclasses import dataclass

from almondfield_core.findings import Finding
from almondfield_core.tables import Pool, Route, TableRows

__all__ = [
    "AuditRecord",
    "ChangeAccepted",
    "ChangeConflict",
    "ChangeRefused",
    "ClaimAnswered",
    "ClaimGranted",
    "ClaimLost",
    "ClaimMismatch",
    "ClaimOutcome",
    "ClaimRequest",
    "ClaimRunning",
    "ControlUnavailable",
    "FleetStatus",
    "PoolLease",
    "RowChange",
    "StoredAnswer",
    "TableChange",
    "VoterStatus",
]


@dataclass(frozen=True)
class TableChange:
    """A change that replaces both tables, accepted only at the expected revision.

    The host that receives it converts it to a :class:`RowChange`.

    :ivar change_id: identifier chosen by the operator's client; a repeat with the
        same identifier gets the first answer.
    :ivar author: who requested the change.
    :ivar expect_revision: revision that the change was made against.
    :ivar pools: all rows of the pools table after the change.
    :ivar routes: all rows of the routes table after the change.
    """

    change_id: str
    author: str
    expect_revision: int
    pools: tuple[Pool, ...]
    routes: tuple[Route, ...]


@dataclass(frozen=True)
class RowChange:
    """A change of some rows, accepted only at the expected revision.

    :ivar change_id: identifier chosen by the operator's client; a repeat with the
        same identifier gets the first answer.
    :ivar author: who requested the change.
    :ivar expect_revision: revision that the change was made against.
    :ivar rows: rows to put and to remove.
    """

    change_id: str
    author: str
    expect_revision: int
    rows: TableRows


@dataclass(frozen=True)
class ChangeAccepted:
    """The change is accepted and durable.

    :ivar change_id: identifier of the change.
    :ivar revision: revision that it created.
    :ivar in_force: whether every router that may serve has that revision.
    """

    change_id: str
    revision: int
    in_force: bool = False


@dataclass(frozen=True)
class ChangeConflict:
    """Another change has been accepted since the expected revision.

    :ivar change_id: identifier of the refused change.
    :ivar revision: revision in force.
    :ivar winner_change_id: change that created the revision after the expected one.
    :ivar winner_author: who requested that change.
    """

    change_id: str
    revision: int
    winner_change_id: str = ""
    winner_author: str = ""


@dataclass(frozen=True)
class ChangeRefused:
    """The tables after the change would be invalid.

    :ivar findings: a finding for each problem.
    """

    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class ControlUnavailable:
    """No quorum answered in time; the outcome of the request is unknown.

    :ivar reason: what was attempted.
    :ivar certainly_not_done: whether the request certainly had no effect.
    """

    reason: str
    certainly_not_done: bool = False


@dataclass(frozen=True)
class PoolLease:
    """The right of one host to schedule a pool.

    :ivar pool: name of the pool.
    :ivar host: name of the host.
    :ivar epoch: number that increases whenever the pool is leased to another host.
    """

    pool: str
    host: str
    epoch: int


@dataclass(frozen=True)
class StoredAnswer:
    """An answer kept for repeats of an idempotency key.

    :ivar status: HTTP status.
    :ivar headers: headers as (name, value).
    :ivar body: body; empty if it was too large to keep.
    :ivar complete: whether the whole body is kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    complete: bool = True


@dataclass(frozen=True)
class ClaimRequest:
    """Claims an idempotency key before its request is sent.

    :ivar team: team of the caller; each team has its own keys.
    :ivar key: the idempotency key.
    :ivar fingerprint: hash of method, path and body of the request.
    :ivar claimant: unique identifier of this attempt.
    """

    team: str
    key: str
    fingerprint: str
    claimant: str


@dataclass(frozen=True)
class ClaimGranted:
    """The claimant holds the key and may send the request once."""


@dataclass(frozen=True)
class ClaimRunning:
    """Another attempt holds the key and has not finished."""


@dataclass(frozen=True)
class ClaimAnswered:
    """The request has run.

    :ivar answer: its stored answer.
    """

    answer: StoredAnswer


@dataclass(frozen=True)
class ClaimLost:
    """The request may have run, and its answer is unknown."""


@dataclass(frozen=True)
class ClaimMismatch:
    """The key was used for a different request."""


ClaimOutcome = ClaimGranted | ClaimRunning | ClaimAnswered | ClaimLost | ClaimMismatch


@dataclass(frozen=True)
class AuditRecord:
    """One accepted change in the audit trail.

    :ivar revision: revision that the change created.
    :ivar change_id: identifier of the change.
    :ivar author: who requested it.
    :ivar unix_s: when it was accepted, in seconds since 1970.
    :ivar difference: rows added, removed and altered, one line each.
    """

    revision: int
    change_id: str
    author: str
    unix_s: float
    difference: tuple[str, ...]


@dataclass(frozen=True)
class VoterStatus:
    """One member of the control group.

    :ivar voter_id: random number in the voter's data folder, in hexadecimal.
    :ivar host: name of the host.
    :ivar role: ``leader``, ``voter`` or ``learner``.
    :ivar reachable: whether the leader receives its messages.
    :ivar match_index: index of the last log entry that it has stored durably.
    """

    voter_id: str
    host: str
    role: str
    reachable: bool
    match_index: int


@dataclass(frozen=True)
class FleetStatus:
    """State of the fleet as seen by the control group.

    :ivar leader: name of the leader's host; empty if there is none.
    :ivar term: term of the leader.
    :ivar revision: revision of the tables.
    :ivar in_force: whether that revision is in force everywhere.
    :ivar voters: members of the control group.
    :ivar losses_tolerated: further voters whose loss the group tolerates.
    :ivar pool_leases: leases of all pools.
    :ivar hosts: hosts that hold a freshness lease.
    :ivar findings: current problems of the fleet.
    """

    leader: str
    term: int
    revision: int
    in_force: bool
    voters: tuple[VoterStatus, ...]
    losses_tolerated: int
    pool_leases: tuple[PoolLease, ...]
    hosts: tuple[str, ...]
    findings: tuple[str, ...] = ()
