"""What a leader does during its term."""

import asyncio
from typing import TYPE_CHECKING

from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable
from result import Err, Ok, Result

from almondfield_control.commands import (
    Command,
    LogEntry,
    Member,
    MembershipChange,
    NoOperation,
    entry_of,
)
from almondfield_control.consensus.messages import AppendReply, AppendRequest, HandOver

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica

__all__ = ["HEARTBEATS_PER_ELECTION", "Leadership"]

HEARTBEATS_PER_ELECTION = 4
MAX_ENTRIES_PER_APPEND = 256
MAX_UNCOMMITTED_ENTRIES = 4096


class _Progress:
    """How far one member has come.

    :ivar member: the member.
    :ivar match_index: last entry that it holds durably.
    :ivar next_index: first entry to send next.
    :ivar heard_at: when the newest message that it answered was sent.
    :ivar wake: set when there is something to send.
    """

    def __init__(self, member: Member, next_index: int, heard_at: float) -> None:
        self.member = member
        self.match_index = 0
        self.next_index = next_index
        self.heard_at = heard_at
        self.wake = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []


class Leadership:
    """Replication, commits and the lease of one leader in one term.

    :param replica: the member that leads.
    :param heard_at: when the vote of each voter was asked for, by identity.
    """

    def __init__(self, replica: "Replica", heard_at: dict[str, float]) -> None:
        self.term = replica.hard.term
        self.started_at = now()
        self.progress_by_voter: dict[str, _Progress] = {}
        self._replica = replica
        self._first_heard_at = heard_at
        self._waiter_by_index: dict[int, asyncio.Future[object]] = {}
        self._watch: asyncio.Task[None] | None = None
        self._handing_over = False

    def start(self) -> None:
        """Begin the term with an entry of its own."""
        self._replica.on_apply.append(self._on_apply)
        self._reconcile_members()
        self._watch = asyncio.create_task(self._watch_lease())
        self._append(NoOperation())

    def stop(self) -> None:
        """End the term; what waits gets no outcome."""
        self._replica.on_apply.remove(self._on_apply)
        tasks = [task for p in self.progress_by_voter.values() for task in p.tasks]
        for task in [self._watch, *tasks]:
            if task is not asyncio.current_task():
                task.cancel()
        for waiter in self._waiter_by_index.values():
            if not waiter.done():
                waiter.set_result(Err(ControlUnavailable("the leader stepped down")))
        self._waiter_by_index.clear()

    def lease_until(self) -> float:
        """Return until when no other leader can have been elected."""
        replica = self._replica
        heard = [
            now()
            if member.voter_id == replica.voter_id
            else self._heard_at(member.voter_id)
            for member in replica.log.members
            if member.votes
        ]
        confirmed = sorted(heard, reverse=True)[replica.quorum - 1]
        timing = replica.timing
        return confirmed + timing.election_s * (1 - 2 * timing.drift_margin)

    def is_confirmed(self) -> bool:
        """Return whether the leader's lease holds now."""
        return now() < self.lease_until()

    @property
    def has_committed(self) -> bool:
        """Return whether an entry of the own term is committed."""
        replica = self._replica
        return replica.log.term_at(replica.commit_index) == self.term

    async def propose(self, command: Command) -> Result[object, ControlUnavailable]:
        """Return the outcome of a command once it is committed and applied.

        :param command: the command.
        """
        replica = self._replica
        refusal = self._refusal()
        if refusal:
            return Err(ControlUnavailable(refusal, certainly_not_done=True))
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_index[replica.log.last_index + 1] = waiter
        self._append(command)
        return await waiter

    def add_learner(self, learner: Member) -> None:
        """Add a member that replicates but does not vote.

        :param learner: the new member.
        """
        members = self._replica.log.members
        if any(member.voter_id == learner.voter_id for member in members):
            return
        if not self.may_change_members():
            return
        kept = [m for m in members if m.votes or m.host != learner.host]
        self._append(MembershipChange((*kept, learner)))

    def may_change_members(self) -> bool:
        """Return whether the last membership change is committed, in this term."""
        committed = self._replica.log.members_index <= self._replica.commit_index
        return self.has_committed and committed and not self._handing_over

    def change_members(self, members: tuple[Member, ...]) -> None:
        """Append a membership change that differs by one voter at most.

        :param members: all members from then on.
        """
        self._append(MembershipChange(members))

    async def hand_over(self, timeout_s: float) -> None:
        """Give leadership to the voter that is furthest; step down in any case.

        :param timeout_s: seconds to wait for that voter to hold the whole log.
        """
        replica = self._replica
        self._handing_over = True
        target = self._best_voter()
        try:
            async with asyncio.timeout(timeout_s):
                while target and target.match_index < replica.log.last_index:
                    await asyncio.sleep(replica.timing.election_s / 20)
                    target = self._best_voter()
        except TimeoutError:
            target = None
        if replica.leadership is not self:
            return
        replica.step_down()
        if target:
            cluster_id = replica.hard.cluster_id
            message = HandOver(cluster_id, target.member.voter_id, self.term)
            replica.peers.send(target.member.host, message)

    def _best_voter(self) -> _Progress | None:
        voters = [p for p in self.progress_by_voter.values() if p.member.votes]
        return max(voters, key=lambda p: (p.match_index, p.heard_at), default=None)

    def _refusal(self) -> str:
        replica = self._replica
        if self._handing_over:
            return "the leader hands over"
        if replica.journal.failure is not None:
            return f"the leader cannot write: {replica.journal.failure}"
        if replica.log.last_index - replica.commit_index >= MAX_UNCOMMITTED_ENTRIES:
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
        self._wake_all()

    def _wake_all(self) -> None:
        for progress in self.progress_by_voter.values():
            progress.wake.set()

    def _heard_at(self, voter_id: str) -> float:
        progress = self.progress_by_voter.get(voter_id)
        return progress.heard_at if progress else float("-inf")

    def _reconcile_members(self) -> None:
        replica = self._replica
        if replica.leadership is not self:
            return
        wanted = {m.voter_id: m for m in replica.log.members}
        wanted.pop(replica.voter_id, None)
        for voter_id in [v for v in self.progress_by_voter if v not in wanted]:
            for task in self.progress_by_voter.pop(voter_id).tasks:
                task.cancel()
        for voter_id, member in wanted.items():
            progress = self.progress_by_voter.get(voter_id)
            if progress is None:
                self._start_member(member)
            else:
                progress.member = member

    def _start_member(self, member: Member) -> None:
        heard_at = self._first_heard_at.get(member.voter_id, float("-inf"))
        next_index = self._replica.log.last_index + 1
        progress = _Progress(member, next_index, heard_at)
        self.progress_by_voter[member.voter_id] = progress
        progress.tasks = [
            asyncio.create_task(self._replicate(progress)),
            asyncio.create_task(self._beat(progress)),
        ]

    async def _replicate(self, progress: _Progress) -> None:
        replica = self._replica
        while replica.leadership is self:
            if progress.next_index > replica.log.last_index:
                progress.wake.clear()
                await progress.wake.wait()
                continue
            previous = progress.next_index - 1
            entries = replica.log.after(previous, MAX_ENTRIES_PER_APPEND)
            reply = await self._ask(progress, previous, entries)
            if reply is None or reply.stalled:
                await asyncio.sleep(self._beat_s())

    async def _beat(self, progress: _Progress) -> None:
        while self._replica.leadership is self:
            previous = max(progress.match_index, self._replica.log.base_index)
            self._replica.spawn(self._ask(progress, previous, ()))
            await asyncio.sleep(self._beat_s())

    def _beat_s(self) -> float:
        return self._replica.timing.election_s / HEARTBEATS_PER_ELECTION

    async def _ask(
        self, progress: _Progress, previous: int, entries: tuple[LogEntry, ...]
    ) -> AppendReply | None:
        replica = self._replica
        request = AppendRequest(
            cluster_id=replica.hard.cluster_id,
            to_voter=progress.member.voter_id,
            term=self.term,
            previous_index=previous,
            previous_term=replica.log.term_at(previous),
            commit_index=replica.commit_index,
            entries=entries,
        )
        sent_at = now()
        timeout_s = replica.timing.election_s
        answer = await replica.peers.ask(progress.member.host, request, timeout_s)
        if replica.leadership is not self:
            return None
        match answer:
            case Ok(AppendReply() as reply):
                self._on_reply(progress, reply, sent_at)
                return reply
        return None

    def _on_reply(
        self, progress: _Progress, reply: AppendReply, sent_at: float
    ) -> None:
        if not self.is_confirmed():
            self._replica.step_down()
            return
        if reply.term > self.term:
            self._replica.adopt_term(reply.term)
            return
        progress.heard_at = max(progress.heard_at, sent_at)
        if not reply.matched:
            progress.next_index = max(progress.match_index, reply.match_index) + 1
            progress.wake.set()
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self.advance()

    def advance(self) -> None:
        """Commit what a quorum holds durably."""
        replica = self._replica
        matched = sorted(
            (self._match_index(m) for m in replica.log.members if m.votes),
            reverse=True,
        )
        index = matched[replica.quorum - 1]
        if index <= replica.commit_index or replica.log.term_at(index) != self.term:
            return
        if not self.is_confirmed():
            replica.step_down()
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
        while self.is_confirmed():
            await asyncio.sleep(max(0.001, self.lease_until() - now()))
        self._replica.step_down()
