"""Steps of backend.feature on idle connections in a late event loop."""

from unittest import mock

from behave import given, then, when

from almondfield_daemon.backend.pool import ConnectionPool

ADDRESS = "127.0.0.1:1"


@given("a pool with a connection that may be idle for {seconds:g} s")
def step_impl(context, seconds):
    context.pool = ConnectionPool()
    context.idle = mock.Mock(reusable=True)

    async def put():
        context.pool.put(ADDRESS, context.idle, seconds)

    context.loop.run_until_complete(put())


@when(
    "the event loop takes a connection {seconds:g} s later, before it has run any timer"
)
def step_impl(context, seconds):
    late_s = context.loop.time() + seconds

    async def take():
        with mock.patch.object(context.loop, "time", return_value=late_s):
            context.taken = context.pool.take(ADDRESS)

    context.loop.run_until_complete(take())


@then("it gets none, and the connection is closed")
def step_impl(context):
    assert context.taken is None
    context.idle.close.assert_called_once_with()
