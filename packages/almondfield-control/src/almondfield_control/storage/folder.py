"""The disk port backed by a folder of the file system."""

import asyncio
import errno
import fcntl
import os
from pathlib import Path

import eliot

from almondfield_core.findings import Finding, FindingsError

__all__ = ["FolderDisk"]

_LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".new"
_FILE_MODE = 0o600
_PASSING_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)


class FolderDisk:
    """Files of a data folder, locked for one process at a time.

    :param folder: an existing folder. It is not created: a missing folder may be a
        disk that is not mounted, and an empty one in its place would make a new voter.
    :raises FindingsError: if the folder is missing or locked by another process.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._locks = [self._lock(folder, os.O_RDONLY | os.O_DIRECTORY)]
        try:
            # Earlier versions lock this file, which a full disk can't hold.
            self._locks.append(self._lock(folder / _LOCK_NAME, os.O_CREAT | os.O_RDWR))
        except OSError as error:
            eliot.log_message("control:lock-file-missing", reason=str(error))
        except FindingsError:
            self.close()
            raise

    def _lock(self, path: Path, flags: int) -> int:
        try:
            descriptor = os.open(path, flags, _FILE_MODE)
        except OSError as error:
            if error.errno in _PASSING_ERRORS and flags & os.O_CREAT:
                raise
            finding = Finding(
                f"data_folder: {self._folder}",
                f"cannot be used: {error.strerror}",
                "an existing folder that the daemon may write",
            )
            raise FindingsError((finding,)) from None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            finding = Finding(
                f"data_folder: {self._folder}",
                "another process uses the folder",
                "one daemon per data folder",
            )
            raise FindingsError((finding,)) from None
        return descriptor

    async def names(self) -> tuple[str, ...]:
        """Return the names of all files."""
        return await asyncio.to_thread(self._names)

    async def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return await asyncio.to_thread((self._folder / name).read_bytes)

    async def append(self, name: str, data: bytes) -> None:
        """Append data to a file and sync it."""
        await asyncio.to_thread(self._append, name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        await asyncio.to_thread(self._truncate, name, size)

    async def rewrite_end(self, name: str, offset: int, data: bytes) -> None:
        """Write the end of a file once more, and sync the file and the folder."""
        await asyncio.to_thread(self._rewrite_end, name, offset, data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically."""
        await asyncio.to_thread(self._replace, name, data)

    async def remove(self, name: str) -> None:
        """Remove a file if it is there, and sync the folder."""
        await asyncio.to_thread(self._remove, name)

    def close(self) -> None:
        """Release the lock on the folder."""
        while self._locks:
            os.close(self._locks.pop())

    def _names(self) -> tuple[str, ...]:
        names = (path.name for path in self._folder.iterdir())
        return tuple(sorted(name for name in names if name != _LOCK_NAME))

    def _append(self, name: str, data: bytes) -> None:
        path = self._folder / name
        is_new = not path.exists()
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(path, flags, _FILE_MODE)
        try:
            _write_all(descriptor, data)
            os.fdatasync(descriptor)
        finally:
            os.close(descriptor)
        if is_new:
            self._sync_folder()

    def _truncate(self, name: str, size: int) -> None:
        descriptor = os.open(self._folder / name, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _rewrite_end(self, name: str, offset: int, data: bytes) -> None:
        descriptor = os.open(self._folder / name, os.O_WRONLY)
        try:
            os.lseek(descriptor, offset, os.SEEK_SET)
            _write_all(descriptor, data)
            os.ftruncate(descriptor, offset + len(data))
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._sync_folder()

    def _replace(self, name: str, data: bytes) -> None:
        temporary_path = self._folder / (name + _TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(temporary_path, flags, _FILE_MODE)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        temporary_path.rename(self._folder / name)
        self._sync_folder()

    def _remove(self, name: str) -> None:
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
