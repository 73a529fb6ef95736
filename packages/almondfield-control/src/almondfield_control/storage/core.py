"""The journal of one voter over the disk port."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

import eliot
import msgspec

from almondfield_control.commands import LogEntry, Member
from almondfield_control.errors import DamageError, StorageError
from almondfield_control.storage.records import encode_frame, read_frames
from almondfield_core.findings import Finding

__all__ = ["Disk", "HardState", "Journal", "Recovered", "first_journal"]

_JOURNAL_PREFIX = "journal-"
_SNAPSHOT_PREFIX = "snapshot-"
_SEQUENCE_DIGITS = 16
RETRY_S = 1.0


class Disk(Protocol):
    """Files of one data folder; what a method wrote is durable once it returns."""

    async def names(self) -> tuple[str, ...]:
        """Return the names of all files."""

    async def read(self, name: str) -> bytes:
        """Return the content of a file."""

    async def append(self, name: str, data: bytes) -> None:
        """Add data to the end of a file, made where it is missing, and sync it.

        :raises OSError: where that failed; part of the data may be there.
        """

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes and sync it."""

    async def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place at once: write beside, sync, rename, sync."""

    async def remove(self, name: str) -> None:
        """Remove a file."""

    def close(self) -> None:
        """Give up the lock of the folder."""


@dataclass(frozen=True)
class HardState:
    """What a voter must never forget besides its log.

    :ivar voter_id: random number of this data folder, in hexadecimal.
    :ivar cluster_id: group that the voter belongs to; empty before it joins one.
    :ivar formed: whether the voter knows that the group exists.
    :ivar members: first members of the group, as they were agreed.
    :ivar term: newest term that the voter has seen.
    :ivar voted_for: voter that it voted for in that term; empty where none.
    """

    voter_id: str
    cluster_id: str = ""
    formed: bool = False
    members: tuple[Member, ...] = ()
    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True)
class _Batch:
    """One synced write: a new hard state, a cut of the log, entries to append.

    :ivar hard: the hard state from now on; None where unchanged.
    :ivar cut_after: entries beyond this index are dropped first; None for no cut.
    :ivar entries: entries to append.
    """

    hard: HardState | None = None
    cut_after: int | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class _Start:
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
    """What a data folder held at the start.

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
class _Pending:
    """Writes that wait for the next sync."""

    batches: list[_Batch] = field(default_factory=list)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)


