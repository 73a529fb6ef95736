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
    "EncodedMessage",
    "FencingReply",
    "FencingRequest",
    "HistoryReply",
    "HistoryRequest",
    "InForceReply",
    "InForceRequest",
    "SettleReply",
    "StatusRequest",
    "VoterReply",
    "VoterRequest",
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
class EncodedMessage:
    """An encoded message inside another message.

    :ivar kind: kind of the message.
    :ivar body: the message as MessagePack.
    """

    kind: str
    body: bytes


@wire_message("apply-request")
@dataclass(frozen=True)
class ApplyRequest:
    """Request to accept a change.

    :ivar change: the change.
    """

    change: RowChange


@wire_message("in-force-request")
@dataclass(frozen=True)
class InForceRequest:
    """Query whether a revision is in force at every host.

    :ivar revision: an accepted revision.
    """

    revision: int


@wire_message("in-force-reply")
@dataclass(frozen=True)
class InForceReply:
    """Reply that states whether the revision is in force at every host."""

    in_force: bool


@wire_message("batch-request")
@dataclass(frozen=True)
class BatchRequest:
    """Several commands of one host.

    :ivar items: the commands.
    """

    items: tuple[EncodedMessage, ...]


@wire_message("batch-reply")
@dataclass(frozen=True)
class BatchReply:
    """Outcomes of a batch, in the order of its commands.

    :ivar items: the outcomes.
    """

    items: tuple[EncodedMessage, ...]


@wire_message("settle-reply")
@dataclass(frozen=True)
class SettleReply:
    """Reply that states whether the claimant held the key and its result is stored."""

    stored: bool


@wire_message("history-request")
@dataclass(frozen=True)
class HistoryRequest:
    """Query for accepted changes.

    :ivar after_revision: the first record has a greater revision.
    :ivar limit: maximum number of records.
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
    """Query for the state of the fleet."""


@wire_message("fencing-request")
@dataclass(frozen=True)
class FencingRequest:
    """Request for the next fencing number."""


@wire_message("fencing-reply")
@dataclass(frozen=True)
class FencingReply:
    """The next fencing number."""

    number: int


@wire_message("voter-request")
@dataclass(frozen=True)
class VoterRequest:
    """Request to admit or remove a voter.

    :ivar host: name of the host.
    :ivar admit: True to admit the host, False to remove it.
    """

    host: str
    admit: bool


@wire_message("voter-reply")
@dataclass(frozen=True)
class VoterReply:
    """Outcome of a membership change.

    :ivar done: whether the change was committed.
    :ivar reason: why it was not; else empty.
    """

    done: bool
    reason: str = ""
