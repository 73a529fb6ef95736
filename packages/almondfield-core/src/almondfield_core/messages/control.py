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
    """A change that gives both tables as a whole, accepted only at a revision.

    The host that takes it turns it into a :class:`RowChange`.

    :ivar change_id: identifier chosen by the operator's client; the same one sent
        again gets the first answer again.
    :ivar author: who asks for the change.
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

    :ivar change_id: identifier chosen by the operator's client; the same one sent
        again gets the first answer again.
    :ivar author: who asks for the change.
    :ivar expect_revision: revision that the change was made against.
    :ivar rows: rows put and removed.
    """

    change_id: str
    author: str
    expect_revision: int
    rows: TableRows


@dataclass(frozen=True)
class ChangeAccepted:
    """The change is accepted and durable.

    :ivar change_id: identifier of the change.
    :ivar revision: revision that it made.
    :ivar in_force: whether every router that may serve has it.
    """

    change_id: str
    revision: int
    in_force: bool = False


@dataclass(frozen=True)
class ChangeConflict:
    """Another change was accepted under the expected revision.

    :ivar change_id: identifier of the refused change.
    :ivar revision: revision in force.
    :ivar winner_change_id: change that made the revision after the expected one.
    :ivar winner_author: who asked for that change.
    """

    change_id: str
    revision: int
    winner_change_id: str = ""
    winner_author: str = ""


@dataclass(frozen=True)
class ChangeRefused:
    """The tables of the change are wrong.

    :ivar findings: everything that is wrong with them.
    """

    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class ControlUnavailable:
    """No quorum answered in time; the outcome of the request is not known.

    :ivar reason: what was tried.
    :ivar certainly_not_done: whether the request had certainly no effect.
    """

    reason: str
    certainly_not_done: bool = False


@dataclass(frozen=True)
class PoolLease:
    """Which host schedules a pool.

    :ivar pool: name of the pool.
    :ivar host: name of the host.
    :ivar epoch: number that grows whenever the pool is leased to another host.
    """

    pool: str
    host: str
    epoch: int


@dataclass(frozen=True)
class StoredAnswer:
    """An answer kept for repeats of an idempotency key.

    :ivar status: HTTP status.
    :ivar headers: headers as (name, value).
    :ivar body: body; empty where it was too large to keep.
    :ivar complete: whether the body is whole.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    complete: bool = True


@dataclass(frozen=True)
class ClaimRequest:
    """Claims an idempotency key before its request is sent.

    :ivar team: team of the caller; keys of two teams never meet.
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
    """The claimant holds the key and may send the request, once."""


@dataclass(frozen=True)
class ClaimRunning:
    """Another attempt holds the key and has not finished."""


@dataclass(frozen=True)
class ClaimAnswered:
    """The request has run; here is its answer."""

    answer: StoredAnswer


@dataclass(frozen=True)
class ClaimLost:
    """The request may have run, and its answer is not known."""


@dataclass(frozen=True)
class ClaimMismatch:
    """The key was used for a different request."""


ClaimOutcome = ClaimGranted | ClaimRunning | ClaimAnswered | ClaimLost | ClaimMismatch


@dataclass(frozen=True)
class AuditRecord:
    """One accepted change in the audit trail.

    :ivar revision: revision that the change made.
    :ivar change_id: identifier of the change.
    :ivar author: who asked for it.
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
    :ivar reachable: whether the leader hears it.
    :ivar match_index: last log entry that it holds durably.
    """

    voter_id: str
    host: str
    role: str
    reachable: bool
    match_index: int


@dataclass(frozen=True)
class FleetStatus:
    """What the control group knows of the fleet.

    :ivar leader: name of the leading host; empty where there is none.
    :ivar term: term of the leader.
    :ivar revision: revision of the tables.
    :ivar in_force: whether that revision is in force everywhere.
    :ivar voters: members of the control group.
    :ivar losses_tolerated: voters that may still be lost.
    :ivar pool_leases: which host schedules which pool.
    :ivar hosts: hosts that hold a freshness lease.
    :ivar findings: what is not healthy.
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
