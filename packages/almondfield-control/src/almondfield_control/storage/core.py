"""Journal of one voter: hard state, log entries and snapshots."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Protocol

import eliot
import msgspec

from almondfield_control.commands import LogEntry, Member
from almondfield_control.errors import DamageError, StorageError
from almondfield_control.storage.records import encode_frame, read_frames
from almondfield_core.findings import Finding

__all__ = [
    "RETRY_INTERVAL_S",
    "Disk",
    "HardState",
    "Journal",
    "Recovered",
    "encode_initial_journal",
]

_JOURNAL_PREFIX = "journal-"
_SNAPSHOT_PREFIX = "snapshot-"
_SEQUENCE_DIGITS = 16
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

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: write a temporary file, sync, rename, sync."""

    async def remove(self, name: str) -> None:
        """Remove a file if it is there, and sync the folder."""

    def close(self) -> None:
        """Release the lock on the folder."""


@dataclass(frozen=True)
class HardState:
    """State that a voter must keep durably besides its log.

    :ivar voter_id: random number of this data folder, in hexadecimal.
    :ivar cluster_id: group that the voter belongs to; empty before it joins one.
    :ivar formed: whether the voter has confirmation that the group exists.
    :ivar members: first members of the group, as they were agreed.
    :ivar term: newest term that the voter has seen.
    :ivar voted_for: voter that it voted for in that term; empty for none.
    """

    voter_id: str
    cluster_id: str = ""
    formed: bool = False
    members: tuple[Member, ...] = ()
    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True)
class _WriteBatch:
    """One synced write: a new hard state, a log truncation, entries to append.

    :ivar hard: the hard state from now on; None if unchanged.
    :ivar cut_after: entries after this index are dropped first; None to drop none.
    :ivar entries: entries to append.
    """

    hard: HardState | None = None
    cut_after: int | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class _JournalHeader:
    """First frame of a journal file.

    :ivar snapshot: name of the snapshot that the entries follow; empty for none.
    :ivar base_index: last entry that the snapshot covers.
    :ivar base_term: term of that entry.
    """

    snapshot: str
    base_index: int
    base_term: int


