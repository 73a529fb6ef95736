"""Steps of storage.feature."""

import asyncio
import errno
import os
import random
import tempfile
from contextlib import suppress
from pathlib import Path
from unittest import mock

from behave import given, then, when
from control_fleet import in_loop
from fake_disk import FakeDisk
from fake_folder import FakeFolder, open_folder, replace_system_calls

from almondfield_control.commands import NoOperation, entry_of
from almondfield_control.errors import DamageError, StorageError
from almondfield_control.storage import FolderDisk, HardState, Journal
from almondfield_control.storage.core import RETRY_INTERVAL_S
from almondfield_core.findings import FindingsError

HARD_STATE = HardState("id", "group", True, (), 4, "id")
ENTRIES = tuple(entry_of(index, 1, 1e9, NoOperation()) for index in (1, 2, 3))
ROUNDING_S = 1e-6  # the paused clock may end a sync this much before its time
LATER_ENTRIES = tuple(entry_of(index, 1, 1e9, NoOperation()) for index in (4, 5))


async def write_journal(disk, entries=ENTRIES):
    """Return a journal to which each entry was written separately, and its task."""
    journal = Journal(disk)
    task = asyncio.ensure_future(journal.run())
    await journal.compact(HARD_STATE, 0, 0, b"", ())
    for entry in entries:
        await journal.write(entries=(entry,))
    return journal, task


@given("a journal with 3 synced entries on a disk")
@in_loop
async def step_impl(context):
    context.disk = FakeDisk(random.Random(1))
    context.journal, context.task = await write_journal(context.disk)


@when("the host crashes in the middle of the next write, at every length")
@in_loop
async def step_impl(context):
    (name,) = context.disk.file_by_name
    before = context.disk.file_by_name[name]
    await context.journal.write(entries=LATER_ENTRIES)
    whole = context.disk.file_by_name[name]
    context.recovered = []
    for length in range(len(before), len(whole)):
        disk = FakeDisk(random.Random(1))
        disk.file_by_name = {name: whole[:length]}
        context.recovered.append(await Journal(disk).recover())
        assert disk.file_by_name[name] == before


@when(
    "the host loses power in the next write, and its end or start is zero, "
    "at every length"
)
@in_loop
async def step_impl(context):
    (name,) = context.disk.file_by_name
    before = context.disk.file_by_name[name]
    await context.journal.write(entries=LATER_ENTRIES)
    frame = context.disk.file_by_name[name].removeprefix(before)
    context.recovered = []
    for length in range(1, len(frame)):
        zeros = bytes(length)
        for torn in (frame[:-length] + zeros, zeros + frame[length:]):
            disk = FakeDisk(random.Random(1))
            disk.file_by_name = {name: before + torn}
            context.recovered.append(await Journal(disk).recover())
            assert disk.file_by_name[name] == before


@then("each recovery returns the 3 entries")
@then("the recovery returns the 3 entries")
@in_loop
async def step_impl(context):
    assert context.recovered
    for recovered in context.recovered:
        assert recovered.entries == ENTRIES
        assert recovered.hard == HARD_STATE


