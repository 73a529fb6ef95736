"""Requests that the leader handles for the other hosts."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from result import Err, Ok

from almondfield_control.commands import (
    ClaimKey,
    Command,
    FencingIssued,
    LeasePool,
    MarkClaimsLost,
    SettleClaim,
    TableCommand,
)
from almondfield_control.consensus import Replica
from almondfield_control.freshness import (
    HostLeases,
    NotLeader,
    RenewalReply,
    RenewalRequest,
    RevisionNotice,
    TablesDelta,
)
from almondfield_control.node.batches import decode_item, encode_item
from almondfield_control.node.messages import (
    ApplyRequest,
    BatchReply,
    BatchRequest,
    FencingReply,
    FencingRequest,
    HistoryReply,
    HistoryRequest,
    InForceReply,
    InForceRequest,
    SettleReply,
    StatusRequest,
    VoterReply,
    VoterRequest,
)
from almondfield_control.node.rows import always_conflicting
from almondfield_control.node.status import status_of
from almondfield_control.pools import next_pool_lease
from almondfield_control.state import EvacuationRecord, audit_records_of
from almondfield_core.clock import now
from almondfield_core.findings import Finding
from almondfield_core.messages import (
    ChangeAccepted,
    ChangeRefused,
    ControlUnavailable,
    FleetStatus,
    RowChange,
)
from almondfield_core.ports import Peers
from almondfield_core.settings import TimingSettings
from almondfield_core.tables import TableIndex, TableRows, Tables, check_rows

__all__ = ["LeaderService"]

RETRY_INTERVAL_S = 0.1
MAX_CHECK_INTERVAL_S = 1.0
CLAIM_HOST_TIMEOUT_S = 30.0
MAX_INCARNATION = 2**63 - 1
# Checking more rows on the event loop would delay heartbeats and lease renewals.
MAX_ROWS_ON_LOOP = 200


class LeaderService:
    """Handles the requests of other hosts while this host's replica leads.

    :param replica: the member of the control group on this host.
    :param peers: transport to the other hosts.
    :param timing: lifetimes of leases.
    :param hosts: every host of the deployment.
    """

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        timing: TimingSettings,
        hosts: tuple[str, ...],
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._hosts = hosts
        self._leases: HostLeases | None = None
        self._wake = asyncio.Event()
        self._checked_term = -1
        replica.on_elected.append(self._begin_term)
        replica.on_apply.append(self._on_apply)

    def register_handlers(self) -> None:
        """Register the request handlers."""
        for message_type, handler in (
            (RenewalRequest, self._renew),
            (InForceRequest, self._in_force),
            (HistoryRequest, self._history),
            (StatusRequest, self._status),
        ):
            self._peers.register_handler(message_type, self._leader_only(handler))
        for message_type, handler in (
            (ApplyRequest, self._apply),
            (BatchRequest, self._batch),
            (FencingRequest, self._fencing),
            (VoterRequest, self._change_voter),
        ):
            self._peers.register_handler(
                message_type, self._leader_only(handler), concurrent=True
            )

    async def run(self) -> None:
        """Keep every pool leased to a live host while this host leads."""
        while True:
            timeout_s = MAX_CHECK_INTERVAL_S
            self._wake.clear()
            if self._leads():
                self._checked_term = self._replica.hard_state.term
                all_leased = await self._lease_pools()
                await self._mark_claims_lost()
                timeout_s = self._check_interval_s() if all_leased else RETRY_INTERVAL_S
            await self._wait_for_work(timeout_s)

    def _check_interval_s(self) -> float:
        """Return the seconds until the next pool lease may expire."""
        due_s = self._leases.next_pool_expiry_s() - now()
        return min(max(0.0, due_s), MAX_CHECK_INTERVAL_S)

    async def _wait_for_work(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _leads(self) -> bool:
        replica = self._replica
        return replica.is_leader and replica.leadership.has_committed

    def _leader_only(
        self, handler: Callable[[str, Any], Awaitable[object]]
    ) -> Callable[[str, Any], Awaitable[object]]:
        async def answer(sender: str, message: Any) -> object:
            if not self._leads():
                return NotLeader(self._replica.leader_host)
            return await handler(sender, message)

        return answer

    def _begin_term(self) -> None:
        self._leases = HostLeases(self._timing)
        self._wake.set()

    def _on_apply(self, entry: object, outcome: object) -> None:
        replica = self._replica
        leadership = replica.leadership
        if leadership is not None and leadership.term != self._checked_term:
            self._wake.set()
        if not isinstance(outcome, ChangeAccepted | EvacuationRecord):
            return
        self._wake.set()
        if not replica.is_leader:
            return
        notice = RevisionNotice(replica.state.tables.revision)
        for host in self._hosts:
            self._peers.send(host, notice)

    async def _propose(
        self, command: Command, to_reply: Callable[[Any], object]
    ) -> object:
        match await self._replica.propose(command):
            case Ok(outcome):
                return to_reply(outcome)
            case Err(unavailable):
                return unavailable

    async def _renew(self, sender: str, request: RenewalRequest) -> RenewalReply:
        state = self._replica.state
        revision = state.tables.revision
        leases = ()
        if request.leases_index < state.leases_index:
            leases = tuple(state.lease_by_pool.values())
        full_tables, delta = self._updates_since(request.revision)
        schedulers = self._leases.schedulers()
        is_new = self._leases.renew(sender, request, revision)
        if self._leases.schedulers() != schedulers:
            self._wake.set()
        renews_pools = self._leases.renews_pools(sender)
        if is_new and state.claims.has_running(sender, request.incarnation):
            command = MarkClaimsLost(sender, request.incarnation)
            self._replica.spawn(self._replica.propose(command))
        return RenewalReply(
            term=self._replica.hard_state.term,
            freshness_s=self._timing.freshness_lease_s,
            pool_lease_s=self._timing.pool_lease_s if renews_pools else 0.0,
            revision=revision,
            leases_index=state.leases_index,
            pool_leases=leases,
            tables=full_tables,
            delta=delta,
            evacuated=tuple(state.evacuations.in_force),
            evacuations_index=state.evacuations.index,
        )

    def _updates_since(self, revision: int) -> tuple[Tables | None, TablesDelta | None]:
        tables = self._replica.state.tables
        if revision >= tables.revision:
            return None, None
        steps = self._replica.state.rows_since(revision)
        row_count = len(tables.pools) + len(tables.routes)
        if steps is None or 2 * sum(len(rows) for rows in steps) > row_count:
            return tables, None
        return None, TablesDelta(revision, steps)

    async def _apply(self, sender: str, request: ApplyRequest) -> object:
        change: RowChange = request.change
        previous = self._replica.state.first_answer(change.change_id)
        if previous is not None:
            return previous
        revision = self._replica.state.tables.revision
        if change.expect_revision == revision:
            findings = await self._check(change.rows)
            if findings:
                return ChangeRefused(findings)
        elif change.expect_revision < revision:
            change = replace(change, rows=TableRows())
        else:
            # Rows for a later revision cannot be checked yet. The change must always
            # conflict, or a later state could accept unchecked rows.
            change = always_conflicting(change)
        return await self._propose(TableCommand(change), lambda outcome: outcome)

    async def _check(self, rows: TableRows) -> tuple[Finding, ...]:
        """Return the findings on the newest tables after a change of rows."""
        state = self._replica.state
        if len(rows) <= MAX_ROWS_ON_LOOP:
            return check_rows(state.table_index, rows)
        tables = state.tables
        return await asyncio.to_thread(
            lambda: check_rows(TableIndex(tables), rows),
        )

    async def _batch(self, sender: str, request: BatchRequest) -> BatchReply:
        replies = await asyncio.gather(
            *(self._run_item(decode_item(item)) for item in request.items)
        )
        return BatchReply(tuple(encode_item(reply) for reply in replies))

    async def _run_item(self, command: ClaimKey | SettleClaim) -> object:
        match command:
            case ClaimKey():
                return await self._claim(command)
            case SettleClaim():
                return await self._propose(command, SettleReply)

    async def _claim(self, command: ClaimKey) -> object:
        too_many_claims = ControlUnavailable("too many claims", certainly_not_done=True)
        return await self._propose(command, lambda outcome: outcome or too_many_claims)

    async def _fencing(self, sender: str, request: FencingRequest) -> object:
        return await self._propose(FencingIssued(), FencingReply)

    async def _change_voter(self, sender: str, request: VoterRequest) -> VoterReply:
        membership = self._replica.leadership.membership
        change = membership.admit if request.admit else membership.remove
        match await change(request.host):
            case Ok(_):
                return VoterReply(True)
            case Err(reason):
                return VoterReply(False, reason)

    async def _in_force(self, sender: str, request: InForceRequest) -> InForceReply:
        return InForceReply(self._is_in_force(request.revision))

    def _is_in_force(self, revision: int) -> bool:
        accepted = revision <= self._replica.state.tables.revision
        return accepted and self._leases.is_in_force(revision)

    async def _history(self, sender: str, request: HistoryRequest) -> HistoryReply:
        state = self._replica.state
        changes = state.history(request.after_revision, request.limit)
        return HistoryReply(await audit_records_of(changes))

    async def _status(self, sender: str, request: StatusRequest) -> FleetStatus:
        revision = self._replica.state.tables.revision
        return status_of(
            self._replica, self._leases, self._hosts, self._is_in_force(revision)
        )

    async def _lease_pools(self) -> bool:
        """Return whether no pool lease is left that could be granted."""
        state = self._replica.state
        while self._leads():
            command = next_pool_lease(
                state.tables,
                state.lease_by_pool,
                self._leases.schedulers(),
                self._leases.may_schedule,
            )
            if command is None:
                return True
            if not await self._move_pool(command):
                return False
        return False

    async def _mark_claims_lost(self) -> None:
        """Mark running claims of hosts that have been unresponsive as lost."""
        for host in self._hosts:
            if not self._leases.is_unresponsive(host, CLAIM_HOST_TIMEOUT_S):
                continue
            if self._replica.state.claims.has_running(host, MAX_INCARNATION):
                await self._replica.propose(MarkClaimsLost(host, MAX_INCARNATION))

    async def _move_pool(self, command: LeasePool) -> bool:
        previous = self._replica.state.lease_by_pool.get(command.pool)
        previous_host = previous.host if previous else ""
        leases = self._leases
        leases.suspend_pool_renewal(previous_host)
        outcome = await self._replica.propose(command)
        if isinstance(outcome, Err):
            return False
        leases.resume_pool_renewal(previous_host)
        self._notify(command.host)
        return True

    def _notify(self, host: str) -> None:
        self._peers.send(host, RevisionNotice(self._replica.state.tables.revision))
