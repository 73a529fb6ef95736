"""Steps of publishing.feature about the term that a host leads."""

from behave import then, when

from almondfield_testing import run


@when("the lease of the leader has run out")
def step_impl(context):
    async def find_leader():
        return context.fleet.leader()

    context.led_host = run(context, find_leader())
    leadership = context.fleet.replica_by_host[context.led_host].leadership
    leadership.has_lease = lambda: False


@then("it doesn't count as the leader, but leads its term")
def step_impl(context):
    async def read():
        publisher = context.fleet.publisher_by_host[context.led_host]
        replica = context.fleet.replica_by_host[context.led_host]
        return publisher.is_leader, publisher.led_term, replica.hard_state.term

    is_leader, led_term, term = run(context, read())
    assert not is_leader
    assert led_term == term, (led_term, term)


@when("it steps down")
def step_impl(context):
    async def step_down():
        context.fleet.replica_by_host[context.led_host].step_down("a test")

    run(context, step_down())


@then("it leads no term")
def step_impl(context):
    async def read():
        return context.fleet.publisher_by_host[context.led_host].led_term

    assert run(context, read()) is None
