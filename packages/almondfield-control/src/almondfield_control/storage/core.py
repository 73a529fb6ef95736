"""Journal of one voter: hard state, log entries and snapshots."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Protocol

import eliot

from almondfield_control.commands import LogEntry
from almondfield_control.errors import DamageError, StorageError
from almondfield_control.storage.layout import (
    JOURNAL_PREFIX,
    SNAPSHOT_PREFIX,
    HardState,
    JournalHeader,
    Recovered,
    WriteBatch,
    decode_journal,
    decode_snapshot,
    is_journal,
    journal_name,
    pack_frame,
    snapshot_name,
    unreadable_file,
)
from almondfield_control.storage.records import encode_frame
from almondfield_core.findings import Finding

__all__ = [
    "RETRY_INTERVAL_S",
    "Disk",
    "Journal",
]

RETRY_INTERVAL_S = 1.0


class Disk(Protocol):
    """Files of one data folder; a write is durable once its method returns."""

    async def names(self) -> tuple[str, ...]:
        """Return the names of all files."""

    async def read(self, name: str) -> bytes:
        """Return the content of a file."""

    async def append(self, name: str, data: bytes) -> None:
        """Append data to a file, created if missing, and sync it.

        :raises OSError: if that failed; the file may hold a part of the data.
        """

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""

    async def rewrite_end(self, name: str, offset: int, data: bytes) -> None:
        """Write the end of a file once more, and sync the file and the folder.

        :param name: name of the file.
        :param offset: where the data begins in the file, in bytes.
        :param data: what the file holds there; what follows is dropped.
        :raises OSError: if that failed; the file may hold a part of what followed.
        """

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: write a temporary file, sync, rename, sync."""

    async def remove(self, name: str) -> None:
        """Remove a file if it is there, and sync the folder."""

    def close(self) -> None:
        """Release the lock on the folder."""


@dataclass(frozen=True)
class _PendingWrites:
    """Writes that wait for the next sync, in the order of their numbers.

    :ivar batch_by_number: the writes.
    :ivar waiters: futures of those that have not failed yet.
    """

    batch_by_number: dict[int, WriteBatch] = field(default_factory=dict)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)


