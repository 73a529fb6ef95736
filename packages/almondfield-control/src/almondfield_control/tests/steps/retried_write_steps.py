"""Steps on entries whose write fails once."""

import asyncio
import errno

from behave import then, when
from control_fleet import in_loop

from almondfield_control.commands import NoOperation


@when("the voter's next write fails once, as it appends an entry")
@in_loop
async def step_impl(context):
    (host,) = context.fleet.voters
    disk = context.fleet.disk_by_host[host]
    append = disk.append

    async def fail_once(name, data):
        disk.append = append
        raise OSError(errno.EIO, "input/output error")

    disk.append = fail_once
    context.replica = context.fleet.node_by_host[host].replica
    context.entry = context.replica.log.last_index + 1
    proposal = context.replica.propose(NoOperation())
    # Without a reference, the event loop may drop the task.
    context.proposal = asyncio.ensure_future(proposal)


@then("the entry is committed, and no other one follows it")
@in_loop
async def step_impl(context):
    replica = context.replica
    assert replica.log.last_index == context.entry, replica.log.last_index
    assert replica.commit_index == context.entry, replica.commit_index
    assert context.proposal.result().is_ok()
