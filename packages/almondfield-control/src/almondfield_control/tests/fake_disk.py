"""In-memory data folder that simulates crashes, torn writes and a full disk."""

import asyncio
import errno

from almondfield_control.storage.layout import encode_initial_journal

SYNC_S = 0.001
WRITES = ("append", "truncate", "rewrite_end", "replace", "remove")


class FakeDisk:
    """The disk port; :meth:`crash` loses unsynced data.

    :ivar refused: operations that fail before they have changed anything.
    :ivar unsynced: operations that are performed, but fail to sync.
    """

    def __init__(self, rng):
        self.rng = rng
        self.file_by_name = {}
        self.unsynced_write = None
        self.free_bytes = None
        self.sync_s = SYNC_S
        self.generation = 0
        self.refused = ()
        self.unsynced = ()

    async def names(self):
        return tuple(sorted(self.file_by_name))

    async def read(self, name):
        return bytes(self.file_by_name[name])

    async def append(self, name, data):
        generation = self.generation
        self._check_refused("append")
        self._reserve_space(name, data)
        self.unsynced_write = (name, data)
        await asyncio.sleep(self.sync_s)
        self._check_generation(generation)
        self.unsynced_write = None
        self.file_by_name[name] = self.file_by_name.get(name, b"") + data
        self._check_synced("append")

    async def truncate(self, name, size):
        self._check_refused("truncate")
        self.file_by_name[name] = self.file_by_name[name][:size]
        self._check_synced("truncate")

    async def rewrite_end(self, name, offset, data):
        generation = self.generation
        self._check_refused("rewrite_end")
        await asyncio.sleep(self.sync_s)
        self._check_generation(generation)
        content = self.file_by_name[name]
        assert content[offset:].startswith(data), name
        self.file_by_name[name] = content[: offset + len(data)]
        self._check_synced("rewrite_end")

    async def replace(self, name, data):
        generation = self.generation
        self._check_refused("replace")
        self._reserve_space(name, data)
        await asyncio.sleep(self.sync_s)
        self._check_generation(generation)
        self.file_by_name[name] = bytes(data)
        self._check_synced("replace")

    async def remove(self, name):
        self._check_refused("remove")
        self.file_by_name.pop(name, None)
        self._check_synced("remove")

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

    def _check_refused(self, operation):
        if operation in self.refused:
            raise OSError(errno.ENOSPC, "no space left on device")

    def _check_synced(self, operation):
        if operation in self.unsynced:
            raise OSError(errno.EIO, "input/output error")

    def _check_generation(self, generation):
        if generation != self.generation:
            raise OSError(errno.EIO, "the host crashed")


def journal_files(hard_state):
    """Return the files of a folder that holds a hard state and an empty log."""
    name, data = encode_initial_journal(hard_state)
    return {name: data}
