"""The ports; adapters and small fakes implement them."""

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
    """Messages to and from the other hosts; may lose, delay and repeat them."""

    @property
    def host(self) -> str:
        """Return the name of this host."""

    def send(self, to: str, message: object) -> None:
        """Queue a one-way message; it is dropped where the path is down.

        :param to: name of the host, which may be this one.
        :param message: a registered wire message.
        """

    async def ask(
        self, to: str, message: object, timeout_s: float
    ) -> Result[Any, LinkFailure]:
        """Return the reply of a peer's handler to a message.

        :param to: name of the host, which may be this one.
        :param message: a registered wire message.
        :param timeout_s: seconds to wait for the reply.
        """

    def listen(
        self,
        message_type: type,
        handler: Callable[[str, Any], Awaitable[Any]],
        waits: bool = False,
    ) -> None:
        """Register the handler of a message type.

        :param message_type: a registered wire message type.
        :param handler: called as ``await handler(sender, message)``; what it
            returns, if not None, is the reply to :meth:`ask`. Messages of one
            sender are handed over in order.
        :param waits: whether the handler waits for a disk or for other hosts; it is
            then started in order too, but the next message does not wait for it.
        """

    def is_reachable(self, host: str) -> bool:
        """Return whether the path to a host and back works, as heartbeats show.

        :param host: name of the host.
        """

    def learn_host(self, host: HostSettings) -> None:
        """Take note of a host that the settings may not name.

        :param host: how to reach it; the settings win where they name it.
        """


class TableView(Protocol):
    """The tables and pool leases as this host knows them."""

    @property
    def tables(self) -> Tables:
        """Return the newest tables; their revision never goes down."""

    @property
    def lease_by_pool(self) -> Mapping[str, PoolLease]:
        """Return which host schedules each pool."""

    def freshness_left_s(self) -> float:
        """Return the seconds for which the tables count as current; 0 if stale."""

    def pool_lease_left_s(self, pool: str) -> float:
        """Return the seconds for which this host may schedule a pool; 0 if not its own.

        :param pool: name of the pool.
        """

    async def wait_change(self, revision: int) -> Tables:
        """Return the tables once their revision is beyond the given one.

        :param revision: a revision that the caller has.
        """

    async def wait_leases(self) -> None:
        """Return once the pool leases were renewed or changed."""


class Control(Protocol):
    """The control group as any host reaches it."""

    async def apply(
        self, change: TableChange | RowChange
    ) -> Result[ChangeAccepted, ChangeConflict | ChangeRefused | ControlUnavailable]:
        """Return the outcome of a change once it is accepted, not yet in force.

        :param change: the change; tables as a whole cost more than rows.
        """

    async def wait_in_force(
        self, revision: int, timeout_s: float
    ) -> Result[bool, ControlUnavailable]:
        """Return whether a revision came in force at every host in time.

        :param revision: an accepted revision.
        :param timeout_s: seconds to wait.
        """

    async def claim(
        self, request: ClaimRequest
    ) -> Result[ClaimOutcome, ControlUnavailable]:
        """Return who may run the request of an idempotency key.

        :param request: the claim.
        """

    async def settle_claim(
        self, request: ClaimRequest, answer: StoredAnswer | None, ran: bool
    ) -> Result[bool, ControlUnavailable]:
        """Return True once the result of a claimed request is stored.

        :param request: the claim that was granted.
        :param answer: the whole answer, or None where none is known.
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
        """Return what the control group knows of the fleet."""

    async def next_fencing(self) -> Result[int, ControlUnavailable]:
        """Return a fencing number greater than every one issued before."""

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads the control group and its lease holds."""

    @property
    def leader_host(self) -> str:
        """Return the host that leads, as far as this host knows; else empty."""


class Slot(Protocol):
    """The right to run one request on one backend server, once."""

    @property
    def server(self) -> ServerSlots:
        """Return the backend server to send the request to."""

    def release(self, failure: ServerFailure | None = None) -> None:
        """Give the slot back and charge the time that it was held.

        :param failure: how the call failed, if it did.
        """


class SlotSource(Protocol):
    """Queues of this router; gives out slots in fair order."""

    async def acquire(self, request: SlotRequest) -> Result[Slot, NotRun]:
        """Return a slot once it is the request's turn; cancelling leaves the queue.

        :param request: what the request needs.
        """
