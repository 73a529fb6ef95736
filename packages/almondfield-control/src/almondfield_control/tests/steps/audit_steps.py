"""Steps of audit.feature."""

import json

from behave import then
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