class Journal:
    """Appends hard state and entries; many writes share one sync.

    :param disk: files of the data folder.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._name = ""
        self._size = 0
        # A journal that was given up; it may be on the disk, where a restart reads it.
        self._given_up_name = ""
        # The last frame that an earlier process wrote, until it is surely synced.
        self._unsynced_end = b""
        self._pending = _PendingWrites()
        self._next_number = 0
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()
        self._failure: Finding | None = None

    @property
    def failure(self) -> Finding | None:
        """Return why the last write failed; None while writes succeed."""
        return self._failure

    async def recover(self) -> Recovered:
        """Return the content of the folder, up to the last complete write.

        The end of the journal is made durable, at once or, where the disk fails, before
        the next write.

        :raises DamageError: if a record is damaged.
        :raises StorageError: if the folder can't be read; the call may be repeated.
        """
        self._given_up_name = ""
        try:
            recovered = await self._read_folder()
        except OSError as error:
            raise self._record_failure(error) from error
        if recovered.hard is None:
            return recovered
        try:
            await self._rewrite_end()
        except OSError as error:
            self._record_failure(error)
            self._wake.set()
            return recovered
        self._record_success()
        await self._remove_others(recovered.snapshot_file)
        synced_index = recovered.base_index + len(recovered.entries)
        return replace(recovered, is_synced=True, synced_index=synced_index)

    async def _read_folder(self) -> Recovered:
        names = await self._disk.names()
        journals = sorted(name for name in names if is_journal(name))
        if not journals:
            return Recovered()
        self._name = journals[-1]
        data = await self._disk.read(self._name)
        content = decode_journal(self._name, data)
        snapshot_file = content.header.snapshot
        snapshot = await self._read_snapshot(snapshot_file, names)
        self._size = content.size
        self._unsynced_end = data[content.last_frame_at : content.size]
        return Recovered(
            content.hard_state,
            content.header.base_index,
            content.header.base_term,
            snapshot,
            content.entries,
            snapshot_file=snapshot_file,
            synced_index=content.synced_index,
        )

    async def _rewrite_end(self) -> None:
        """Make durable what an earlier process may have left unsynced.

        That is at most the last frame, as each write follows a sync that succeeded, and
        the names in the folder. A sync alone wouldn't do: after one that failed, the
        system takes the data for written.
        """
        end = self._unsynced_end
        if end:
            await self._disk.rewrite_end(self._name, self._size - len(end), end)
        self._unsynced_end = b""

    async def run(self) -> None:
        """Write the pending batches, retrying after a failure, until cancelled.

        A failure ends with a write that succeeds, if need be one without a batch.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            async with self._lock:
                pending, self._pending = self._pending, _PendingWrites()
                await self._write(pending)
            if self._failure is not None:
                await asyncio.sleep(RETRY_INTERVAL_S)
                self._wake.set()

    def write(
        self,
        hard_state: HardState | None = None,
        cut_after: int | None = None,
        entries: tuple[LogEntry, ...] = (),
    ) -> asyncio.Future[None]:
        """Return a future that completes once the write is durable, in call order.

        :param hard_state: the hard state from now on; None if unchanged.
        :param cut_after: entries after this index are dropped; None to drop none.
        :param entries: entries to append.
        :returns: a future that raises StorageError where the write failed; the write
            is retried before any later one, so that the journal has no gap.
        """
        waiter = asyncio.get_running_loop().create_future()
        batch = WriteBatch(hard_state, cut_after, entries)
        self._pending.batch_by_number[self._next_number] = batch
        self._next_number += 1
        self._pending.waiters.append(waiter)
        self._wake.set()
        return waiter

    async def compact(
        self,
        hard_state: HardState,
        base_index: int,
        base_term: int,
        snapshot: bytes,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Replace the journal by a snapshot and the entries that follow it.

        The arguments must reflect every write made so far.

        :param hard_state: the hard state.
        :param base_index: last entry that the snapshot covers; 0 without one.
        :param base_term: term of that entry.
        :param snapshot: the snapshot; empty without one.
        :param entries: entries after it.
        :raises StorageError: if the write failed.
        """
        pending, self._pending = self._pending, _PendingWrites()
        first_later_number = self._next_number
        async with self._lock:
            try:
                await self._replace(
                    hard_state, base_index, base_term, snapshot, entries
                )
            except OSError as error:
                failure = self._record_failure(error)
                self._put_back(pending)
                self._wake.set()
                _resolve_waiters(pending.waiters, failure)
                raise failure from error
            # A write that was under way may have failed since, and waits to be retried.
            for number in tuple(self._pending.batch_by_number):
                if number < first_later_number:
                    del self._pending.batch_by_number[number]
        _resolve_waiters(pending.waiters, None)

    async def _replace(
        self, hard_state, base_index, base_term, snapshot, entries
    ) -> None:
        snapshot_file = ""
        if base_index:
            snapshot_file = snapshot_name(base_index)
            await self._disk.replace(snapshot_file, encode_frame(snapshot))
        sequence = int(self._name.removeprefix(JOURNAL_PREFIX) or 0) + 1
        name = journal_name(sequence)
        header = JournalHeader(snapshot_file, base_index, base_term)
        data = pack_frame(header) + pack_frame((WriteBatch(hard_state, None, entries),))
        self._given_up_name = name
        await self._disk.replace(name, data)
        self._given_up_name = ""
        self._name = name
        self._size = len(data)
        self._unsynced_end = b""
        self._record_success()
        # The new journal is in force: a failure from here on must not repeat writes.
        await self._remove_others(snapshot_file)

    async def _write(self, pending: _PendingWrites) -> None:
        if not pending.batch_by_number and self._failure is None:
            return
        data = pack_frame(tuple(pending.batch_by_number.values()))
        try:
            if self._given_up_name:
                await self._disk.remove(self._given_up_name)
                self._given_up_name = ""
            if self._unsynced_end:
                await self._rewrite_end()
            elif self._failure is not None:
                await self._disk.truncate(self._name, self._size)
            await self._disk.append(self._name, data)
        except OSError as error:
            _resolve_waiters(pending.waiters, self._record_failure(error))
            self._put_back(pending)
            return
        self._size += len(data)
        self._record_success()
        _resolve_waiters(pending.waiters, None)

    def _put_back(self, failed: _PendingWrites) -> None:
        """Let failed writes be retried, each at its place in the order of the calls."""
        merged = failed.batch_by_number | self._pending.batch_by_number
        batch_by_number = {number: merged[number] for number in sorted(merged)}
        self._pending = replace(self._pending, batch_by_number=batch_by_number)

    def _record_failure(self, error: OSError) -> StorageError:
        previous = self._failure
        self._failure = Finding(
            place=f"data folder: {self._name}",
            problem=f"write failed: {error}",
            allowed="a folder with free space on a working disk",
        )
        if previous != self._failure:
            eliot.log_message("control:write-failed", finding=str(self._failure))
        return StorageError(str(self._failure))

    def _record_success(self) -> None:
        if self._failure is not None:
            eliot.log_message("control:write-succeeds", file=self._name)
        self._failure = None

    async def _read_snapshot(self, name: str, names: tuple[str, ...]) -> bytes:
        if not name:
            return b""
        if name not in names:
            raise DamageError((unreadable_file(name),))
        return decode_snapshot(name, await self._disk.read(name))

    async def _remove_others(self, snapshot: str) -> None:
        """Remove the files that the journal in force doesn't need, if possible."""
        needed = (self._name, snapshot)
        try:
            for name in await self._disk.names():
                is_storage_file = name.startswith((JOURNAL_PREFIX, SNAPSHOT_PREFIX))
                if is_storage_file and name not in needed:
                    await self._disk.remove(name)
        except OSError as error:
            # The next snapshot, or the next start, removes them.
            eliot.log_message("control:old-files-stay", reason=str(error))


def _resolve_waiters(
    waiters: list[asyncio.Future[None]], error: StorageError | None
) -> None:
    for waiter in waiters:
        if waiter.done():
            continue
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)