@when("a byte in the middle of the file is flipped")
@in_loop
async def step_impl(context):
    (context.name,) = context.disk.file_by_name
    data = bytearray(context.disk.file_by_name[context.name])
    data[len(data) // 2] ^= 1
    context.disk.file_by_name[context.name] = bytes(data)


@when("the file header names another version")
@in_loop
async def step_impl(context):
    ((context.name, data),) = context.disk.file_by_name.items()
    context.old_data = data.replace(b"afj2", b"afj1")
    context.disk.file_by_name[context.name] = context.old_data


@then("recovery reports the format and leaves the file unchanged")
@in_loop
async def step_impl(context):
    try:
        await Journal(context.disk).recover()
    except DamageError as error:
        (finding,) = error.findings
        assert "'afj1'" in finding.problem, finding
        assert "'afj2'" in finding.allowed, finding
    else:
        raise AssertionError("no finding")
    assert context.disk.file_by_name[context.name] == context.old_data


@when("a snapshot is written and then lost")
@in_loop
async def step_impl(context):
    await context.journal.compact(HARD_STATE, 3, 1, b"state", ())
    names = context.disk.file_by_name
    context.name = next(name for name in names if name.startswith("snapshot"))
    del names[context.name]


@then("recovery reports the file, the offset and the remedy")
@in_loop
async def step_impl(context):
    try:
        await Journal(context.disk).recover()
    except DamageError as error:
        (finding,) = error.findings
        assert finding.place.startswith(f"{context.name}: offset "), finding
        assert "empty the data folder" in finding.allowed, finding
    else:
        raise AssertionError("no finding")


@when("the host crashes while a snapshot is written")
@in_loop
async def step_impl(context):
    task = asyncio.ensure_future(
        context.journal.compact(HARD_STATE, 3, 1, b"state", ())
    )
    await asyncio.sleep(context.disk.sync_s / 2)
    context.disk.crash()
    try:
        await task
    except StorageError:
        context.recovered = [await Journal(context.disk).recover()]
    else:
        raise AssertionError("the write did not fail")


@when("a write of 2 entries fails once, while a snapshot of 2 entries waits for it")
@in_loop
async def step_impl(context):
    disk = context.disk
    append = disk.append

    async def fail_once(name, data):
        await asyncio.sleep(disk.sync_s)
        disk.append = append
        raise OSError(errno.EIO, "input/output error")

    disk.append = fail_once
    written = context.journal.write(entries=LATER_ENTRIES)
    await asyncio.sleep(disk.sync_s / 2)
    entries = (*ENTRIES[2:], *LATER_ENTRIES)
    await context.journal.compact(HARD_STATE, 2, 1, b"state", entries)
    assert isinstance(written.exception(), StorageError)
    await asyncio.sleep(2 * RETRY_INTERVAL_S)


def let_fail_once(disk, operation, error_number):
    """Let the next call of one operation of a disk fail after it was performed."""
    perform = getattr(disk, operation)

    async def fail(*arguments):
        setattr(disk, operation, perform)
        await perform(*arguments)
        raise OSError(error_number, os.strerror(error_number))

    setattr(disk, operation, fail)


@when("a snapshot covers a write of 2 entries, and no old file can be removed")
@in_loop
async def step_impl(context):
    async def fail(name):
        raise OSError(errno.EIO, "input/output error")

    context.disk.remove = fail
    written = context.journal.write(entries=LATER_ENTRIES)
    entries = (*ENTRIES[2:], *LATER_ENTRIES)
    with suppress(StorageError):
        await context.journal.compact(HARD_STATE, 2, 1, b"state", entries)
    with suppress(StorageError):
        await written
    await asyncio.sleep(2 * RETRY_INTERVAL_S)
    del context.disk.remove


@when("the sync of the folder fails once the journal of a snapshot has its name")
@in_loop
async def step_impl(context):
    replace = context.disk.replace

    async def replace_snapshot(name, data):
        await replace(name, data)
        context.disk.replace = replace
        let_fail_once(context.disk, "replace", errno.EIO)

    context.disk.replace = replace_snapshot
    try:
        await context.journal.compact(HARD_STATE, 2, 1, b"state", ENTRIES[2:])
    except StorageError:
        return
    raise AssertionError("the write did not fail")


async def lose_power_after_failure(seed):
    """Return what a power loss leaves after a failed sync and 2 more entries."""
    folder = FakeFolder(random.Random(seed))
    disk = open_folder(folder)
    journal, task = await write_journal(disk)
    outcomes = iter((None, OSError(errno.EIO, "input/output error")))
    fails_once = mock.patch.object(disk, "_sync_folder", side_effect=outcomes)
    with fails_once, suppress(StorageError):
        await journal.compact(HARD_STATE, 2, 1, b"state", ENTRIES[2:])
    assert journal.failure is not None
    await journal.write(entries=LATER_ENTRIES)
    await asyncio.sleep(ROUNDING_S)
    folder.lose_power()
    task.cancel()
    return await Journal(open_folder(folder)).recover()


@when(
    "the power is lost after 2 entries were synced behind such a failure, "
    "{count:d} times"
)
@in_loop
async def step_impl(context, count):
    replace_system_calls(context)
    context.recovered = [await lose_power_after_failure(seed) for seed in range(count)]


@when("2 more entries are synced")
@in_loop
async def step_impl(context):
    await context.journal.write(entries=LATER_ENTRIES)


@then("the recovery returns all {count:d} entries")
@in_loop
async def step_impl(context, count):
    check_entries(await Journal(context.disk).recover(), count)


@then("each recovery returns all {count:d} entries")
def step_impl(context, count):
    assert context.recovered
    for recovered in context.recovered:
        check_entries(recovered, count)


def check_entries(recovered, count):
    """Check that a folder holds the first entries, and no snapshot."""
    expected = (*ENTRIES, *LATER_ENTRIES)[:count]
    assert recovered.base_index == 0, recovered
    assert recovered.entries == expected, recovered.entries


@when("the disk has no space for a snapshot, and has space again later")
@in_loop
async def step_impl(context):
    context.disk.free_bytes = 0
    with suppress(StorageError):
        await context.journal.compact(HARD_STATE, 3, 1, b"state", ())
    assert context.journal.failure is not None
    context.disk.free_bytes = None
    await asyncio.sleep(2 * RETRY_INTERVAL_S)


@then("the journal reports no failure")
def step_impl(context):
    assert context.journal.failure is None, context.journal.failure


@then("recovery returns entries 3 to 5 after the snapshot")
@in_loop
async def step_impl(context):
    recovered = await Journal(context.disk).recover()
    assert recovered.base_index == 2
    assert recovered.entries == (*ENTRIES[2:], *LATER_ENTRIES), recovered.entries


@then("a second use of a real data folder is refused")
def step_impl(context):
    with tempfile.TemporaryDirectory() as folder:
        disk = FolderDisk(Path(folder))
        findings = ()
        try:
            FolderDisk(Path(folder))
        except FindingsError as error:
            findings = error.findings
        assert [folder in finding.place for finding in findings] == [True]
        disk.close()
        FolderDisk(Path(folder)).close()


@then("a real data folder returns its entries, snapshot and hard state")
def step_impl(context):
    async def main(folder):
        disk = FolderDisk(Path(folder))
        journal, task = await write_journal(disk)
        await journal.compact(HARD_STATE, 2, 1, b"state", ENTRIES[2:])
        await journal.write(entries=LATER_ENTRIES)
        task.cancel()
        disk.close()
        disk = FolderDisk(Path(folder))
        recovered = await Journal(disk).recover()
        disk.close()
        return recovered

    with tempfile.TemporaryDirectory() as folder:
        recovered = asyncio.run(main(folder))
    assert recovered.entries == (*ENTRIES[2:], *LATER_ENTRIES)
    assert recovered.snapshot == b"state"
    assert (recovered.base_index, recovered.base_term) == (2, 1)
    assert recovered.hard == HARD_STATE


@when("every disk is full")
@in_loop
async def step_impl(context):
    for disk in context.fleet.disk_by_host.values():
        disk.free_bytes = 20


@when("every disk has free space again")
@in_loop
async def step_impl(context):
    for disk in context.fleet.disk_by_host.values():
        disk.free_bytes = None


@then('change "{change_id}" is not accepted')
def step_impl(context, change_id):
    assert context.outcome_by_id[change_id].is_err()


@then('change "{change_id}" is accepted')
def step_impl(context, change_id):
    assert context.outcome_by_id[change_id].is_ok(), context.outcome_by_id


@then("some voter reports a full disk")
@in_loop
async def step_impl(context):
    nodes = [context.fleet.node_by_host[host] for host in context.fleet.voters]
    failures = [str(node.replica.journal.failure) for node in nodes]
    assert any("no space left" in failure for failure in failures), failures


@when('{host} submits change "{change_id}" at its current revision')
@in_loop
async def step_impl(context, host, change_id):
    revision = context.fleet.node_by_host[host].view.tables.revision
    outcome = await context.fleet.submit_change(host, revision, change_id)
    context.outcome_by_id[change_id] = outcome
