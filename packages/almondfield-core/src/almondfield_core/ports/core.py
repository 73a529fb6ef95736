"""Ports as protocols, implemented by adapters and by fakes in tests."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

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
    NotRun,
    PoolLease,
    RowChange,
    ServerFailure,
    ServerSlots,
    SlotRequest,
    StoredAnswer,
    TableChange,
)
from almondfield_core.settings import HostSettings
from almondfield_core.tables import Tables

__all__ = ["Control", "LinkFailure", "Peers", "Slot", "SlotSource", "TableView"]


@dataclass(frozen=True)
class LinkFailure:
    """Why a peer gave no reply; the message may or may not have arrived.

    :ivar host: name of the peer.
    :ivar reason: what happened.
    """

    host: str
    reason: str


class Peers(Protocol):
    """Messaging between hosts; messages may be lost, delayed and repeated."""

    @property
    def host(self) -> str:
        """Return the name of this host."""

    @property
    def handling_delay_s(self) -> float:
        """Return how long the message that is handled now waited for its handler.

        The value is in seconds, and that of a handler that has just been called.
        """

    def send(self, to: str, message: object) -> None:
        """Queue a one-way message; it is dropped if the path is down.

        :param to: name of the host, which may be this one.
        :param message: a registered wire message.
        """

    async def request(
        self,
        to: str,
        message: object,
        timeout_s: float,
        on_late: Callable[[Any], None] | None = None,
    ) -> Result[Any, LinkFailure]:
        """Return the reply of a peer's handler to a message.

        :param to: name of the host, which may be this one.
        :param message: a registered wire message.
        :param timeout_s: seconds to wait for the reply.
        :param on_late: called with a reply that arrives after the timeout.
        """

    def register_handler(
        self,
        message_type: type,
        handler: Callable[[str, Any], Awaitable[Any]],
        concurrent: bool = False,
    ) -> None:
        """Register the handler of a message type.

        :param message_type: a registered wire message type.
        :param handler: called as ``await handler(sender, message)``; what it
            returns, if not None, is the reply to :meth:`request`. Messages of one
            sender are delivered in order.
        :param concurrent: whether calls may overlap, for a handler that waits for a
            disk or for other hosts; they start in order, but the next one does not
            wait for the previous one to end.
        """

    def is_reachable(self, host: str) -> bool:
        """Return whether heartbeats show that the path to a host and back works.

        :param host: name of the host.
        """

    def add_host(self, host: HostSettings) -> None:
        """Add a host that may be missing from the settings.

        :param host: how to reach it; the settings take precedence if they name it.
        """


class TableView(Protocol):
    """The tables and pool leases that this host received last."""

    @property
    def tables(self) -> Tables:
        """Return the newest tables; their revision never decreases."""

    @property
    def lease_by_pool(self) -> Mapping[str, PoolLease]:
        """Return the lease of each pool by the name of the pool."""

    def freshness_left_s(self) -> float:
        """Return the seconds for which the tables are fresh; 0 if they are stale."""

    def pool_lease_left_s(self, pool: str) -> float:
        """Return the seconds for which this host may schedule a pool; 0 if it may not.

        :param pool: name of the pool.
        """

    async def wait_for_revision(self, revision: int) -> Tables:
        """Return the tables once their revision is greater than the given one.

        :param revision: the revision that the caller already has.
        """

    async def wait_for_leases(self) -> None:
        """Return once the pool leases have been renewed or changed."""


class Control(Protocol):
    """The control group as seen from any host."""

    async def apply(
        self, change: TableChange | RowChange
    ) -> Result[ChangeAccepted, ChangeConflict | ChangeRefused | ControlUnavailable]:
        """Return the outcome of a change without waiting until it is in force.

        :param change: the change; replacing whole tables costs more than changing rows.
        """

    async def wait_in_force(
        self, revision: int, timeout_s: float
    ) -> Result[bool, ControlUnavailable]:
        """Return whether a revision came into force at every host in time.

        :param revision: an accepted revision.
        :param timeout_s: seconds to wait.
        """

    async def claim(
        self, request: ClaimRequest
    ) -> Result[ClaimOutcome, ControlUnavailable]:
        """Return the outcome of claiming an idempotency key.

        :param request: the claim.
        """

    async def settle_claim(
        self, request: ClaimRequest, answer: StoredAnswer | None, ran: bool
    ) -> Result[bool, ControlUnavailable]:
        """Return True once the result of a claimed request is stored.

        :param request: the claim that was granted.
        :param answer: the whole answer, or None if it is unknown.
        :param ran: whether the request may have run; if not, the key is free again.
        """

    async def history(
        self, after_revision: int, limit: int
    ) -> Result[tuple[AuditRecord, ...], ControlUnavailable]:
        """Return accepted changes in order.

        :param after_revision: the first record has a greater revision.
        :param limit: number of records, at most.
        """

    async def status(self) -> Result[FleetStatus, ControlUnavailable]:
        """Return the state of the fleet as seen by the control group."""

    async def next_fencing(self) -> Result[int, ControlUnavailable]:
        """Return a fencing number greater than every one issued before."""

    async def evacuations(self) -> Result[tuple[Evacuation, ...], ControlUnavailable]:
        """Return the evacuations of data centres that are in force."""

    async def change_evacuation(
        self, data_centre: str, in_force: bool, requested_by: str
    ) -> Result[EvacuationChanged, ControlUnavailable]:
        """Return the evacuation of a data centre once a quorum holds the change.

        :param data_centre: the data centre.
        :param in_force: whether it is to be evacuated.
        :param requested_by: address of the operator.
        """

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads the control group and its lease is valid."""

    @property
    def leader_host(self) -> str:
        """Return the leader's host as last seen by this host; empty if unknown."""


class Slot(Protocol):
    """The right to run one request once on one backend server."""

    @property
    def server(self) -> ServerSlots:
        """Return the backend server to send the request to."""

    def release(self, failure: ServerFailure | None = None) -> None:
        """Release the slot and charge the time that it was held.

        :param failure: how the call failed, if it did.
        """


class SlotSource(Protocol):
    """Queues of this router, which assign slots by fair share."""

    async def acquire(self, request: SlotRequest) -> Result[Slot, NotRun]:
        """Return a slot once it is the request's turn; cancelling leaves the queue.

        :param request: the request's demand for a slot.
        """
