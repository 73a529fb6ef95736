"""Content of a data folder: journal files, snapshot files and their frames."""

from dataclasses import dataclass

import msgspec

from almondfield_control.commands import LogEntry, Member
from almondfield_control.errors import DamageError
from almondfield_control.storage.records import encode_frame, read_frames
from almondfield_core.findings import Finding

__all__ = [
    "INITIAL_FRAMES",
    "JOURNAL_PREFIX",
    "SNAPSHOT_PREFIX",
    "HardState",
    "JournalContent",
    "JournalHeader",
    "Recovered",
    "WriteBatch",
    "decode_journal",
    "decode_snapshot",
    "encode_initial_journal",
    "is_journal",
    "journal_name",
    "pack_frame",
    "snapshot_name",
    "unreadable_file",
]

JOURNAL_PREFIX = "journal-"
SNAPSHOT_PREFIX = "snapshot-"
INITIAL_FRAMES = 2
_SEQUENCE_DIGITS = 16


@dataclass(frozen=True)
class HardState:
    """State that a voter must keep durably besides its log.

    :ivar voter_id: random number of this data folder, in hexadecimal.
    :ivar cluster_id: group that the voter belongs to; empty before it joins one.
    :ivar formed: whether the voter has confirmation that the group exists.
    :ivar members: first members of the group, as they were agreed.
    :ivar term: newest term that the voter has seen.
    :ivar voted_for: voter that it voted for in that term; empty for none.
    :ivar may_form_with: configured voters with which this folder's host may form a
        group, as the settings of its first start allow; empty if they don't.
    """

    voter_id: str
    cluster_id: str = ""
    formed: bool = False
    members: tuple[Member, ...] = ()
    term: int = 0
    voted_for: str = ""
    may_form_with: tuple[str, ...] = ()


@dataclass(frozen=True)
class WriteBatch:
    """One synced write: a new hard state, a log truncation, entries to append.

    :ivar hard: the hard state from now on; None if unchanged.
    :ivar cut_after: entries after this index are dropped first; None to drop none.
    :ivar entries: entries to append.
    """

    hard: HardState | None = None
    cut_after: int | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class JournalHeader:
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
    :ivar snapshot_file: name of the snapshot's file; empty without one.
    :ivar synced_index: last entry that is surely synced; 0 for none.
    :ivar is_synced: whether all of it is surely synced, the hard state too.
    """

    hard: HardState | None = None
    base_index: int = 0
    base_term: int = 0
    snapshot: bytes = b""
    entries: tuple[LogEntry, ...] = ()
    snapshot_file: str = ""
    synced_index: int = 0
    is_synced: bool = False


@dataclass(frozen=True)
class JournalContent:
    """Complete frames of a journal file.

    :ivar header: the first frame.
    :ivar hard_state: the newest hard state.
    :ivar entries: entries after the snapshot.
    :ivar last_frame_at: offset in bytes of the last frame.
    :ivar size: end of that frame in bytes; a torn write may follow.
    :ivar synced_index: last entry that was synced before the last frame was written; 0
        for none. The first two frames are written together.
    """

    header: JournalHeader
    hard_state: HardState
    entries: tuple[LogEntry, ...]
    last_frame_at: int
    size: int
    synced_index: int


def journal_name(sequence: int) -> str:
    """Return the name of a journal file.

    :param sequence: its number; the newest journal has the highest.
    """
    return f"{JOURNAL_PREFIX}{sequence:0{_SEQUENCE_DIGITS}d}"


def snapshot_name(index: int) -> str:
    """Return the name of a snapshot file.

    :param index: last entry that the snapshot covers.
    """
    return f"{SNAPSHOT_PREFIX}{index:0{_SEQUENCE_DIGITS}d}"


def is_journal(name: str) -> bool:
    """Return whether a file is a journal.

    :param name: name of the file.
    """
    sequence = name.removeprefix(JOURNAL_PREFIX)
    return sequence != name and sequence.isdigit()


def pack_frame(item: object) -> bytes:
    """Return a frame that holds an item.

    :param item: the item.
    """
    return encode_frame(msgspec.msgpack.encode(item))


def encode_initial_journal(hard_state: HardState) -> tuple[str, bytes]:
    """Return the name and content of a journal with a hard state and no entries.

    :param hard_state: the hard state.
    """
    header = pack_frame(JournalHeader("", 0, 0))
    return journal_name(1), header + pack_frame((WriteBatch(hard_state),))


def decode_journal(name: str, data: bytes) -> JournalContent:
    """Return the content of a journal up to its last complete frame.

    :param name: name of the file, for findings.
    :param data: content of the file.
    :raises DamageError: if a record is damaged.
    """
    hard_state: HardState | None = None
    header: JournalHeader | None = None
    entries: list[LogEntry] = []
    last_frame_at = size = synced = 0
    frames = list(read_frames(name, data))
    for frame in frames:
        last_frame_at, size, synced = size, frame.end, len(entries)
        if header is None:
            header = msgspec.msgpack.decode(frame.body, type=JournalHeader)
            continue
        for batch in msgspec.msgpack.decode(frame.body, type=tuple[WriteBatch, ...]):
            hard_state = batch.hard or hard_state
            if batch.cut_after is not None:
                del entries[max(0, batch.cut_after - header.base_index) :]
                synced = min(synced, len(entries))
            entries.extend(batch.entries)
    if header is None or hard_state is None:
        raise DamageError((unreadable_file(name),))
    synced_index = header.base_index + synced if len(frames) > INITIAL_FRAMES else 0
    return JournalContent(
        header, hard_state, tuple(entries), last_frame_at, size, synced_index
    )


def decode_snapshot(name: str, data: bytes) -> bytes:
    """Return the snapshot that a file holds.

    :param name: name of the file, for findings.
    :param data: content of the file.
    :raises DamageError: if the file isn't complete.
    """
    frames = list(read_frames(name, data))
    if len(frames) != 1:
        raise DamageError((unreadable_file(name),))
    return frames[0].body


def unreadable_file(name: str) -> Finding:
    """Return the finding on a file that is missing or isn't complete.

    :param name: name of the file.
    """
    return Finding(
        place=f"{name}: offset 0",
        problem="the file cannot be read completely",
        allowed=(
            "empty the data folder; the host then rejoins as a new voter "
            "once the others admit it"
        ),
    )