class Journal:
    """Appends hard state and entries; many writes share one sync.

    :param disk: files of the data folder.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._name = ""
        self._size = 0
        self._pending = _Pending()
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()
        self._failure: Finding | None = None

    @property
    def failure(self) -> Finding | None:
        """Return why the last write failed; None while writes succeed."""
        return self._failure

    async def recover(self) -> Recovered:
        """Return what the folder holds, cut to its last whole write.

        :raises DamageError: where a record is damaged.
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
        """Write what is pending, batch after batch, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            async with self._lock:
                pending, self._pending = self._pending, _Pending()
                await self._write(pending)
            if self._failure is not None:
                await asyncio.sleep(RETRY_S)
                self._wake.set()

    def write(
        self,
        hard: HardState | None = None,
        cut_after: int | None = None,
        entries: tuple[LogEntry, ...] = (),
    ) -> asyncio.Future[None]:
        """Return what is done once the write is durable, in the order of the calls.

        :param hard: the hard state from now on; None where unchanged.
        :param cut_after: entries beyond this index are dropped; None for no cut.
        :param entries: entries to append.
        :returns: a future that raises StorageError where the write failed; it is
            tried again before any later write, so that the order has no gap.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._pending.batches.append(_Batch(hard, cut_after, entries))
        self._pending.waiters.append(waiter)
        self._wake.set()
        return waiter

    async def compact(
        self,
        hard: HardState,
        base_index: int,
        base_term: int,
        snapshot: bytes,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Replace the journal by a snapshot and the entries that follow it.

        Call it with everything written so far reflected in its arguments.

        :param hard: the hard state.
        :param base_index: last entry that the snapshot covers; 0 without one.
        :param base_term: term of that entry.
        :param snapshot: the snapshot; empty without one.
        :param entries: entries after it.
        :raises StorageError: where the write failed.
        """
        pending, self._pending = self._pending, _Pending()
        async with self._lock:
            try:
                await self._replace(hard, base_index, base_term, snapshot, entries)
            except OSError as error:
                failure = self._fail(error)
                self._pending.batches[:0] = pending.batches
                _settle(pending.waiters, failure)
                raise failure from error
        _settle(pending.waiters, None)

    async def _replace(self, hard, base_index, base_term, snapshot, entries) -> None:
        snapshot_name = ""
        if base_index:
            snapshot_name = f"{_SNAPSHOT_PREFIX}{base_index:0{_SEQUENCE_DIGITS}d}"
            await self._disk.replace(snapshot_name, encode_frame(snapshot))
        sequence = int(self._name.removeprefix(_JOURNAL_PREFIX) or 0) + 1
        name = f"{_JOURNAL_PREFIX}{sequence:0{_SEQUENCE_DIGITS}d}"
        start = _Start(snapshot_name, base_index, base_term)
        data = _frame_of(start) + _frame_of((_Batch(hard, None, entries),))
        await self._disk.replace(name, data)
        self._name = name
        self._size = len(data)
        self._failure = None
        await self._remove_others(await self._disk.names())

    async def _write(self, pending: _Pending) -> None:
        if not pending.batches:
            return
        data = _frame_of(tuple(pending.batches))
        try:
            if self._failure is not None:
                await self._disk.truncate(self._name, self._size)
            await self._disk.append(self._name, data)
        except OSError as error:
            _settle(pending.waiters, self._fail(error))
            self._pending.batches[:0] = pending.batches
            return
        self._size += len(data)
        self._failure = None
        _settle(pending.waiters, None)

    def _fail(self, error: OSError) -> StorageError:
        earlier = self._failure
        self._failure = Finding(
            place=f"data folder: {self._name}",
            problem=f"write failed: {error}",
            allowed="a folder with free space on a working disk",
        )
        if earlier != self._failure:
            eliot.log_message("control:write-failed", finding=str(self._failure))
        return StorageError(str(self._failure))

    async def _read_journal(self, name: str) -> Recovered:
        data = await self._disk.read(name)
        hard: HardState | None = None
        start: _Start | None = None
        entries: list[LogEntry] = []
        for frame in read_frames(name, data):
            self._size = frame.end
            if start is None:
                start = msgspec.msgpack.decode(frame.body, type=_Start)
                continue
            for batch in _decode_batches(frame.body):
                hard = batch.hard or hard
                if batch.cut_after is not None:
                    del entries[max(0, batch.cut_after - start.base_index) :]
                entries.extend(batch.entries)
        if start is None or hard is None:
            raise DamageError((_unreadable(name),))
        if self._size < len(data):
            await self._disk.truncate(name, self._size)
        snapshot = await self._read_snapshot(start.snapshot)
        return Recovered(
            hard, start.base_index, start.base_term, snapshot, tuple(entries)
        )

    async def _read_snapshot(self, name: str) -> bytes:
        if not name:
            return b""
        if name not in await self._disk.names():
            raise DamageError((_unreadable(name),))
        frames = list(read_frames(name, await self._disk.read(name)))
        if len(frames) != 1:
            raise DamageError((_unreadable(name),))
        return frames[0].body

    async def _remove_others(self, names: tuple[str, ...]) -> None:
        start = msgspec.msgpack.decode(
            next(read_frames(self._name, await self._disk.read(self._name))).body,
            type=_Start,
        )
        for name in names:
            is_own = name.startswith((_JOURNAL_PREFIX, _SNAPSHOT_PREFIX))
            if is_own and name not in (self._name, start.snapshot):
                await self._disk.remove(name)


def _is_journal(name: str) -> bool:
    sequence = name.removeprefix(_JOURNAL_PREFIX)
    return sequence != name and sequence.isdigit()


def first_journal(hard: HardState) -> tuple[str, bytes]:
    """Return name and content of a journal with a hard state and no entries.

    :param hard: the hard state.
    """
    name = f"{_JOURNAL_PREFIX}{1:0{_SEQUENCE_DIGITS}d}"
    return name, _frame_of(_Start("", 0, 0)) + _frame_of((_Batch(hard),))


def _frame_of(item: object) -> bytes:
    return encode_frame(msgspec.msgpack.encode(item))


def _decode_batches(body: bytes) -> tuple[_Batch, ...]:
    return msgspec.msgpack.decode(body, type=tuple[_Batch, ...])


def _settle(waiters: list[asyncio.Future[None]], error: StorageError | None) -> None:
    for waiter in waiters:
        if waiter.done():
            continue
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)


def _unreadable(name: str) -> Finding:
    return Finding(
        place=f"{name}: offset 0",
        problem="the file cannot be read as a whole",
        allowed=(
            "empty the data folder; the host then rejoins as a new voter "
            "once the others admit it"
        ),
    )
