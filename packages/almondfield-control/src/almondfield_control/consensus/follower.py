"""Handlers of the leader's messages on followers and learners."""

from typing import TYPE_CHECKING

from almondfield_control.commands import LogEntry
from almondfield_control.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from almondfield_control.consensus.roles import Role
from almondfield_control.consensus.silence import SilenceReport
from almondfield_control.consensus.snapshots import SnapshotReceiver
from almondfield_control.errors import StorageError
from almondfield_core.clock import now

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica

__all__ = ["Follower"]


class Follower:
    """Stores entries and snapshots that the leader sends.

    :param replica: the member that follows.
    """

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica
        self._receiver = SnapshotReceiver(replica)

    def register_handlers(self) -> None:
        """Register the handlers of entries and snapshot chunks."""
        self._replica.peers.register_handler(
            AppendRequest, self._on_append, concurrent=True
        )
        self._replica.peers.register_handler(
            SnapshotChunk, self._on_chunk, concurrent=True
        )

    async def _on_append(
        self, sender: str, request: AppendRequest
    ) -> AppendReply | None:
        replica = self._replica
        if not self._is_addressed(sender, request):
            return None
        if request.term < replica.hard_state.term:
            return AppendReply(replica.hard_state.term, False, 0)
        self._follow_leader(sender, request.term)
        replica.silence_report = SilenceReport(
            self._voter_on(sender), now(), request.silent_s_by_voter
        )
        if not self._log_matches(request):
            hint = min(replica.log.last_index, request.previous_index - 1)
            return self._reply(False, hint)
        if self._receiver.installing and request.entries:
            return self._stalled_reply()
        last = request.previous_index + len(request.entries)
        if self._cannot_sync(last) and not request.entries:
            # Waiting for the next write would cost the leader its lease.
            return self._stalled_reply()
        try:
            await self._store_entries(request)
        except StorageError:
            return self._stalled_reply()
        if replica.hard_state.term != request.term:
            return AppendReply(replica.hard_state.term, False, 0)
        replica.commit(min(request.commit_index, last))
        return self._reply(True, last)

    def _is_addressed(
        self, leader_host: str, message: AppendRequest | SnapshotChunk
    ) -> bool:
        """Return whether a leader's message is for this identity of the host."""
        replica = self._replica
        if replica.is_recipient(message.cluster_id, message.to_voter):
            return True
        replica.formation.record_leader(leader_host)
        return False

    def _cannot_sync(self, last: int) -> bool:
        """Return whether the log up to an entry isn't synced and the disk fails."""
        replica = self._replica
        is_synced = (
            last <= replica.durable_index
            and replica.hard_state == replica.synced_hard_state
        )
        return replica.journal.failure is not None and not is_synced

    def _stalled_reply(self) -> AppendReply:
        return self._reply(False, self._replica.durable_index, stalled=True)

    def _reply(
        self, matched: bool, match_index: int, stalled: bool = False
    ) -> AppendReply:
        replica = self._replica
        disk_fails = replica.journal.failure is not None
        term = replica.hard_state.term
        return AppendReply(term, matched, match_index, stalled, disk_fails)

    def _log_matches(self, request: AppendRequest) -> bool:
        replica = self._replica
        if request.previous_index < replica.log.base_index:
            return True
        return replica.log.term_at(request.previous_index) == request.previous_term

    def _follow_leader(self, leader_host: str, term: int) -> None:
        replica = self._replica
        if term > replica.hard_state.term or replica.role is Role.CANDIDATE:
            replica.adopt_term(term)
        replica.leader_host = leader_host
        replica.leader_last_seen_at = now()

    def _voter_on(self, host: str) -> str:
        """Return the identity of the voter on a host; empty if the log has none."""
        members = self._replica.log.members
        voters = (m.voter_id for m in members if m.host == host and m.votes)
        return next(voters, "")

    async def _store_entries(self, request: AppendRequest) -> None:
        replica = self._replica
        entries = self._new_entries(request.entries)
        cut_after = None
        if entries and entries[0].index <= replica.log.last_index:
            cut_after = entries[0].index - 1
            replica.log.truncate_after(cut_after)
            replica.durable_index = min(replica.durable_index, cut_after)
        replica.log.append(entries)
        replica.become_follower_or_learner()
        hard_state = (
            replica.hard_state
            if replica.hard_state != replica.synced_hard_state
            else None
        )
        last = request.previous_index + len(request.entries)
        if not entries and hard_state is None and last <= replica.durable_index:
            return
        await replica.journal.write(
            hard_state=hard_state, cut_after=cut_after, entries=entries
        )
        if hard_state is not None:
            replica.synced_hard_state = hard_state
        if request.entries:
            replica.mark_durable(last, request.entries[-1].term)

    def _new_entries(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        replica = self._replica
        for position, entry in enumerate(entries):
            if entry.index <= replica.log.base_index:
                continue
            if replica.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    async def _on_chunk(
        self, sender: str, chunk: SnapshotChunk
    ) -> SnapshotReply | None:
        replica = self._replica
        if not self._is_addressed(sender, chunk):
            return None
        if chunk.term < replica.hard_state.term:
            return SnapshotReply(replica.hard_state.term, 0)
        self._follow_leader(sender, chunk.term)
        return await self._receiver.receive(chunk)
