"""What a member of the control group does about the routing table."""

from collections.abc import Callable, Iterable

import eliot
from result import Err, Ok, Result

from almondfield_control.commands import LogEntry, NoOperation, PublishTable
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
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers
from almondfield_core.routing import RoutingTable
from almondfield_core.wire import kind_of

__all__ = ["TablePublisher"]

PUBLISH_KIND = kind_of(PublishTable)


class TablePublisher:
    """Accepts and reads routing tables at any member, and leases them as the leader.

    :param replica: the member of the control group on this host.
    :param peers: messages to the other hosts.
    :param leader: finds the leader.
    :param routers: returns the hosts of the routers that were heard lately.
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
        self._noticed_term = 0
        replica.on_apply.append(self._on_apply)

    def listen(self) -> None:
        """Answer requests from now on."""
        self._peers.listen(PublishRequest, self._on_publish, waits=True)
        self._peers.listen(ReadRequest, self._on_read, waits=True)
        self._peers.listen(LeaseRequest, self._on_lease)

    async def publish(
        self, table: RoutingTable, document: bytes, timeout_s: float
    ) -> Result[int, ControlUnavailable]:
        """Return the version in force once a quorum holds the table, or a higher one.

        :param table: the table; it has no findings.
        :param document: the operator's own form of it.
        :param timeout_s: seconds to go on trying.
        """
        request = PublishRequest(table, document)
        reply = await self._leader.ask(request, timeout_s)
        return reply.map(lambda item: item.version)

    async def read(self, timeout_s: float) -> Result[ReadReply, ControlUnavailable]:
        """Return the newest table, confirmed by a quorum after this call.

        :param timeout_s: seconds to go on trying.
        """
        return await self._leader.ask(ReadRequest(), timeout_s)

    @property
    def leads(self) -> bool:
        """Return whether this host leads the control group."""
        replica = self._replica
        return replica.is_leader and replica.leadership.has_committed

    @property
    def table(self) -> RoutingTable | None:
        """Return the newest table that this member knows to be accepted, if any."""
        published = self._replica.state.published
        return published.table if published else None

    def _not_leader(self) -> NotLeader:
        return NotLeader(self._replica.leader_host)

    def _voters(self) -> int:
        return sum(member.votes for member in self._replica.log.members)

    async def _on_publish(
        self, sender: str, request: PublishRequest
    ) -> PublishReply | NotLeader | ControlUnavailable:
        if not self.leads:
            return self._not_leader()
        held = self._replica.state.published
        if held is not None and held.table.version >= request.table.version:
            return PublishReply(held.table.version)
        least = self._replica.policy.least_voters
        if self._voters() < least:
            reason = f"{self._voters()} voters stand; needed: {least}"
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
        if not self.leads:
            return self._not_leader()
        match await self._replica.propose(NoOperation()):
            case Ok(_):
                held = self._replica.state.published
                if held is None:
                    return ReadReply(0, b"")
                return ReadReply(held.table.version, held.document)
            case Err(unavailable):
                return unavailable

    async def _on_lease(
        self, sender: str, request: LeaseRequest
    ) -> LeaseReply | NotLeader:
        if not self.leads:
            return self._not_leader()
        held = self._replica.state.published
        version = held.table.version if held else 0
        is_news = held is not None and version != request.version
        members = self._replica.log.members
        return LeaseReply(
            version=version,
            table=held.table if is_news else None,
            control_hosts=tuple(member.host for member in members),
        )

    def _on_apply(self, entry: LogEntry, outcome: object) -> None:
        replica = self._replica
        published = replica.state.published
        version = published.table.version if published else 0
        is_table = published is not None and entry.kind == PUBLISH_KIND
        if is_table:
            eliot.log_message(
                "table:accepted", version=version, entry=entry.index, term=entry.term
            )
        leads = replica.is_leader and entry.term == replica.leadership.term
        if leads and (is_table or entry.term != self._noticed_term):
            # Routers that lost the leader before learn of this one.
            self._noticed_term = entry.term
            for router in self._routers():
                self._peers.send(router, TableNotice(version))
