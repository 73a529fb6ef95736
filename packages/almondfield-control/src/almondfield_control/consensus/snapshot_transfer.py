"""Transfer of a leader's snapshot to members that lack much of its log."""

import asyncio
from typing import TYPE_CHECKING

from almondfield_control.commands import Member
from almondfield_control.consensus.messages import SnapshotChunk
from almondfield_control.consensus.progress import Progress
from almondfield_control.consensus.snapshots import CHUNK_BYTES, Snapshot

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica
    from almondfield_control.consensus.leadership import Leadership

__all__ = ["MAX_APPEND_BYTES", "SnapshotTransfer"]

MAX_APPEND_BYTES = CHUNK_BYTES  # both take the event loop for a few milliseconds


class SnapshotTransfer:
    """Sends snapshots in chunks.

    :param replica: the member that leads.
    :param leadership: leader state of its current term.
    """

    def __init__(self, replica: "Replica", leadership: "Leadership") -> None:
        self._replica = replica
        self._leadership = leadership

    def is_due(self, progress: Progress) -> bool:
        """Return whether a member gets the snapshot before any entries.

        It does if the log no longer holds what it lacks, or if that is larger than the
        snapshot, as with entries that each replace a large table.

        :param progress: progress of the member.
        """
        replica = self._replica
        previous = progress.next_index - 1
        if previous < replica.log.base_index:
            return True
        if progress.disk_fails:
            # Entries take less of its disk at a time.
            return False
        snapshot = replica.snapshots.latest
        lacked_bytes = replica.log.bytes_between(previous, snapshot.index)
        return lacked_bytes > max(len(snapshot.data), MAX_APPEND_BYTES)

    async def send(self, progress: Progress) -> None:
        """Send the newest snapshot until the member holds it or starts anew.

        :param progress: progress of the member.
        """
        leadership = self._leadership
        snapshot = self._replica.snapshots.latest
        checksum = snapshot.checksum
        offset = 0
        while self._replica.leadership is leadership:
            chunk = self._chunk_of(snapshot, checksum, progress.member, offset)
            reply = await leadership.request(progress, chunk)
            if reply is None:
                await asyncio.sleep(leadership.heartbeat_s)
                continue
            if reply.installed:
                progress.match_index = max(progress.match_index, snapshot.index)
                progress.next_index = progress.match_index + 1
                leadership.advance_commit_index()
                return
            if reply.offset <= offset:
                # It can't write at present, or is still writing the snapshot.
                await asyncio.sleep(leadership.heartbeat_s)
            if reply.offset == 0 and offset > 0:
                return
            offset = reply.offset

    def _chunk_of(
        self, snapshot: Snapshot, checksum: int, member: Member, offset: int
    ) -> SnapshotChunk:
        return SnapshotChunk(
            cluster_id=self._replica.hard_state.cluster_id,
            to_voter=member.voter_id,
            term=self._leadership.term,
            last_index=snapshot.index,
            last_term=snapshot.term,
            total=len(snapshot.data),
            checksum=checksum,
            offset=offset,
            data=snapshot.data[offset : offset + CHUNK_BYTES],
        )
