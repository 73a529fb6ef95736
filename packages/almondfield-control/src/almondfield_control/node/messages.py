"""Messages between a host and the leader of the control group."""

from dataclasses import dataclass

from almondfield_core.messages import (
    AuditRecord,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ClaimAnswered,
    ClaimGranted,
    ClaimLost,
    ClaimMismatch,
    ClaimRunning,
    ControlUnavailable,
    FleetStatus,
    RowChange,
)
from almondfield_core.wire import wire_message

__all__ = [
    "ApplyRequest",
    "BatchReply",
    "BatchRequest",
    "CodedItem",
    "FencingReply",
    "FencingRequest",
    "HistoryReply",
    "HistoryRequest",
    "InForceReply",
    "InForceRequest",
    "SettleReply",
    "StatusRequest",
    "VoterRequest",
    "VoterReply",
]

for _kind, _message_type in (
    ("change-accepted", ChangeAccepted),
    ("change-conflict", ChangeConflict),
    ("change-refused", ChangeRefused),
    ("claim-answered", ClaimAnswered),
    ("claim-granted", ClaimGranted),
    ("claim-lost", ClaimLost),
    ("claim-mismatch", ClaimMismatch),
    ("claim-running", ClaimRunning),
    ("control-unavailable", ControlUnavailable),
    ("fleet-status", FleetStatus),
):
    wire_message(_kind)(_message_type)


@dataclass(frozen=True)
class CodedItem:
    """One message inside another.

    :ivar kind: kind of the message.
    :ivar body: the message, coded.
    """

    kind: str
    body: bytes


@wire_message("apply-request")
@dataclass(frozen=True)
class ApplyRequest:
    """Asks the leader to accept a change.

    :ivar change: the change.
    """

    change: RowChange


@wire_message("in-force-request")
@dataclass(frozen=True)
class InForceRequest:
    """Asks whether a revision is in force everywhere.

    :ivar revision: an accepted revision.
    """

    revision: int


@wire_message("in-force-reply")
@dataclass(frozen=True)
class InForceReply:
    """Says whether the revision is in force everywhere."""

    in_force: bool


@wire_message("batch-request")
@dataclass(frozen=True)
class BatchRequest:
    """Commands of one host that reached it together.

    :ivar items: the commands.
    """

    items: tuple[CodedItem, ...]


@wire_message("batch-reply")
@dataclass(frozen=True)
class BatchReply:
    """Outcomes of a batch, in its order.

    :ivar items: the outcomes.
    """

    items: tuple[CodedItem, ...]


@wire_message("settle-reply")
@dataclass(frozen=True)
class SettleReply:
    """Says whether the claimant held the key, whose result is now stored."""

    stored: bool


@wire_message("history-request")
@dataclass(frozen=True)
class HistoryRequest:
    """Asks for accepted changes.

    :ivar after_revision: the first record has a greater revision.
    :ivar limit: number of records, at most.
    """

    after_revision: int
    limit: int


@wire_message("history-reply")
@dataclass(frozen=True)
class HistoryReply:
    """Accepted changes in order."""

    records: tuple[AuditRecord, ...]


@wire_message("status-request")
@dataclass(frozen=True)
class StatusRequest:
    """Asks for the state of the fleet."""


@wire_message("fencing-request")
@dataclass(frozen=True)
class FencingRequest:
    """Asks for the next fencing number."""


@wire_message("fencing-reply")
@dataclass(frozen=True)
class FencingReply:
    """The next fencing number."""

    number: int


@wire_message("voter-request")
@dataclass(frozen=True)
class VoterRequest:
    """Asks the leader to admit or remove a voter.

    :ivar host: name of the host.
    :ivar admit: whether to admit it; else it is removed.
    """

    host: str
    admit: bool


@wire_message("voter-reply")
@dataclass(frozen=True)
class VoterReply:
    """Says whether the membership change was committed, and why not.

    :ivar done: whether it was committed.
    :ivar reason: why not.
    """

    done: bool
    reason: str = ""
