"""Snapshots: log compaction, and transfer to members that are far behind."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from almondfield_control.consensus.log import ReplicatedLog
from almondfield_control.consensus.messages import SnapshotChunk, SnapshotReply
from almondfield_control.errors import StorageError
from almondfield_control.state import ControlState, decode_image, encode_image

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica

__all__ = ["CHUNK_BYTES", "Snapshot", "SnapshotReceiver", "SnapshotStore"]

CHUNK_BYTES = 256 * 1024
MIN_COMPACT_BYTES = 256 * 1024
COMPACT_RATIO = 2
TRAILING_ENTRIES = 256


@dataclass(frozen=True)
class Snapshot:
    """The state after a log entry.

    :ivar index: last entry that it covers.
    :ivar term: term of that entry.
    :ivar data: the encoded state.
    """

    index: int = 0
    term: int = 0
    data: bytes = b""

    @property
    def checksum(self) -> int:
        """Return the xxHash of the data."""
        return xxhash.xxh64_intdigest(self.data)


class SnapshotStore:
    """Compacts the log once the applied entries exceed a multiple of the last snapshot.

    :param replica: the member whose log is compacted.

    :ivar latest: the newest snapshot; index 0 for none.
    :ivar lock: held from the decision to write a snapshot until the log follows it.
    """

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica
        self._applied_bytes = 0
        self._is_compacting = False
        self.latest = Snapshot()
        self.lock = asyncio.Lock()

    def record_applied(self, body: bytes) -> None:
        """Count an applied entry; compact in the background once the limit is reached.

        :param body: encoded command of the entry.
        """
        self._applied_bytes += len(body)
        limit = max(MIN_COMPACT_BYTES, COMPACT_RATIO * len(self.latest.data))
        if self._applied_bytes >= limit and not self._is_compacting:
            self._is_compacting = True
            self._replica.spawn(self._compact())

    async def _compact(self) -> None:
        replica = self._replica
        self._applied_bytes = 0
        index = replica.commit_index
        term = replica.log.term_at(index)
        try:
            data = await encode_image(replica.state.image())
            async with self.lock:
                await self._replace_by(Snapshot(index, term, data))
        except StorageError:
            return
        finally:
            self._is_compacting = False

    async def _replace_by(self, snapshot: Snapshot) -> None:
        if self.latest.index >= snapshot.index:
            # A snapshot from the leader has replaced this state in the meantime.
            return
        replica = self._replica
        entries = replica.log.entries_after(snapshot.index)
        last_index = replica.log.last_index
        await replica.journal.compact(
            replica.hard_state, snapshot.index, snapshot.term, snapshot.data, entries
        )
        if entries:
            replica.mark_durable(last_index, entries[-1].term)
        self.latest = snapshot
        replica.log.compact_to(
            replica.log.retained_from(
                snapshot.index, TRAILING_ENTRIES, replica.limits.retained_bytes
            )
        )


@dataclass(frozen=True)
class _PartialSnapshot:
    """A snapshot that has been received in part.

    :ivar key: index, term, size and checksum of the whole.
    :ivar data: bytes received so far.
    """

    key: tuple[int, int, int, int]
    data: bytearray = field(default_factory=bytearray)


class SnapshotReceiver:
    """Assembles snapshot chunks and installs the snapshot; transfers can resume.

    :param replica: the member that receives.

    :ivar installing: whether a complete snapshot is being written.
    """

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica
        self._partial: _PartialSnapshot | None = None
        self.installing = False

    async def receive(self, chunk: SnapshotChunk) -> SnapshotReply:
        """Return the reply, with the offset at which the leader continues.

        :param chunk: a chunk of the leader's snapshot.
        """
        replica = self._replica
        term = replica.hard_state.term
        if chunk.last_index <= replica.commit_index:
            return await self._confirm(chunk)
        if self.installing:
            return SnapshotReply(term, 0)
        key = (chunk.last_index, chunk.last_term, chunk.total, chunk.checksum)
        if self._partial is None or self._partial.key != key:
            self._partial = _PartialSnapshot(key)
        received = self._partial.data
        if chunk.offset == len(received):
            received.extend(chunk.data)
        if len(received) < chunk.total:
            return SnapshotReply(term, len(received))
        snapshot = Snapshot(chunk.last_index, chunk.last_term, bytes(received))
        self._partial = None
        if snapshot.checksum != chunk.checksum:
            return SnapshotReply(term, 0)
        installed = await self._install(snapshot)
        return SnapshotReply(term, chunk.total if installed else 0, installed)

    async def _confirm(self, chunk: SnapshotChunk) -> SnapshotReply:
        """Return the reply to a snapshot whose entries this member has applied.

        After a start on a disk that fails, they may not be synced yet.
        """
        replica = self._replica
        if chunk.last_index > replica.durable_index:
            try:
                await replica.journal.write()
            except StorageError:
                return SnapshotReply(replica.hard_state.term, 0)
        return SnapshotReply(replica.hard_state.term, chunk.total, installed=True)

    async def _install(self, snapshot: Snapshot) -> bool:
        self.installing = True
        try:
            state = ControlState.restore(await decode_image(snapshot.data))
            async with self._replica.snapshots.lock:
                await self._replace_by(snapshot, state)
        except StorageError:
            return False
        finally:
            self.installing = False
        return True

    async def _replace_by(self, snapshot: Snapshot, state: ControlState) -> None:
        replica = self._replica
        if snapshot.index <= replica.commit_index:
            return
        holds_entry = replica.log.term_at(snapshot.index) == snapshot.term
        entries = replica.log.entries_after(snapshot.index) if holds_entry else ()
        await replica.journal.compact(
            replica.hard_state, snapshot.index, snapshot.term, snapshot.data, entries
        )
        if snapshot.index <= replica.commit_index:
            # Entries of the own log were committed meanwhile; the state is newer.
            replica.snapshots.latest = snapshot
            return
        durable_index = snapshot.index + len(entries)
        if holds_entry:
            # A member that was elected meanwhile has appended entries.
            entries = replica.log.entries_after(snapshot.index)
        log = ReplicatedLog(snapshot.index, snapshot.term, state.members)
        log.append(entries)
        replica.install(snapshot, state, log, durable_index)
