"""Steps on snapshots that are installed and made at the same time."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from fake_disk import FakeDisk

from almondfield_control.commands import NoOperation, entry_of
from almondfield_control.consensus.log import ReplicatedLog
from almondfield_control.consensus.messages import SnapshotChunk
from almondfield_control.consensus.snapshots import (
    MIN_COMPACT_BYTES,
    Snapshot,
    SnapshotReceiver,
    SnapshotStore,
)
from almondfield_control.state import ControlState, encode_image
from almondfield_control.storage import HardState, Journal
from almondfield_testing import run

TERM = 1
SLOW_SYNC_S = 0.1
INSTALLED_INDEX = 9


class Member(SimpleNamespace):
    """What snapshots need of a member of the control group."""

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    def mark_durable(self, index, term):
        pass

    def install(self, snapshot, state, log, durable_index):
        self.state, self.log = state, log
        self.durable_index = durable_index
        self.commit_index = snapshot.index
        self.snapshots.latest = snapshot


def entries(count):
    """Return the first entries of a log."""
    return tuple(entry_of(i, TERM, 0.0, NoOperation()) for i in range(1, count + 1))


def state_after(count):
    """Return the state after that many entries."""
    state = ControlState()
    for entry in entries(count):
        state.apply(entry)
    return state


@given("a member with {count:d} entries on a slow disk")
def step_impl(context, count):
    make_member(context, count, count)


@given(
    "a member with {count:d} entries on a slow disk, {committed:d} of them committed"
)
def step_impl(context, count, committed):
    make_member(context, count, committed)


def make_member(context, count, committed):
    """Make a member with some entries, of which the first are committed."""

    async def make():
        context.disk = FakeDisk(random.Random(1))
        journal = Journal(context.disk)
        hard_state = HardState("a", "c", True, (), TERM)
        await journal.compact(hard_state, 0, 0, b"", entries(count))
        context.disk.sync_s = SLOW_SYNC_S
        log = ReplicatedLog(0, 0, ())
        log.append(entries(count))
        context.member = Member(
            journal=journal,
            log=log,
            hard_state=hard_state,
            commit_index=committed,
            state=state_after(committed),
            tasks=[],
        )
        context.member.snapshots = SnapshotStore(context.member)

    run(context, make())


@when("it installs a snapshot of 9 entries, and compacts its own 3 meanwhile")
def step_impl(context):
    def compact(member):
        # An append that was received before commits an entry now.
        member.snapshots.record_applied(bytes(MIN_COMPACT_BYTES))

    run(context, install_while(context.member, compact))


@when("it installs a snapshot of 9 entries, and commits its 12 meanwhile")
def step_impl(context):
    def commit(member):
        # A heartbeat, which carries no entries, tells that they are committed.
        member.commit_index = 12
        member.state = state_after(12)

    run(context, install_while(context.member, commit))


@when("it installs a snapshot of 9 entries, and appends entry 13 as leader meanwhile")
def step_impl(context):
    def append(member):
        entry = entries(13)[-1]
        member.log.append((entry,))
        member.journal.write(entries=(entry,))

    async def install():
        writing = asyncio.create_task(context.member.journal.run())
        await install_while(context.member, append)
        await asyncio.sleep(2 * SLOW_SYNC_S)
        writing.cancel()

    run(context, install())


async def install_while(member, act):
    """Install a snapshot, and let the member act while it is written."""
    data = await encode_image(state_after(INSTALLED_INDEX).image())
    snapshot = Snapshot(INSTALLED_INDEX, TERM, data)
    chunk = SnapshotChunk(
        "c", "a", TERM, INSTALLED_INDEX, TERM, len(data), snapshot.checksum, 0, data
    )
    receiver = SnapshotReceiver(member)
    installing = asyncio.create_task(receiver.receive(chunk))
    await asyncio.sleep(SLOW_SYNC_S / 2)
    act(member)
    reply = await installing
    assert reply.installed, reply
    await asyncio.gather(*member.tasks, return_exceptions=True)


@then("it still has its {count:d} entries committed")
def step_impl(context, count):
    assert context.member.commit_index == count, context.member.commit_index
    assert context.member.log.last_index == count, context.member.log.last_index


@then("recovery returns the snapshot of 9 entries")
def step_impl(context):
    recovered = run(context, Journal(context.disk).recover())
    assert recovered.base_index == INSTALLED_INDEX, recovered


@then(
    "its log ends with entry {index:d}, and entries up to {durable:d} count as synced"
)
def step_impl(context, index, durable):
    member = context.member
    assert member.log.last_index == index, member.log.last_index
    # The write of what was appended meanwhile counts once it has ended.
    assert member.durable_index == durable, member.durable_index


@then("recovery returns the snapshot of 9 entries and entries up to {last:d}")
def step_impl(context, last):
    recovered = run(context, Journal(context.disk).recover())
    assert recovered.base_index == INSTALLED_INDEX, recovered
    assert recovered.entries == entries(last)[INSTALLED_INDEX:], recovered.entries
