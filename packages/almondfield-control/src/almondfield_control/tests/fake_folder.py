"""In-memory files below FolderDisk, of which a power loss keeps what was synced."""

import asyncio
import errno
import os
from collections import deque
from dataclasses import dataclass, replace
from types import SimpleNamespace
from unittest import mock

from almondfield_control.storage import folder
from almondfield_core.clock import now

__all__ = ["FakeFolder", "open_folder", "replace_system_calls"]

SYNC_S = 0.004
BLOCK_BYTES = 512
LOST_BLOCK_SHARE = 0.3


class Inode:
    """One file.

    :ivar written: content that a process reads.
    :ivar synced: content that the last sync covered.
    :ivar unsynced: newer content that no sync covered; None if there is none.
    :ivar position: where a descriptor writes, in bytes; None for the end.
    """

    def __init__(self):
        self.written = b""
        self.synced = b""
        self.unsynced = None
        self.position = None


@dataclass(frozen=True)
class Write:
    """New content of a file."""

    inode: Inode
    content: bytes


@dataclass(frozen=True)
class SyncFile:
    """A sync of a file's content."""

    inode: Inode


@dataclass(frozen=True)
class Link:
    """A new name in the folder."""

    name: str
    inode: Inode


@dataclass(frozen=True)
class Rename:
    """A rename in the folder."""

    name: str
    target: str
    inode: Inode


@dataclass(frozen=True)
class Unlink:
    """A removal of a name from the folder."""

    name: str


@dataclass(frozen=True)
class SyncFolder:
    """A sync of the folder's names."""


