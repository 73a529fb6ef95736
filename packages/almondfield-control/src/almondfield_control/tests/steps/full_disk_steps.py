"""Steps of full_disks.feature."""

import asyncio
import errno
import os
import random
import tempfile
from contextlib import suppress
from pathlib import Path
from unittest import mock

from behave import given, then, when
from control_fleet import Fleet, in_loop
from fake_disk import WRITES
from fake_folder import FakeFolder, open_folder, replace_system_calls

from almondfield_control.commands import NoOperation, entry_of
from almondfield_control.consensus.snapshots import SnapshotReceiver
from almondfield_control.errors import StorageError
from almondfield_control.storage import FolderDisk, HardState, Journal, folder
from almondfield_core.findings import FindingsError

HARD_STATE = HardState("id", "group", True, (), 4, "id")
RECOVERY_S = 2.0


def entry(index):
    return entry_of(index, 1, 1e9, NoOperation())


@given(
    "a fleet of {hosts:d} hosts with {voters:d} voters on whose host {full} "
    "the disk is full"
)
@in_loop
async def step_impl(context, hosts, voters, full):
    context.fleet = Fleet(hosts, voters)
    context.fleet.disk_by_host[full].refused = WRITES
    context.fleet.start(*context.fleet.names)


@given(
    "a fleet of {hosts:d} hosts with {voters:d} voters on whose host {full} "
    "the disk takes no appends"
)
@in_loop
async def step_impl(context, hosts, voters, full):
    context.fleet = Fleet(hosts, voters)
    context.fleet.disk_by_host[full].refused = ("append",)
    context.fleet.start(*context.fleet.names)


@when("{host} crashes and its folder {state}")
@in_loop
async def step_impl(context, host, state):
    await context.fleet.crash(host)
    disk = context.fleet.disk_by_host[host]
    newest = max(disk.file_by_name)
    match state:
        case "is empty":
            disk.wipe()
        case "ends torn":
            disk.file_by_name[newest] += b"afj2 torn"
        case "holds an old file":
            disk.file_by_name["journal-0000000000000000"] = b"old"
        case "is intact":
            pass
        case other:
            raise AssertionError(other)


@when("{host} crashes")
@in_loop
async def step_impl(context, host):
    await context.fleet.crash(host)


@when("the disk of {host} refuses every write")
def step_impl(context, host):
    context.fleet.disk_by_host[host].refused = WRITES


@when("the disk of {host} fails to {action}")
def step_impl(context, host, action):
    disk = context.fleet.disk_by_host[host]
    match action:
        case "sync":
            disk.unsynced = WRITES
        case "rename":
            disk.refused = ("replace",)
        case "remove":
            disk.refused = ("remove",)
        case other:
            raise AssertionError(other)


@when("the disk of {host} works again")
def step_impl(context, host):
    disk = context.fleet.disk_by_host[host]
    disk.refused = disk.unsynced = ()


@then("{host} runs")
def step_impl(context, host):
    task = context.fleet.task_by_host[host]
    assert not task.done(), task


@then("{host} runs, and its member has synced nothing new")
def step_impl(context, host):
    task = context.fleet.task_by_host[host]
    assert not task.done(), task
    replica = context.fleet.node_by_host[host].replica
    assert replica.synced_hard_state == HardState(""), replica.synced_hard_state
    assert replica.durable_index < replica.log.last_index or not replica.is_voter


@when("the other voter is lost after a follower restarted on a full disk")
@in_loop
async def step_impl(context):
    fleet = context.fleet
    context.leader = fleet.leader()
    context.follower, other = (h for h in fleet.voters if h != context.leader)
    await fleet.crash(context.follower)
    fleet.disk_by_host[context.follower].refused = WRITES
    fleet.start(context.follower)
    await asyncio.sleep(1)
    await fleet.crash(other)


@then("the leader keeps its lease for {seconds:d} seconds")
@in_loop
async def step_impl(context, seconds):
    for _ in range(10 * seconds):
        await asyncio.sleep(0.1)
        assert context.fleet.leader() == context.leader


@then("a change is not accepted")
@in_loop
async def step_impl(context):
    with suppress(TimeoutError):
        outcome = await submit_at_current_revision(context.fleet, "early")
        assert outcome.is_err(), outcome


@when("that follower's disk has room")
def step_impl(context):
    context.fleet.disk_by_host[context.follower].refused = ()


@then("{host}'s next change is accepted within {seconds:g} second")
@in_loop
async def step_impl(context, host, seconds):
    status = (await context.fleet.node_by_host[host].control.status()).unwrap()
    async with asyncio.timeout(seconds):
        outcome = await context.fleet.submit_change(host, status.revision, "late")
    assert outcome.is_ok(), outcome


@when("{host} starts and its disk is full once it has an identity")
@in_loop
async def step_impl(context, host):
    context.fleet.start(host)
    disk = context.fleet.disk_by_host[host]
    await context.fleet.wait_until(lambda: disk.file_by_name)
    disk.refused = WRITES


