"""Steps of publishing.feature about large tables."""

import asyncio

from behave import given, then, when
from result import Err

from almondfield_control.commands import PublishTable
from almondfield_core.routing import RoutingTable
from almondfield_testing import run

BYTES_PER_MIB = 1024 * 1024
ENTRY_OVERHEAD_BYTES = 64 * 1024
CHANGE_INTERVAL_S = 0.2


async def publish_versions(fleet, host, versions, size):
    """Publish one version after the other, each with a document of a size."""
    for version in versions:
        await fleet.publish(host, version, b"%d " % version + b"x" * size)


@given("messages of more than {size:d} MiB are lost")
def step_impl(context, size):
    context.fleet.network.max_message_bytes = size * BYTES_PER_MIB


@when(
    "versions {first:d} to {last:d} with documents of {size:d} bytes are published at "
    '"{host}"'
)
def step_impl(context, first, last, size, host):
    context.version = last
    context.size = size
    versions = range(first, last + 1)
    run(context, publish_versions(context.fleet, host, versions, size))


@when(
    '"{host}" loses its disk, and restarts beside {count:d} more versions of that size'
)
def step_impl(context, host, count):
    fleet = context.fleet

    async def restart_beside_changes():
        await fleet.stop(host, wipe=True)
        await asyncio.sleep(0.5)
        fleet.start(host, may_form=False)
        for version in range(context.version + 1, context.version + count + 1):
            await publish_versions(fleet, "c1", [version], context.size)
            await asyncio.sleep(CHANGE_INTERVAL_S)

    run(context, restart_beside_changes())


@then('"{host}" votes with its new identity')
def step_impl(context, host):
    async def query():
        return {m.voter_id for m in context.fleet.members() if m.votes}

    voter_ids = run(context, query())
    assert context.fleet.replica_by_host[host].voter_id in voter_ids, voter_ids


@then('"{host}" holds version {version:d}')
def step_impl(context, host, version):
    published = context.fleet.replica_by_host[host].state.published
    assert published is not None, "no table"
    assert published.table.version == version, published.table.version


@then("no message holds more than one entry of {size:d} bytes")
def step_impl(context, size):
    largest = max(context.fleet.network.largest_by_kind.values())
    assert largest <= size + ENTRY_OVERHEAD_BYTES, largest


@when(
    "all other hosts are cut off, and {count:d} tables of {size:d} bytes come at the "
    "leader"
)
def step_impl(context, count, size):
    async def propose_tables():
        fleet = context.fleet
        leader = fleet.leader()
        fleet.network.isolate(leader)
        replica = fleet.replica_by_host[leader]
        tables = [
            PublishTable(RoutingTable(version), b"x" * size)
            for version in range(1, count + 1)
        ]
        return await asyncio.gather(*map(replica.propose, tables))

    context.outcomes = run(context, propose_tables())


@then("no control host holds more than {size:d} MiB of entries")
def step_impl(context, size):
    for host, replica in context.fleet.replica_by_host.items():
        log = replica.log
        held = sum(len(entry.body) for entry in log.entries_after(log.base_index))
        assert held <= size * BYTES_PER_MIB, (host, held)


@then("most of these tables were refused as certainly not published")
def step_impl(context):
    refused = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, Err) and outcome.err_value.certainly_not_done
    ]
    assert len(refused) > len(context.outcomes) / 2, len(refused)
