"""Publication of routing tables by the members of the control group."""

from collections.abc import Callable, Iterable
from dataclasses import replace

import eliot
from result import Err, Ok, Result

from almondfield_control.commands import (
    ChangeEvacuation,
    LogEntry,
    NoOperation,
    PublishTable,
)
from almondfield_control.consensus import Replica
from almondfield_control.freshness import NotLeader
from almondfield_control.node.leader_client import LeaderClient
from almondfield_control.publishing.messages import (
    LeaseReply,
    LeaseRequest,
    PublishReply,
    PublishRequest,
    ReadReply,
    ReadRequest,
    TableNotice,
)
from almondfield_control.publishing.packing import TablePacker
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers
from almondfield_core.routing import RoutingTable
from almondfield_core.wire import kind_of

__all__ = ["TablePublisher"]

PUBLISH_KIND = kind_of(PublishTable)
EVACUATION_KIND = kind_of(ChangeEvacuation)


class TablePublisher:
    """Publishes and reads routing tables at any member; the leader also leases them.

    :param replica: the member of the control group on this host.
    :param peers: transport to the other hosts.
    :param leader: client of the leader.
    :param routers: returns the hosts of the routers that were seen recently.
    """

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        leader: LeaderClient,
        routers: Callable[[], Iterable[str]],
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._leader = leader
        self._routers = routers
        self._notified_term = 0
        self._packer = TablePacker()
        replica.on_apply.append(self._on_apply)

    def register_handlers(self) -> None:
        """Register the request handlers."""
        self._peers.register_handler(PublishRequest, self._on_publish, concurrent=True)
        self._peers.register_handler(ReadRequest, self._on_read, concurrent=True)
        self._peers.register_handler(LeaseRequest, self._on_lease)

    async def publish(
        self, table: RoutingTable, document: bytes, timeout_s: float
    ) -> Result[int, ControlUnavailable]:
        """Return the version in force once a quorum holds this table or a newer one.

        :param table: a valid table.
        :param document: the table as the operator sent it.
        :param timeout_s: seconds after which no further attempt is made.
        """
        request = PublishRequest(table, document)
        reply = await self._leader.request(request, timeout_s)
        return reply.map(lambda item: item.version)

    async def read(self, timeout_s: float) -> Result[ReadReply, ControlUnavailable]:
        """Return the newest table, confirmed by a quorum after this call.

        :param timeout_s: seconds after which no further attempt is made.
        """
        return await self._leader.request(ReadRequest(), timeout_s)

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads the control group."""
        replica = self._replica
        return replica.is_leader and replica.leadership.has_committed

    @property
    def led_term(self) -> int | None:
        """Return the term that this host leads; None if it leads none.

        Unlike :attr:`is_leader`, it stays while the lease has run out and the host has
        not stepped down, as happens if its event loop is late. Another host may lead
        then, so this is for work that two hosts may do at the same time.
        """
        leadership = self._replica.leadership
        if leadership is None or not leadership.has_committed:
            return None
        return leadership.term

    @property
    def table(self) -> RoutingTable | None:
        """Return the newest accepted table in this member's state, if any."""
        published = self._replica.state.published
        return published.table if published else None

    def _not_leader(self) -> NotLeader:
        return NotLeader(self._replica.leader_host)

    def _voter_count(self) -> int:
        return sum(member.votes for member in self._replica.log.members)

    async def _on_publish(
        self, sender: str, request: PublishRequest
    ) -> PublishReply | NotLeader | ControlUnavailable:
        if not self.is_leader:
            return self._not_leader()
        published = self._replica.state.published
        if published is not None and published.table.version >= request.table.version:
            return PublishReply(published.table.version)
        required_voters = self._replica.policy.min_voters
        if self._voter_count() < required_voters:
            reason = f"{self._voter_count()} voters; at least {required_voters} needed"
            return ControlUnavailable(reason, certainly_not_done=True)
        command = PublishTable(request.table, request.document)
        match await self._replica.propose(command):
            case Ok(version):
                return PublishReply(version)
            case Err(unavailable):
                return unavailable

    async def _on_read(
        self, sender: str, request: ReadRequest
    ) -> ReadReply | NotLeader | ControlUnavailable:
        if not self.is_leader:
            return self._not_leader()
        match await self._replica.propose(NoOperation()):
            case Ok(_):
                published = self._replica.state.published
                if published is None:
                    return ReadReply(0, b"")
                return ReadReply(published.table.version, published.document)
            case Err(unavailable):
                return unavailable

    async def _on_lease(
        self, sender: str, request: LeaseRequest
    ) -> LeaseReply | NotLeader:
        if not self.is_leader:
            return self._not_leader()
        state = self._replica.state
        published = state.published
        members = self._replica.log.members
        version = published.table.version if published else 0
        reply = LeaseReply(
            version,
            control_hosts=tuple(member.host for member in members),
            evacuated=tuple(state.evacuations.in_force),
            evacuations_index=state.evacuations.index,
        )
        if published is None or version == request.version:
            return reply
        if request.unpacks:
            return replace(reply, packed=self._packer.pack(published.table))
        return replace(reply, table=published.table)

    def _on_apply(self, entry: LogEntry, outcome: object) -> None:
        replica = self._replica
        published = replica.state.published
        version = published.table.version if published else 0
        is_table = published is not None and entry.kind == PUBLISH_KIND
        if is_table:
            eliot.log_message(
                "table:accepted", version=version, entry=entry.index, term=entry.term
            )
        evacuations_index = replica.state.evacuations.index
        is_evacuation = (
            entry.kind == EVACUATION_KIND and entry.index == evacuations_index
        )
        leads = replica.is_leader and entry.term == replica.leadership.term
        is_news = is_table or is_evacuation
        if leads and (is_news or entry.term != self._notified_term):
            # Also sent once per term, so that routers without a leader find it.
            self._notified_term = entry.term
            for router in self._routers():
                self._peers.send(router, TableNotice(version, evacuations_index))
