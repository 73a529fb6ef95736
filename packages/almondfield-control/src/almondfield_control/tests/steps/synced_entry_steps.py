"""Steps on entries that count as synced, over many starts of one folder."""

import asyncio
import random
from contextlib import suppress

from behave import then, when
from control_fleet import in_loop
from fake_folder import FakeFolder, open_folder, replace_system_calls

from almondfield_control.commands import NoOperation, entry_of
from almondfield_control.errors import StorageError
from almondfield_control.storage import HardState, Journal
from almondfield_control.storage.core import RETRY_INTERVAL_S

HARD_STATE = HardState("id", "group", True, (), 4, "id")
STARTS = 8
ROUNDING_S = 1e-6  # the paused clock may end a sync this much before its time


class Lives:
    """Processes that follow each other on one folder, whose syncs fail at times.

    :param seed: decides on writes, failures, snapshots and losses of power.

    :ivar synced_by_index: entries that counted as synced at some time.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.folder = FakeFolder(self.rng)
        self.synced_by_index = {}
        self.entry_by_index = {}
        self.base = 0

    async def live(self, number):
        """Start, write some entries, and end; the power may be lost."""
        rng, folder = self.rng, self.folder
        folder.fails_to_sync = rng.random() < 0.4
        journal = Journal(open_folder(folder))
        await self._start(journal)
        writing = asyncio.ensure_future(journal.run())
        for _ in range(rng.randrange(1, 8)):
            if rng.random() < 0.3:
                folder.fails_to_sync = not folder.fails_to_sync
            if rng.random() < 0.2 and journal.failure is None:
                await self._compact(journal)
            await self._write(journal, number)
        await asyncio.sleep(rng.choice([0.0, 0.002, 0.5]) + ROUNDING_S)
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        if rng.random() < 0.5:
            folder.lose_power()

    async def _start(self, journal):
        while True:
            try:
                recovered = await journal.recover()
                if recovered.hard is None:
                    assert not self.synced_by_index, self.synced_by_index
                    await journal.compact(HARD_STATE, 0, 0, b"", ())
                break
            except StorageError:
                self.folder.fails_to_sync = self.rng.random() < 0.5
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.base = recovered.base_index
        self.entry_by_index = {entry.index: entry for entry in recovered.entries}
        for index, entry in self.synced_by_index.items():
            if index > self.base:
                assert self.entry_by_index.get(index) == entry, index
        for index in range(self.base + 1, recovered.synced_index + 1):
            self.synced_by_index[index] = self.entry_by_index[index]

    async def _write(self, journal, number):
        index = max(self.entry_by_index, default=self.base) + 1
        unix_s = 1e9 + self.rng.random()
        entry = entry_of(index, number, unix_s, NoOperation())
        self.entry_by_index[index] = entry
        written = asyncio.gather(
            journal.write(entries=(entry,)), return_exceptions=True
        )
        if self.rng.random() < 0.2:
            await asyncio.sleep(self.rng.choice([0.0, 0.002, 0.01]))
            return
        (error,) = await written
        if error is not None and self.rng.random() < 0.5:
            self.folder.fails_to_sync = False
            await asyncio.sleep(RETRY_INTERVAL_S + 0.2)
            error = journal.failure
        if error is None:
            # A write follows all that were made before it.
            self.synced_by_index |= self.entry_by_index

    async def _compact(self, journal):
        indices = sorted(self.entry_by_index)
        count = self.rng.randrange(len(indices) + 1)
        kept = tuple(self.entry_by_index[index] for index in indices[count:])
        with suppress(StorageError):
            await journal.compact(HARD_STATE, self.base + count, 1, b"state", kept)
            self.synced_by_index |= self.entry_by_index
            self.base += count
            self.entry_by_index = {entry.index: entry for entry in kept}


@when("syncs fail, processes end and power is lost at any time, {count:d} times")
@in_loop
async def step_impl(context, count):
    replace_system_calls(context)
    context.lives = []
    for seed in range(count):
        lives = Lives(seed)
        for number in range(1, STARTS + 1):
            await lives.live(number)
        context.lives.append(lives)


@then("each start found all entries that had counted as synced")
def step_impl(context):
    # Each start has checked what it found.
    assert sum(len(lives.synced_by_index) for lives in context.lives) > 0
