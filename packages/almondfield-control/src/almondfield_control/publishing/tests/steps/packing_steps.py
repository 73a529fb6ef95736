"""Steps of publishing.feature about packed tables."""

from unittest import mock

from behave import then, when
from result import Ok

from almondfield_control.publishing import packing
from almondfield_control.publishing.messages import LeaseRequest
from almondfield_core.routing import (
    PoolShare,
    RequestKind,
    RouteRule,
    RoutingTable,
)
from almondfield_testing import run

BYTES_PER_KIB = 1024


def table_of(version, count):
    """Return a table with a number of routes."""
    routes = tuple(
        RouteRule(
            name=f"route-{number}",
            domain="a.example",
            path_prefix=f"/part{number}/",
            kind=RequestKind.STREAMING,
            shares=(PoolShare("pool", 1),),
            timeout_s=15.0,
            latency_target_s=0.8,
        )
        for number in range(count)
    )
    return RoutingTable(version, routes, ())


async def publish(fleet, host, table):
    outcome = await fleet.publisher_by_host[host].publish(table, b"x", 1.5)
    assert isinstance(outcome, Ok), outcome


@when('a table of {count:d} routes is published as version {version:d} at "{host}"')
def step_impl(context, count, version, host):
    context.packed = mock.patch.object(
        packing.zlib, "compress", wraps=packing.zlib.compress
    ).start()
    context.add_cleanup(mock.patch.stopall)
    run(context, publish(context.fleet, host, table_of(version, count)))


@when(
    'the leader packs tables wrongly, and version {version:d} is published at "{host}"'
)
def step_impl(context, version, host):
    mock.patch.object(packing.TablePacker, "pack", return_value=b"wrong").start()
    context.add_cleanup(mock.patch.stopall)
    run(context, publish(context.fleet, host, table_of(version, 1)))


@when("the leader packs tables rightly again")
def step_impl(context):
    mock.patch.stopall()


@then("every router has {count:d} routes")
def step_impl(context, count):
    for subscription in context.fleet.subscription_by_router.values():
        assert len(subscription.index.table.routes) == count


@then("every router holds version {version:d}")
def step_impl(context, version):
    versions = {s.version for s in context.fleet.subscription_by_router.values()}
    assert versions == {version}, versions


@then("the table was packed {count:d} time")
def step_impl(context, count):
    assert context.packed.call_count == count, context.packed.call_count


@then("no reply to a router was larger than {size:d} KiB")
def step_impl(context, size):
    largest = context.fleet.network.largest_by_kind["lease-reply"]
    assert largest <= size * BYTES_PER_KIB, largest


@then("a lease request of an earlier build gets a table of {count:d} routes")
def step_impl(context, count):
    async def request():
        fleet = context.fleet
        publisher = fleet.publisher_by_host[fleet.leader()]
        return await publisher._on_lease("r1", LeaseRequest(0))

    reply = run(context, request())
    assert len(reply.table.routes) == count, reply
    assert reply.packed == b"", reply
