"""Evacuations as the members of the control group hold them."""

from collections.abc import Callable

from result import Err, Ok

from almondfield_control.commands import ChangeEvacuation, LogEntry, NoOperation
from almondfield_control.consensus import Replica
from almondfield_control.evacuations.messages import (
    EvacuationChangeReply,
    EvacuationChangeRequest,
    EvacuationsReply,
    EvacuationsRequest,
)
from almondfield_control.freshness import NotLeader, log_evacuations
from almondfield_control.state import EvacuationRecord
from almondfield_core.clock import WallClock, now
from almondfield_core.containment import contain_errors
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers

__all__ = ["EvacuationService"]


class EvacuationService:
    """Knows the evacuations at any member; the leader also changes them.

    :param replica: the member of the control group on this host.
    :param peers: transport to the other hosts.
    :param wall_clock: calendar time, from which the time of a change is derived.

    :ivar end_callbacks: called with the data centres whose evacuation has ended.
    """

    def __init__(self, replica: Replica, peers: Peers, wall_clock: WallClock) -> None:
        self._replica = replica
        self._peers = peers
        self._wall_clock = wall_clock
        self._logged_index = 0
        self._logged: frozenset[str] = frozenset()
        self.end_callbacks: list[Callable[[frozenset[str]], None]] = []
        replica.on_apply.append(self._on_apply)

    def register_handlers(self) -> None:
        """Register the request handlers."""
        self._peers.register_handler(
            EvacuationChangeRequest, self._on_change, concurrent=True
        )
        self._peers.register_handler(
            EvacuationsRequest, self._on_request, concurrent=True
        )

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres in this member's applied state."""
        return self._replica.state.evacuations.in_force

    def records(self) -> tuple[EvacuationRecord, ...]:
        """Return the last change of each data centre in this member's state."""
        return self._replica.state.evacuations.records

    def ended_s_by_data_centre(self) -> dict[str, float]:
        """Return when each evacuation ended, in seconds of the loop's clock.

        The time of the log entry is used, so that a host that has just started knows
        ends before its start. Clocks of two leaders may differ, so an end is never in
        the future.
        """
        unix_s = self._wall_clock.unix_s()
        return {
            item.data_centre: now() - max(0.0, unix_s - item.changed_unix_s)
            for item in self.records()
            if item.changed_index and not item.in_force
        }

    async def _on_change(
        self, sender: str, request: EvacuationChangeRequest
    ) -> EvacuationChangeReply | NotLeader | ControlUnavailable:
        replica = self._replica
        if not self._leads():
            return NotLeader(replica.leader_host)
        required = replica.policy.min_voters
        voters = sum(member.votes for member in replica.log.members)
        if voters < required and not self._is_as_requested(request):
            reason = f"{voters} voters; at least {required} needed"
            return ControlUnavailable(reason, certainly_not_done=True)
        # Also proposed if nothing changes: an entry that isn't applied yet may precede.
        command = ChangeEvacuation(
            request.data_centre,
            request.in_force,
            request.requested_by,
            request.known_index,
        )
        match await replica.propose(command):
            case Ok(record):
                return EvacuationChangeReply(record)
            case Err(unavailable):
                return unavailable

    async def _on_request(
        self, sender: str, request: EvacuationsRequest
    ) -> EvacuationsReply | NotLeader | ControlUnavailable:
        if not self._leads():
            return NotLeader(self._replica.leader_host)
        if request.is_confirmed:
            confirmed = await self._replica.propose(NoOperation())
            if isinstance(confirmed, Err):
                return confirmed.err_value
        return EvacuationsReply(self._replica.state.index, self.records())

    def _leads(self) -> bool:
        replica = self._replica
        return replica.is_leader and replica.leadership.has_committed

    def _is_as_requested(self, request: EvacuationChangeRequest) -> bool:
        return request.in_force == (
            request.data_centre in self.evacuated_data_centres()
        )

    def _on_apply(self, entry: LogEntry, outcome: object) -> None:
        # A snapshot replaces the state without entries, so the states are compared.
        evacuations = self._replica.state.evacuations
        if evacuations.index == self._logged_index:
            return
        before, self._logged = self._logged, evacuations.in_force
        self._logged_index = evacuations.index
        record_by_data_centre = {item.data_centre: item for item in self.records()}
        log_evacuations(
            before, evacuations.in_force, evacuations.index, record_by_data_centre
        )
        if ended := before - evacuations.in_force:
            for callback in self.end_callbacks:
                with contain_errors("end of evacuations"):
                    callback(ended)
