"""The routing table of one router, its freshness lease, and the evacuations."""

import asyncio
from collections.abc import Callable

import eliot
from result import Err, Ok

from almondfield_control.freshness import EvacuationView
from almondfield_control.node.leader_client import LeaderClient
from almondfield_control.publishing.messages import (
    LeaseReply,
    LeaseRequest,
    TableNotice,
)
from almondfield_control.publishing.packing import unpack_table
from almondfield_core.clock import now
from almondfield_core.containment import contain_errors
from almondfield_core.ports import Peers
from almondfield_core.routing import RoutingIndex, RoutingTable

__all__ = ["TableSubscription"]

RENEWAL_INTERVAL_S = 0.7  # several attempts within the shortest lease
RETRY_INTERVAL_S = 0.1  # a fraction of the election time
REQUEST_TIMEOUT_S = 1.0  # covers an election and a round trip


class TableSubscription:
    """Holds the newest table confirmed by a leader; its version never goes down.

    A lease starts when its request is sent, not when the reply arrives. It therefore
    expires before a newer table, unknown to the replying leader, can have been in force
    for the lifetime of the lease.

    :param peers: transport to the other hosts.
    :param leader: client of the leader.
    :param lease_s: seconds for which a confirmed table counts as the newest.
    :param on_control_hosts: called with the hosts of the control group.

    :ivar index: the table, indexed by its keys.
    :ivar evacuations: the evacuations, which are kept when the lease expires.
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
        self._freshness_expiry_s = float("-inf")
        self._is_fresh = False
        self._wake = asyncio.Event()
        self.index = RoutingIndex(RoutingTable())
        self.evacuations = EvacuationView()

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres, as of the newest known change."""
        return self.evacuations.in_force

    @property
    def version(self) -> int:
        """Return the version of the table; 0 before the first one."""
        return self.index.table.version

    def fresh_left_s(self) -> float:
        """Return the seconds for which the table counts as the newest; 0 if stale."""
        return max(0.0, self._freshness_expiry_s - now())

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        self._peers.register_handler(TableNotice, self._on_notice)
        while True:
            self._wake.clear()
            is_renewed = False
            with contain_errors("renewal of the table's lease"):
                is_renewed = await self._renew()
            self._log_freshness_change()
            try:
                async with asyncio.timeout(
                    RENEWAL_INTERVAL_S if is_renewed else RETRY_INTERVAL_S
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _renew(self) -> bool:
        """Return whether a leader answered."""
        sent_at_s = now()

        def on_late(reply: object) -> None:
            # The lease counts from its request, so that it may be valid still.
            if isinstance(reply, LeaseReply):
                self._install_reply(reply, sent_at_s)
                self._log_freshness_change()

        request = LeaseRequest(self.version, unpacks=True)
        match await self._leader.request(request, REQUEST_TIMEOUT_S, on_late):
            case Ok(LeaseReply() as reply):
                self._install_reply(reply, sent_at_s)
                return True
            case Err(_):
                return False

    def _install_reply(self, reply: LeaseReply, sent_at_s: float) -> None:
        self._on_control_hosts(reply.control_hosts)
        # Before the table, with which this router becomes ready.
        self.evacuations.install(reply.evacuations_index, reply.evacuated)
        if reply.version < self.version:
            # A leader with an older table cannot confirm the table of this router.
            return
        if reply.version > self.version:
            self._install_table(reply)
        if reply.version == self.version:
            self._freshness_expiry_s = max(
                self._freshness_expiry_s, sent_at_s + self._lease_s
            )

    def _install_table(self, reply: LeaseReply) -> None:
        table = reply.table
        if reply.packed:
            match unpack_table(reply.packed):
                case Ok(table):
                    pass
                case Err(error):
                    eliot.log_message(
                        "table:unreadable", version=reply.version, reason=str(error)
                    )
                    return
        if table is not None:
            self.index = RoutingIndex(table)
            eliot.log_message("table:installed", version=reply.version)

    def _log_freshness_change(self) -> None:
        is_fresh = self.fresh_left_s() > 0
        if is_fresh != self._is_fresh:
            self._is_fresh = is_fresh
            eliot.log_message(
                "table:fresh" if is_fresh else "table:stale",
                version=self.version,
                leader=self._leader.leader_host,
            )

    async def _on_notice(self, sender: str, notice: TableNotice) -> None:
        is_new_leader = self._leader.set_leader(sender)
        is_news = (
            notice.version > self.version
            or notice.evacuations_index > self.evacuations.index
        )
        if is_new_leader or is_news:
            self._wake.set()
