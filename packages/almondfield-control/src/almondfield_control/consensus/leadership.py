"""Replication, commits and the lease of a leader during its term."""

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from almondfield_control.commands import (
    Command,
    LogEntry,
    Member,
    MembershipChange,
    NoOperation,
    entry_of,
)
from almondfield_control.consensus.membership import Membership
from almondfield_control.consensus.messages import (
    AppendReply,
    AppendRequest,
    HandOver,
    SnapshotChunk,
    SnapshotReply,
)
from almondfield_control.consensus.progress import Progress
from almondfield_control.consensus.snapshot_transfer import (
    MAX_APPEND_BYTES,
    SnapshotTransfer,
)
from almondfield_core.clock import PeriodicTimer, now
from almondfield_core.messages import ControlUnavailable

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica

__all__ = ["HEARTBEATS_PER_ELECTION", "Leadership"]

HEARTBEATS_PER_ELECTION = 4
MAX_ENTRIES_PER_APPEND = 256
MAX_UNCOMMITTED_ENTRIES = 4096
REPLY_ITERATIONS = 6  # of the loop, from a readable socket to the task of a reply
LEASE_ENDED = "no quorum answered within its lease"


class Leadership:
    """Replication, commits and the lease of one leader in one term.

    :param replica: the member that leads.
    :param requested_at_by_voter: when each vote was requested, on the loop's clock,
        by identity.
    """

    def __init__(
        self, replica: "Replica", requested_at_by_voter: dict[str, float]
    ) -> None:
        self.term = replica.hard_state.term
        self.started_at = now()
        self.progress_by_voter: dict[str, Progress] = {}
        self._replica = replica
        self._requested_at_by_voter = requested_at_by_voter
        self._waiter_by_index: dict[int, asyncio.Future[object]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._handing_over = False
        self._transfer = SnapshotTransfer(replica, self)
        self.membership = Membership(replica, self)

    def start(self) -> None:
        """Append the first entry of the term and start the background tasks."""
        self._replica.on_apply.append(self._on_apply)
        self._append(NoOperation())
        self._reconcile_members()
        self._tasks = [
            asyncio.create_task(self._watch_lease()),
            asyncio.create_task(self.membership.run()),
        ]

    def stop(self) -> None:
        """Cancel the background tasks and fail the pending proposals."""
        self._replica.on_apply.remove(self._on_apply)
        tasks = [task for p in self.progress_by_voter.values() for task in p.tasks]
        for task in [*self._tasks, *tasks]:
            if task is not asyncio.current_task():
                task.cancel()
        for waiter in self._waiter_by_index.values():
            if not waiter.done():
                waiter.set_result(Err(ControlUnavailable("the leader stepped down")))
        self._waiter_by_index.clear()

    def quorum_age_s(self) -> float:
        """Return how long ago the newest request that a quorum answered was sent.

        The value is in seconds.
        """
        return now() - self._quorum_seen_at()

    def lease_end(self) -> float:
        """Return the time before which no other leader can have been elected."""
        timing = self._replica.timing
        return self._quorum_seen_at() + timing.election_s * (
            1 - 2 * timing.drift_margin
        )

    def _quorum_seen_at(self) -> float:
        replica = self._replica
        seen_at = [
            now()
            if member.voter_id == replica.voter_id
            else self._last_seen_at(member.voter_id)
            for member in replica.log.members
            if member.votes
        ]
        return sorted(seen_at, reverse=True)[replica.quorum - 1]

    def has_lease(self) -> bool:
        """Return whether the leader's lease is valid now."""
        return now() < self.lease_end()

    @property
    def has_committed(self) -> bool:
        """Return whether an entry of this term is committed."""
        replica = self._replica
        return replica.log.term_at(replica.commit_index) == self.term

    async def propose(self, command: Command) -> Result[object, ControlUnavailable]:
        """Return the outcome of a command once it is committed and applied.

        :param command: the command.
        """
        match self.append_command(command):
            case Ok(waiter):
                return await waiter
            case refused:
                return refused

    def append_command(
        self, command: Command
    ) -> Result[asyncio.Future[object], ControlUnavailable]:
        """Append a command to the log at once, and return a future of its outcome.

        :param command: the command.
        """
        replica = self._replica
        reason = self._refusal_reason(command)
        if reason:
            return Err(ControlUnavailable(reason, certainly_not_done=True))
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_index[replica.log.last_index + 1] = waiter
        self._append(command)
        return Ok(waiter)

    async def transfer_leadership(self, timeout_s: float) -> None:
        """Transfer leadership to the most advanced voter; step down in any case.

        :param timeout_s: seconds to wait until that voter holds the whole log.
        """
        replica = self._replica
        self._handing_over = True
        successor = self._most_advanced_voter()
        try:
            async with asyncio.timeout(timeout_s):
                while successor and successor.match_index < replica.log.last_index:
                    await asyncio.sleep(replica.timing.election_s / 20)
                    successor = self._most_advanced_voter()
        except TimeoutError:
            successor = None
        if replica.leadership is not self:
            return
        replica.step_down("it hands over")
        if successor:
            cluster_id = replica.hard_state.cluster_id
            message = HandOver(cluster_id, successor.member.voter_id, self.term)
            replica.peers.send(successor.member.host, message)

    def _has_healthy_voter(self) -> bool:
        """Return whether a responsive voter can write to its disk."""
        seen_since = now() - self._replica.timing.election_s
        return any(
            p.member.votes and not p.disk_fails and p.last_seen_at > seen_since
            for p in self.progress_by_voter.values()
        )

    def _most_advanced_voter(self) -> Progress | None:
        voters = [p for p in self.progress_by_voter.values() if p.member.votes]
        voters = [p for p in voters if not p.disk_fails] or voters
        return max(voters, key=lambda p: (p.match_index, p.last_seen_at), default=None)

    def _refusal_reason(self, command: Command) -> str:
        replica = self._replica
        if self._handing_over:
            return "the leader is handing over"
        if isinstance(command, MembershipChange) and not self.membership.may_change():
            # Quorums of memberships that differ by two voters may not overlap.
            return "another membership change is under way"
        if replica.journal.failure is not None:
            return f"the leader cannot write: {replica.journal.failure}"
        first, last = replica.commit_index, replica.log.last_index
        uncommitted_bytes = replica.log.bytes_between(first, last)
        if uncommitted_bytes >= replica.limits.uncommitted_bytes:
            return f"{uncommitted_bytes} bytes of uncommitted entries"
        if last - first >= MAX_UNCOMMITTED_ENTRIES:
            return "too many uncommitted entries"
        return ""

    def _append(self, command: Command) -> None:
        replica = self._replica
        index = replica.log.last_index + 1
        unix_s = replica.wall_clock.unix_s()
        entry = entry_of(index, self.term, unix_s, command)
        replica.append(entry)
        if isinstance(command, MembershipChange):
            self._reconcile_members()
        self._wake_replication()

    def _wake_replication(self) -> None:
        for progress in self.progress_by_voter.values():
            progress.wake.set()

    def _last_seen_at(self, voter_id: str) -> float:
        progress = self.progress_by_voter.get(voter_id)
        return progress.last_seen_at if progress else float("-inf")

    def _reconcile_members(self) -> None:
        replica = self._replica
        if replica.leadership is not self:
            return
        member_by_voter = {m.voter_id: m for m in replica.log.members}
        member_by_voter.pop(replica.voter_id, None)
        for voter_id in [v for v in self.progress_by_voter if v not in member_by_voter]:
            for task in self.progress_by_voter.pop(voter_id).tasks:
                task.cancel()
        for voter_id, member in member_by_voter.items():
            progress = self.progress_by_voter.get(voter_id)
            if progress is None:
                self._start_replication(member)
            else:
                progress.member = member

    def _start_replication(self, member: Member) -> None:
        replica = self._replica
        last_seen_at = self._requested_at_by_voter.get(member.voter_id, float("-inf"))
        known_at = replica.silence_report.seen_at(member.voter_id, default=now())
        # The last entry is of this term: replicating it detects where logs diverge.
        next_index = replica.log.last_index
        progress = Progress(member, next_index, last_seen_at, known_at)
        self.progress_by_voter[member.voter_id] = progress
        progress.tasks = [
            asyncio.create_task(self._replicate(progress)),
            asyncio.create_task(self._send_heartbeats(progress)),
        ]

    async def _replicate(self, progress: Progress) -> None:
        replica = self._replica
        while replica.leadership is self:
            if progress.next_index > replica.log.last_index:
                progress.wake.clear()
                await progress.wake.wait()
                continue
            if self._transfer.is_due(progress):
                if progress.disk_fails:
                    # It couldn't keep the snapshot; heartbeats tell when it can.
                    await asyncio.sleep(self.heartbeat_s)
                else:
                    await self._transfer.send(progress)
                continue
            previous = progress.next_index - 1
            entries = replica.log.next_entries(
                previous, MAX_ENTRIES_PER_APPEND, MAX_APPEND_BYTES
            )
            reply = await self._send_entries(progress, previous, entries)
            if reply is None or reply.stalled:
                await asyncio.sleep(self.heartbeat_s)

    async def _send_heartbeats(self, progress: Progress) -> None:
        timer = PeriodicTimer(self._replica.peers.host, self.heartbeat_s)
        while self._replica.leadership is self:
            previous = max(progress.match_index, self._replica.log.base_index)
            self._replica.spawn(self._send_entries(progress, previous, ()))
            await timer.wait()

    def _silent_s_by_voter(self) -> dict[str, float]:
        limit_s = self._replica.timing.election_s
        silent_s_by_voter = {
            voter_id: now() - progress.silent_since
            for voter_id, progress in self.progress_by_voter.items()
            if progress.member.votes
        }
        return {v: s for v, s in silent_s_by_voter.items() if s > limit_s}

    @property
    def heartbeat_s(self) -> float:
        """Return the interval of heartbeats in seconds."""
        return self._replica.timing.election_s / HEARTBEATS_PER_ELECTION

    async def _send_entries(
        self, progress: Progress, previous: int, entries: tuple[LogEntry, ...]
    ) -> AppendReply | None:
        replica = self._replica
        request = AppendRequest(
            cluster_id=replica.hard_state.cluster_id,
            to_voter=progress.member.voter_id,
            term=self.term,
            previous_index=previous,
            previous_term=replica.log.term_at(previous),
            commit_index=replica.commit_index,
            entries=entries,
            silent_s_by_voter=self._silent_s_by_voter(),
        )
        reply = await self.request(progress, request)
        if reply is not None:
            self._on_reply(progress, reply)
        return reply

    async def request(
        self, progress: Progress, request: AppendRequest | SnapshotChunk
    ) -> AppendReply | SnapshotReply | None:
        """Return a member's reply; None if it doesn't come or this term has ended.

        :param progress: progress of the member.
        :param request: entries or a part of a snapshot.
        """
        replica = self._replica
        sent_at = now()
        timeout_s = replica.timing.election_s
        reply_result = await replica.peers.request(
            progress.member.host, request, timeout_s
        )
        if replica.leadership is not self or not isinstance(reply_result, Ok):
            return None
        reply = reply_result.ok_value
        if reply.term > self.term:
            replica.adopt_term(reply.term)
            return None
        progress.last_seen_at = max(progress.last_seen_at, sent_at)
        return reply

    def _on_reply(self, progress: Progress, reply: AppendReply) -> None:
        progress.disk_fails = reply.disk_fails
        if not reply.matched:
            progress.next_index = max(progress.match_index, reply.match_index) + 1
            progress.wake.set()
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self.advance_commit_index()

    def advance_commit_index(self) -> None:
        """Commit the entries that a quorum holds durably."""
        replica = self._replica
        matched = sorted(
            (self._match_index(m) for m in replica.log.members if m.votes),
            reverse=True,
        )
        index = matched[replica.quorum - 1]
        if index <= replica.commit_index or replica.log.term_at(index) != self.term:
            return
        if not self.has_lease():
            replica.step_down(LEASE_ENDED)
            return
        replica.commit(index)

    def _match_index(self, member: Member) -> int:
        if member.voter_id == self._replica.voter_id:
            return self._replica.durable_index
        progress = self.progress_by_voter.get(member.voter_id)
        return progress.match_index if progress else 0

    def _on_apply(self, entry: LogEntry, outcome: object) -> None:
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(Ok(outcome))

    async def _watch_lease(self) -> None:
        while await self._renews_lease():
            if self._replica.journal.failure is not None and self._has_healthy_voter():
                await self.transfer_leadership(self._replica.timing.election_s)
                return
            await asyncio.sleep(max(0.001, self.lease_end() - now()))
        self._replica.step_down(LEASE_ENDED)

    async def _renews_lease(self) -> bool:
        """Return whether the lease is valid once the replies that came are counted.

        A busy loop runs the timer of the lease before the tasks whose replies had come.
        """
        for _ in range(REPLY_ITERATIONS):
            if self.has_lease():
                return True
            await asyncio.sleep(0)
        return self.has_lease()
