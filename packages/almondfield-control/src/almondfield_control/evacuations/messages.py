"""Messages about evacuations between a host and the leader of the control group."""

from dataclasses import dataclass

from almondfield_control.state import EvacuationRecord
from almondfield_core.wire import wire_message

__all__ = [
    "EvacuationChangeReply",
    "EvacuationChangeRequest",
    "EvacuationsReply",
    "EvacuationsRequest",
]


@wire_message("evacuations-request")
@dataclass(frozen=True)
class EvacuationsRequest:
    """Request for all evacuations.

    :ivar is_confirmed: whether a quorum has to confirm them after this request.
    """

    is_confirmed: bool = False


@wire_message("evacuations-reply")
@dataclass(frozen=True)
class EvacuationsReply:
    """All evacuations in the leader's applied state.

    :ivar index: last applied entry.
    :ivar records: the last change of each data centre.
    """

    index: int
    records: tuple[EvacuationRecord, ...]


@wire_message("evacuation-change-request")
@dataclass(frozen=True)
class EvacuationChangeRequest:
    """Request to begin or end the evacuation of a data centre.

    :ivar data_centre: the data centre.
    :ivar in_force: whether it is to be evacuated.
    :ivar requested_by: address of the operator.
    :ivar known_index: an entry that was applied once the operator had called.
    """

    data_centre: str
    in_force: bool
    requested_by: str
    known_index: int


@wire_message("evacuation-change-reply")
@dataclass(frozen=True)
class EvacuationChangeReply:
    """Reply once a quorum holds the change.

    :ivar record: the evacuation after it; None if nothing was changed, as the data
        centre was the subject of a later call.
    """

    record: EvacuationRecord | None