@dataclass(frozen=True)
class Recovered:
    """Content of a data folder at startup.

    :ivar hard: the hard state; None for an empty folder.
    :ivar base_index: last entry that the snapshot covers; 0 without one.
    :ivar base_term: term of that entry.
    :ivar snapshot: the snapshot; empty without one.
    :ivar entries: entries after it.
    """

    hard: HardState | None = None
    base_index: int = 0
    base_term: int = 0
    snapshot: bytes = b""
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class _PendingWrites:
    """Writes that wait for the next sync, in the order of their numbers.

    :ivar batch_by_number: the writes.
    :ivar waiters: futures of those that have not failed yet.
    """

    batch_by_number: dict[int, _WriteBatch] = field(default_factory=dict)
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
        """Return the content of the folder, truncated to the last complete write.

        :raises DamageError: if a record is damaged.
        """
        names = await self._disk.names()
        journals = sorted(name for name in names if _is_journal(name))
        if not journals:
            return Recovered()
        self._name = journals[-1]
        recovered = await self._read_journal(self._name)
        await self._remove_others(names)
        return recovered

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
        batch = _WriteBatch(hard_state, cut_after, entries)
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
        snapshot_name = ""
        if base_index:
            snapshot_name = f"{_SNAPSHOT_PREFIX}{base_index:0{_SEQUENCE_DIGITS}d}"
            await self._disk.replace(snapshot_name, encode_frame(snapshot))
        sequence = int(self._name.removeprefix(_JOURNAL_PREFIX) or 0) + 1
        name = f"{_JOURNAL_PREFIX}{sequence:0{_SEQUENCE_DIGITS}d}"
        header = _JournalHeader(snapshot_name, base_index, base_term)
        data = _pack_frame(header) + _pack_frame(
            (_WriteBatch(hard_state, None, entries),)
        )
        self._given_up_name = name
        await self._disk.replace(name, data)
        self._given_up_name = ""
        self._name = name
        self._size = len(data)
        self._failure = None
        # The new journal is in force: a failure from here on must not repeat writes.
        try:
            await self._remove_others(await self._disk.names())
        except OSError as error:
            # The next snapshot, or the next start, removes them.
            eliot.log_message("control:old-files-stay", reason=str(error))

    async def _write(self, pending: _PendingWrites) -> None:
        if not pending.batch_by_number and self._failure is None:
            return
        data = _pack_frame(tuple(pending.batch_by_number.values()))
        try:
            if self._given_up_name:
                await self._disk.remove(self._given_up_name)
                self._given_up_name = ""
            if self._failure is not None:
                await self._disk.truncate(self._name, self._size)
            await self._disk.append(self._name, data)
        except OSError as error:
            _resolve_waiters(pending.waiters, self._record_failure(error))
            self._put_back(pending)
            return
        self._size += len(data)
        self._failure = None
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

    async def _read_journal(self, name: str) -> Recovered:
        data = await self._disk.read(name)
        hard_state: HardState | None = None
        header: _JournalHeader | None = None
        entries: list[LogEntry] = []
        for frame in read_frames(name, data):
            self._size = frame.end
            if header is None:
                header = msgspec.msgpack.decode(frame.body, type=_JournalHeader)
                continue
            for batch in _decode_batches(frame.body):
                hard_state = batch.hard or hard_state
                if batch.cut_after is not None:
                    del entries[max(0, batch.cut_after - header.base_index) :]
                entries.extend(batch.entries)
        if header is None or hard_state is None:
            raise DamageError((_unreadable_file(name),))
        if self._size < len(data):
            await self._disk.truncate(name, self._size)
        snapshot = await self._read_snapshot(header.snapshot)
        return Recovered(
            hard_state, header.base_index, header.base_term, snapshot, tuple(entries)
        )

    async def _read_snapshot(self, name: str) -> bytes:
        if not name:
            return b""
        if name not in await self._disk.names():
            raise DamageError((_unreadable_file(name),))
        frames = list(read_frames(name, await self._disk.read(name)))
        if len(frames) != 1:
            raise DamageError((_unreadable_file(name),))
        return frames[0].body

    async def _remove_others(self, names: tuple[str, ...]) -> None:
        header = msgspec.msgpack.decode(
            next(read_frames(self._name, await self._disk.read(self._name))).body,
            type=_JournalHeader,
        )
        for name in names:
            is_storage_file = name.startswith((_JOURNAL_PREFIX, _SNAPSHOT_PREFIX))
            if is_storage_file and name not in (self._name, header.snapshot):
                await self._disk.remove(name)


def _is_journal(name: str) -> bool:
    sequence = name.removeprefix(_JOURNAL_PREFIX)
    return sequence != name and sequence.isdigit()


def encode_initial_journal(hard_state: HardState) -> tuple[str, bytes]:
    """Return the name and content of a journal with a hard state and no entries.

    :param hard_state: the hard state.
    """
    name = f"{_JOURNAL_PREFIX}{1:0{_SEQUENCE_DIGITS}d}"
    return name, _pack_frame(_JournalHeader("", 0, 0)) + _pack_frame(
        (_WriteBatch(hard_state),)
    )


def _pack_frame(item: object) -> bytes:
    return encode_frame(msgspec.msgpack.encode(item))


def _decode_batches(body: bytes) -> tuple[_WriteBatch, ...]:
    return msgspec.msgpack.decode(body, type=tuple[_WriteBatch, ...])


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


def _unreadable_file(name: str) -> Finding:
    return Finding(
        place=f"{name}: offset 0",
        problem="the file cannot be read completely",
        allowed=(
            "empty the data folder; the host then rejoins as a new voter "
            "once the others admit it"
        ),
    )
