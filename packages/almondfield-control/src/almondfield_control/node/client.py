"""Client of one host for the control group."""

import asyncio

from result import Err, Ok, Result

from almondfield_control.commands import ClaimKey, SettleClaim
from almondfield_control.consensus import Replica
from almondfield_control.evacuations import EvacuationClient
from almondfield_control.node.batches import CommandBatcher
from almondfield_control.node.leader_client import LeaderClient
from almondfield_control.node.messages import (
    ApplyRequest,
    FencingRequest,
    HistoryRequest,
    InForceRequest,
    StatusRequest,
    VoterReply,
    VoterRequest,
)
from almondfield_control.node.rows import always_conflicting, to_row_change
from almondfield_core.clock import now
from almondfield_core.messages import (
    AuditRecord,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ClaimOutcome,
    ClaimRequest,
    ControlUnavailable,
    Evacuation,
    EvacuationChanged,
    FleetStatus,
    RowChange,
    StoredAnswer,
    TableChange,
)
from almondfield_core.ports import Peers, TableView

__all__ = ["ControlClient"]

APPLY_TIMEOUT_S = 10.0
CLAIM_TIMEOUT_S = 3.0
SETTLE_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 5.0
EVACUATION_TIMEOUT_S = 5.0
VOTER_TIMEOUT_S = 30.0
IN_FORCE_POLL_S = 0.1

_REVISION_UNAVAILABLE = ControlUnavailable(
    "this host does not have the expected revision", certainly_not_done=True
)


class ControlClient(LeaderClient):
    """The ``Control`` port; finds the leader and retries idempotent requests.

    :param peers: transport to the other hosts.
    :param view: the tables of this host.
    :param voters: hosts configured as voters.
    :param incarnation: number that increases with each start of this host.
    :param replica: this host's member of the control group, if it has one.
    """

    def __init__(
        self,
        peers: Peers,
        view: TableView,
        voters: tuple[str, ...],
        incarnation: int,
        replica: Replica | None = None,
    ) -> None:
        super().__init__(peers, lambda: voters)
        self._view = view
        self._incarnation = incarnation
        self._replica = replica
        self._batcher = CommandBatcher(self.request)
        self._evacuations = EvacuationClient(self)

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads the control group and its lease is valid."""
        return self._replica is not None and self._replica.is_leader

    async def apply(
        self, change: TableChange | RowChange
    ) -> Result[ChangeAccepted, ChangeConflict | ChangeRefused | ControlUnavailable]:
        """Return the outcome of a change once it is accepted, not yet in force.

        :param change: the change; whole tables cost more than rows, to which they are
            converted first.
        """
        if isinstance(change, TableChange):
            match await self._to_row_change(change):
                case Ok(row_change):
                    change = row_change
                case failure:
                    return failure
        match await self.request(ApplyRequest(change), APPLY_TIMEOUT_S):
            case Ok(ChangeAccepted() as accepted):
                return Ok(accepted)
            case Ok(refusal) | Err(refusal):
                return Err(refusal)

    async def _to_row_change(
        self, change: TableChange
    ) -> Result[RowChange, ControlUnavailable]:
        """Return the change as rows; wait if this host lacks the expected tables."""
        deadline = now() + APPLY_TIMEOUT_S
        while now() < deadline:
            row_change = await to_row_change(self._view, change)
            if row_change is not None:
                return Ok(row_change)
            status = await self.status()
            if status.is_ok() and status.ok_value.revision < change.expect_revision:
                return Ok(always_conflicting(change))
        return Err(_REVISION_UNAVAILABLE)

    async def wait_in_force(
        self, revision: int, timeout_s: float
    ) -> Result[bool, ControlUnavailable]:
        """Return whether a revision came into force at every host in time.

        :param revision: an accepted revision.
        :param timeout_s: seconds to wait.
        """
        deadline = now() + timeout_s
        while True:
            left_s = max(IN_FORCE_POLL_S, deadline - now())
            answer = await self.request(InForceRequest(revision), left_s)
            if isinstance(answer, Err):
                return answer
            if answer.ok_value.in_force or now() >= deadline:
                return Ok(answer.ok_value.in_force)
            await asyncio.sleep(IN_FORCE_POLL_S)

    async def claim(
        self, request: ClaimRequest
    ) -> Result[ClaimOutcome, ControlUnavailable]:
        """Return who may run the request of an idempotency key.

        :param request: the claim.
        """
        command = ClaimKey(request, self._peers.host, self._incarnation)
        return await self._batcher.submit(command, CLAIM_TIMEOUT_S)

    async def settle_claim(
        self, request: ClaimRequest, answer: StoredAnswer | None, ran: bool
    ) -> Result[bool, ControlUnavailable]:
        """Return True once the result of a claimed request is stored.

        :param request: the claim that was granted.
        :param answer: the complete answer; None if it is not known.
        :param ran: whether the request may have run; if not, the key is free again.
        """
        command = SettleClaim(request, ran, answer)
        reply = await self._batcher.submit(command, SETTLE_TIMEOUT_S)
        return reply.map(lambda item: item.stored)

    async def history(
        self, after_revision: int, limit: int
    ) -> Result[tuple[AuditRecord, ...], ControlUnavailable]:
        """Return accepted changes in order.

        :param after_revision: the first record has a greater revision.
        :param limit: maximum number of records.
        """
        request = HistoryRequest(after_revision, limit)
        reply = await self.request(request, READ_TIMEOUT_S)
        return reply.map(lambda item: item.records)

    async def status(self) -> Result[FleetStatus, ControlUnavailable]:
        """Return the state of the fleet as the leader sees it."""
        return await self.request(StatusRequest(), READ_TIMEOUT_S)

    async def next_fencing(self) -> Result[int, ControlUnavailable]:
        """Return a fencing number greater than all numbers issued before."""
        reply = await self.request(FencingRequest(), READ_TIMEOUT_S)
        return reply.map(lambda item: item.number)

    async def evacuations(self) -> Result[tuple[Evacuation, ...], ControlUnavailable]:
        """Return the evacuations in force, confirmed by a quorum after this call."""
        return await self._evacuations.evacuations(READ_TIMEOUT_S)

    async def change_evacuation(
        self, data_centre: str, in_force: bool, requested_by: str
    ) -> Result[EvacuationChanged, ControlUnavailable]:
        """Return the evacuation of a data centre once a quorum holds the change.

        :param data_centre: the data centre.
        :param in_force: whether it is to be evacuated.
        :param requested_by: address of the operator.
        """
        return await self._evacuations.change(
            data_centre, in_force, requested_by, EVACUATION_TIMEOUT_S
        )

    async def change_voter(self, host: str, admit: bool) -> Result[str, str]:
        """Return the host once the membership change is committed.

        :param host: name of the host.
        :param admit: True to admit the host, False to remove it.
        """
        match await self.request(VoterRequest(host, admit), VOTER_TIMEOUT_S):
            case Ok(VoterReply(done=True)):
                return Ok(host)
            case Ok(VoterReply(reason=reason)):
                return Err(reason)
            case Err(unavailable):
                return Err(unavailable.reason)