@then("{host} receives a snapshot at most {count:d} times in {seconds:d} seconds")
@in_loop
async def step_impl(context, host, count, seconds):
    sizes = []
    receive = SnapshotReceiver.receive

    async def count_bytes(receiver, chunk):
        sizes.append((len(chunk.data), chunk.total))
        return await receive(receiver, chunk)

    with mock.patch.object(SnapshotReceiver, "receive", count_bytes):
        await asyncio.sleep(seconds)
    assert sizes
    times = sum(size for size, _ in sizes) / sizes[0][1]
    assert times <= count, times


@then("{host} reports that its disk is full")
def step_impl(context, host):
    failure = context.fleet.node_by_host[host].replica.journal.failure
    assert "no space left" in str(failure), failure


@when(
    "each voter's disk refuses writes for {seconds:g} seconds in turn, and it "
    "{meanwhile}"
)
@in_loop
async def step_impl(context, seconds, meanwhile):
    fleet = context.fleet
    for host in fleet.voters:
        fleet.disk_by_host[host].refused = WRITES
        if meanwhile != "runs on":
            await fleet.crash(host)
            if meanwhile == "restarts with an empty folder":
                fleet.disk_by_host[host].wipe()
            fleet.start(host)
        status = asyncio.ensure_future(submit_at_current_revision(fleet, host))
        await asyncio.sleep(seconds)
        fleet.disk_by_host[host].refused = ()
        await fleet.wait_until(lambda: tolerates(fleet, 2))
        await asyncio.gather(status, return_exceptions=True)


async def submit_at_current_revision(fleet, change_id):
    """Return the outcome of a change that is sent while a disk is full."""
    host = fleet.names[-1]
    revision = fleet.node_by_host[host].view.tables.revision
    async with asyncio.timeout(RECOVERY_S):
        return await fleet.submit_change(host, revision, change_id)


def tolerates(fleet, losses):
    """Return whether all voters run, and a leader hears enough of them."""
    for host in fleet.voters:
        assert not fleet.task_by_host[host].done(), fleet.task_by_host[host]
    leader = fleet.leader()
    if leader is None:
        return False
    replica = fleet.node_by_host[leader].replica
    on_hosts = {m.voter_id: m.host for m in replica.log.members if m.votes}
    alive = [
        host
        for voter_id, host in on_hosts.items()
        if fleet.node_by_host[host].replica.voter_id == voter_id
        and fleet.node_by_host[host].replica.durable_index >= replica.commit_index
    ]
    return len(alive) >= replica.quorum + losses


@then("ten changes of {host} are accepted within {seconds:g} second each")
@in_loop
async def step_impl(context, host, seconds):
    fleet = context.fleet
    status = (await fleet.node_by_host[host].control.status()).unwrap()
    for number in range(10):
        async with asyncio.timeout(seconds):
            outcome = await fleet.submit_change(
                host, status.revision + number, f"after-{number}"
            )
        assert outcome.is_ok(), outcome


async def lose_power_after_start(seed):
    """Return what a start returns after a failed sync, and after a loss of power."""
    fake_folder = FakeFolder(random.Random(seed))
    journal = Journal(open_folder(fake_folder))
    writing = asyncio.ensure_future(journal.run())
    await journal.compact(HARD_STATE, 0, 0, b"", ())
    await journal.write(entries=(entry(1),))
    fake_folder.fails_to_sync = True
    with suppress(StorageError):
        await journal.write(entries=(entry(2),))
    assert journal.failure is not None
    writing.cancel()
    fake_folder.fails_to_sync = False
    started = await Journal(open_folder(fake_folder)).recover()
    await asyncio.sleep(1e-6)  # the paused clock may end a sync this much before
    fake_folder.lose_power()
    return started, await Journal(open_folder(fake_folder)).recover()


@when(
    "a process ends after a failed sync, and power is lost after the next start, "
    "{count:d} times"
)
@in_loop
async def step_impl(context, count):
    replace_system_calls(context)
    context.pairs = [await lose_power_after_start(seed) for seed in range(count)]


@then("each start returned what the one after the loss returns")
def step_impl(context):
    assert context.pairs
    for before, after in context.pairs:
        assert entry(1) in before.entries, before
        assert before == after, (before, after)


@then("a real folder opens without a lock file, and a second use is refused")
def step_impl(context):
    open_file = os.open

    def refuse_new(path, flags, mode=0o777):
        if flags & os.O_CREAT:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return open_file(path, flags, mode)

    with tempfile.TemporaryDirectory() as path:
        with mock.patch.object(folder.os, "open", refuse_new):
            disk = FolderDisk(Path(path))
        findings = ()
        try:
            FolderDisk(Path(path))
        except FindingsError as error:
            findings = error.findings
        assert ["another process" in item.problem for item in findings] == [True]
        disk.close()
        FolderDisk(Path(path)).close()
