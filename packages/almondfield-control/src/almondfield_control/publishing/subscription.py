"""The routing table of one router, and how long it counts as the newest."""

import asyncio
from collections.abc import Callable

import eliot
from result import Err, Ok

from almondfield_control.node.leader_client import LeaderClient
from almondfield_control.publishing.messages import (
    LeaseReply,
    LeaseRequest,
    TableNotice,
)
from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_core.routing import RoutingIndex, RoutingTable

__all__ = ["TableSubscription"]

RENEW_S = 0.7  # several tries within the shortest lease
RETRY_S = 0.1  # a fraction of an election
ASK_TIMEOUT_S = 1.0  # an election and a round trip


class TableSubscription:
    """Holds the newest table that a leader confirmed; its version never goes down.

    The lease counts from when the leader was asked, so that it ends before a table
    that the leader did not know of can have been in force for the lease's lifetime.

    :param peers: messages to the other hosts.
    :param leader: finds the leader.
    :param lease_s: seconds for which a table counts as the newest once it was
        confirmed.
    :param on_control_hosts: called with the members of the control group.

    :ivar index: the table by its keys.
    """

    def __init__(
        self,
        peers: Peers,
        leader: LeaderClient,
        lease_s: float,
        on_control_hosts: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._peers = peers
        self._leader = leader
        self._lease_s = lease_s
        self._on_control_hosts = on_control_hosts
        self._fresh_until_s = float("-inf")
        self._is_fresh = False
        self._wake = asyncio.Event()
        self.index = RoutingIndex(RoutingTable())

    @property
    def version(self) -> int:
        """Return the version of the table; 0 before the first one."""
        return self.index.table.version

    def fresh_left_s(self) -> float:
        """Return the seconds for which the table counts as the newest; 0 if stale."""
        return max(0.0, self._fresh_until_s - now())

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        self._peers.listen(TableNotice, self._on_notice)
        while True:
            self._wake.clear()
            is_renewed = await self._renew()
            self._note_freshness()
            try:
                async with asyncio.timeout(RENEW_S if is_renewed else RETRY_S):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _renew(self) -> bool:
        """Return whether a leader answered."""
        asked_s = now()
        match await self._leader.ask(LeaseRequest(self.version), ASK_TIMEOUT_S):
            case Ok(LeaseReply() as reply):
                self._take(reply, asked_s)
                return True
            case Err(_):
                return False

    def _take(self, reply: LeaseReply, asked_s: float) -> None:
        self._on_control_hosts(reply.control_hosts)
        if reply.version < self.version:
            # A leader that is behind this router cannot confirm anything to it.
            return
        if reply.table is not None and reply.version > self.version:
            self.index = RoutingIndex(reply.table)
            eliot.log_message("table:installed", version=reply.version)
        if reply.version == self.version:
            self._fresh_until_s = max(self._fresh_until_s, asked_s + self._lease_s)

    def _note_freshness(self) -> None:
        is_fresh = self.fresh_left_s() > 0
        if is_fresh != self._is_fresh:
            self._is_fresh = is_fresh
            eliot.log_message(
                "table:fresh" if is_fresh else "table:stale",
                version=self.version,
                leader=self._leader.leader_host,
            )

    async def _on_notice(self, sender: str, notice: TableNotice) -> None:
        if self._leader.set_leader(sender) or notice.version > self.version:
            self._wake.set()
