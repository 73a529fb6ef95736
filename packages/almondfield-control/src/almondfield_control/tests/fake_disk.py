"""In-memory data folder that simulates crashes, torn writes and a full disk."""

import asyncio
import errno

from almondfield_control.storage.core import encode_initial_journal

SYNC_S = 0.001


class FakeDisk:
    """The disk port; :meth:`crash` loses unsynced data."""

    def __init__(self, rng):
        self.rng = rng
        self.file_by_name = {}
        self.unsynced_write = None
        self.free_bytes = None
        self.sync_s = SYNC_S
        self.generation = 0

    async def names(self):
        return tuple(sorted(self.file_by_name))

    async def read(self, name):
        return bytes(self.file_by_name[name])

    async def append(self, name, data):
        generation = self.generation
        self._reserve_space(name, data)
        self.unsynced_write = (name, data)
        await asyncio.sleep(self.sync_s)
        self._check_generation(generation)
        self.unsynced_write = None
        self.file_by_name[name] = self.file_by_name.get(name, b"") + data

    async def truncate(self, name, size):
        self.file_by_name[name] = self.file_by_name[name][:size]

    async def replace(self, name, data):
        generation = self.generation
        self._reserve_space(name, data)
        await asyncio.sleep(self.sync_s)
        self._check_generation(generation)
        self.file_by_name[name] = bytes(data)

    async def remove(self, name):
        self.file_by_name.pop(name, None)

    def close(self):
        pass

    def crash(self):
        """Lose unsynced data; a part of the last write may remain."""
        self.generation += 1
        if self.unsynced_write is not None:
            name, data = self.unsynced_write
            part = data[: self.rng.randrange(len(data))]
            self.file_by_name[name] = self.file_by_name.get(name, b"") + part
            self.unsynced_write = None

    def wipe(self):
        """Empty the folder."""
        self.crash()
        self.file_by_name = {}

    def _reserve_space(self, name, data):
        if self.free_bytes is None:
            return
        if self.free_bytes < len(data):
            part = data[: self.free_bytes]
            self.file_by_name[name] = self.file_by_name.get(name, b"") + part
            self.free_bytes = 0
            raise OSError(errno.ENOSPC, "no space left on device")
        self.free_bytes -= len(data)

    def _check_generation(self, generation):
        if generation != self.generation:
            raise OSError(errno.EIO, "the host crashed")


def journal_files(hard_state):
    """Return the files of a folder that holds a hard state and an empty log."""
    name, data = encode_initial_journal(hard_state)
    return {name: data}