class FakeFolder:
    """The data folder of one host.

    An operation happens once the syncs before it in the same call have ended, so that
    a power loss may come between any two of them.

    :param rng: decides what remains of data that no sync covered.

    :ivar sync_s: duration of one sync in seconds.
    :ivar inode_by_name: the files that a process sees.
    :ivar call_s: duration of the syncs of the current call in seconds.
    :ivar losses: number of power losses; calls made before one fail.
    :ivar fails_to_sync: whether syncs of files fail; what one should have covered is
        read back, and no later sync writes it.
    """

    def __init__(self, rng):
        self.rng = rng
        self.sync_s = SYNC_S
        self.inode_by_name = {}
        self.call_s = 0.0
        self.losses = 0
        self.fails_to_sync = False
        self._synced_inode_by_name = {}
        self._unsynced_names = []
        self._under_way = deque()

    def record(self, operation):
        """Record an operation of the current call."""
        self._perform_due()
        if isinstance(operation, SyncFile | SyncFolder):
            self.call_s += self.sync_s
        self._under_way.append((now() + self.call_s, operation))

    def is_replacing(self, prefix):
        """Return whether a file whose name begins with the prefix is being replaced."""
        return any(
            at_s > now() and operation.target.startswith(prefix)
            for at_s, operation in self._under_way
            if isinstance(operation, Rename)
        )

    def lose_power(self):
        """Keep what was synced, and a random part of the rest."""
        self.losses += 1
        self._perform_due()
        self._under_way.clear()
        for change in self._unsynced_names:
            if self.rng.random() < 0.5:
                _apply(change, self._synced_inode_by_name)
        self._unsynced_names.clear()
        for inode in self._synced_inode_by_name.values():
            inode.written = inode.synced = self._content_after_loss(inode)
            inode.unsynced = None
        self.inode_by_name = dict(self._synced_inode_by_name)

    def wipe(self):
        """Empty the folder, as a new disk."""
        self.lose_power()
        self.inode_by_name.clear()
        self._synced_inode_by_name.clear()

    def fail_sync(self, inode):
        """Fail a sync: the system takes the data for written from then on."""
        # Syncs of earlier calls have ended, though the paused clock may say otherwise.
        while any(isinstance(item, SyncFile) for _, item in self._under_way):
            self._perform(self._under_way.popleft()[1])
        self._under_way = deque(
            (at_s, item)
            for at_s, item in self._under_way
            if not (isinstance(item, Write) and item.inode is inode)
        )
        inode.unsynced = None
        raise OSError(errno.EIO, "input/output error")

    def _perform_due(self):
        while self._under_way and self._under_way[0][0] <= now():
            self._perform(self._under_way.popleft()[1])

    def _perform(self, operation):
        match operation:
            case Write(inode, content):
                inode.unsynced = content
            case SyncFile(inode):
                if inode.unsynced is not None:
                    inode.synced, inode.unsynced = inode.unsynced, None
            case SyncFolder():
                for change in self._unsynced_names:
                    _apply(change, self._synced_inode_by_name)
                self._unsynced_names.clear()
            case _:
                self._unsynced_names.append(operation)

    def _content_after_loss(self, inode):
        """Return the synced content, and a torn part of what was appended to it."""
        if inode.unsynced is None:
            return inode.synced
        if not inode.unsynced.startswith(inode.synced):
            return self.rng.choice([inode.synced, inode.unsynced])
        first = len(inode.synced)
        size = self.rng.randint(first, len(inode.unsynced))
        content = bytearray(inode.unsynced[:size])
        for block in range(first // BLOCK_BYTES, size // BLOCK_BYTES + 1):
            if self.rng.random() < LOST_BLOCK_SHARE:
                start = max(first, block * BLOCK_BYTES)
                end = min(size, (block + 1) * BLOCK_BYTES)
                content[start:end] = bytes(end - start)
        return bytes(content)


def _apply(change, inode_by_name):
    """Apply an operation on names to a folder."""
    match change:
        case Link(name, inode):
            inode_by_name[name] = inode
        case Rename(name, target, inode):
            inode_by_name.pop(name, None)
            inode_by_name[target] = inode
        case Unlink(name):
            inode_by_name.pop(name, None)


@dataclass(frozen=True)
class FakePath:
    """The path of a fake folder or of a file in it.

    :ivar losses: power losses of the folder when the process opened it.
    """

    folder: FakeFolder
    losses: int
    name: str = ""

    def __truediv__(self, name):
        return replace(self, name=name)

    def check_power(self):
        if self.losses != self.folder.losses:
            raise OSError(errno.EIO, "the host lost power")

    def exists(self):
        return self.name in self.folder.inode_by_name

    def iterdir(self):
        return [self / name for name in self.folder.inode_by_name]

    def read_bytes(self):
        return self.folder.inode_by_name[self.name].written

    def rename(self, target):
        inode = self.folder.inode_by_name.pop(self.name)
        self.folder.inode_by_name[target.name] = inode
        self.folder.record(Rename(self.name, target.name, inode))

    def unlink(self, missing_ok):
        if self.folder.inode_by_name.pop(self.name, None) is not None:
            self.folder.record(Unlink(self.name))


class FakeSystemCalls:
    """The part of ``os`` that FolderDisk uses; paths stand for descriptors."""

    O_APPEND = os.O_APPEND
    O_CREAT = os.O_CREAT
    O_DIRECTORY = os.O_DIRECTORY
    O_RDONLY = os.O_RDONLY
    O_RDWR = os.O_RDWR
    O_TRUNC = os.O_TRUNC
    O_WRONLY = os.O_WRONLY
    SEEK_SET = os.SEEK_SET

    def open(self, path, flags, mode=0):
        inode_by_name = path.folder.inode_by_name
        if path.name and path.name not in inode_by_name:
            assert flags & os.O_CREAT, path.name
            inode_by_name[path.name] = Inode()
            path.folder.record(Link(path.name, inode_by_name[path.name]))
        if path.name:
            inode_by_name[path.name].position = None
        if flags & os.O_TRUNC:
            self.ftruncate(path, 0)
        return path

    def lseek(self, path, offset, origin):
        assert origin == os.SEEK_SET, origin
        path.folder.inode_by_name[path.name].position = offset

    def write(self, path, data):
        inode = path.folder.inode_by_name[path.name]
        start = len(inode.written) if inode.position is None else inode.position
        end = start + len(data)
        self._write(path, inode.written[:start] + bytes(data) + inode.written[end:])
        if inode.position is not None:
            inode.position = end
        return len(data)

    def ftruncate(self, path, size):
        self._write(path, path.folder.inode_by_name[path.name].written[:size])

    def fsync(self, path):
        is_file = bool(path.name)
        inode = path.folder.inode_by_name[path.name] if is_file else None
        if is_file and path.folder.fails_to_sync:
            path.folder.fail_sync(inode)
        path.folder.record(SyncFile(inode) if is_file else SyncFolder())

    fdatasync = fsync

    def close(self, path):
        pass

    def _write(self, path, content):
        inode = path.folder.inode_by_name[path.name]
        inode.written = content
        path.folder.record(Write(inode, content))


def open_folder(fake_folder):
    """Return a FolderDisk on a fake folder, as a process opens it at its start."""
    return folder.FolderDisk(FakePath(fake_folder, fake_folder.losses))


async def call_in_loop(function, *arguments, **keywords):
    """Return the result of a call once its syncs have ended on the paused clock."""
    owner = getattr(function, "__self__", None)
    path = owner if isinstance(owner, FakePath) else owner._folder
    path.check_power()
    path.folder.call_s = 0.0
    outcome = function(*arguments, **keywords)
    await asyncio.sleep(path.folder.call_s)
    path.check_power()
    return outcome


def replace_system_calls(context):
    """Let FolderDisk work on fake folders until the end of the scenario.

    :param context: the behave context.
    """
    calls = {
        "os": FakeSystemCalls(),
        "fcntl": mock.MagicMock(),
        "asyncio": SimpleNamespace(to_thread=call_in_loop),
    }
    for name, fake in calls.items():
        patcher = mock.patch.object(folder, name, fake)
        patcher.start()
        context.add_cleanup(patcher.stop)
