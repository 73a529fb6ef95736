"""Steps of audit.feature."""

import errno
import json
import os
from unittest import mock

from behave import then, when
from control_fleet import in_loop

from almondfield_control.node.export import AUDIT_FILE


@then(
    "every voter exported changes 1 to {exported:d}, "
    "and the group holds {first:d} to {last:d}"
)
@in_loop
async def step_impl(context, exported, first, last):
    for voter in context.fleet.voters:
        lines = context.fleet.disk_by_host[voter].file_by_name[AUDIT_FILE].splitlines()
        revisions = [json.loads(line)["revision"] for line in lines]
        assert revisions == list(range(1, exported + 1)), (voter, revisions[-3:])
    control = context.fleet.node_by_host["h4"].control
    records = (await control.history(0, last)).unwrap()
    assert [record.revision for record in records] == list(range(first, last + 1))


@when("the disk of {host} {failure} for audit records")
@in_loop
async def step_impl(context, host, failure):
    disk = context.fleet.disk_by_host[host]
    context.patchers = []
    context.add_cleanup(mock.patch.stopall)

    def let_fail(operation):
        perform = getattr(disk, operation)

        async def fail(name, *arguments):
            if name != AUDIT_FILE:
                return await perform(name, *arguments)
            if failure == "fails to sync":
                await perform(name, *arguments)
            elif operation == "append":
                await perform(name, arguments[0][:-20])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        patcher = mock.patch.object(disk, operation, fail)
        patcher.start()
        context.patchers.append(patcher)

    for operation in ("append", "truncate", "rewrite_end"):
        let_fail(operation)


@when("the disk of {host} keeps audit records again")
def step_impl(context, host):
    for patcher in context.patchers:
        patcher.stop()
