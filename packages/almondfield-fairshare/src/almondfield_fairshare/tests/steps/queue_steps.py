"""Steps on the queues of one router."""

import asyncio

from behave import given, then, when
from result import Err

from almondfield_core.clock import now
from almondfield_core.messages import NotRunReason, SlotRequest
from almondfield_fairshare.router.queues import QueueMemory
from almondfield_testing import run

LARGE_LIMIT = 1_000_000


def start_request(context, request):
    """Return a task that acquires a slot; its result is (outcome, seconds waited)."""
    share = context.fleet.share_by_host["host-1"]

    async def work():
        began_s = now()
        outcome = await share.acquire(request)
        return outcome, now() - began_s

    async def start():
        task = asyncio.create_task(work())
        await asyncio.sleep(0.001)
        return task

    return run(context, start())


@given('a request of team "{team}" that runs for {seconds:g} s')
def step_impl(context, team, seconds):
    async def start():
        context.callers.call_soon("host-1", "pool", team, seconds)
        await asyncio.sleep(0.05)

    run(context, start())


@given('team "{team}" has {count:d} requests waiting with a queue limit of {limit:d}')
def step_impl(context, team, count, limit):
    request = SlotRequest("pool", team, "/", queue_limit=limit)
    context.waiting = [start_request(context, request) for _ in range(count)]


@given('team "{team}" has {count:d} requests of {size:d} bytes waiting')
def step_impl(context, team, count, size):
    request = SlotRequest("pool", team, "/", body_bytes=size)
    context.waiting = [start_request(context, request) for _ in range(count)]


@given("the router may queue {limit:d} requests")
def step_impl(context, limit):
    set_memory(context, QueueMemory(limit, LARGE_LIMIT))


@given("the router may queue {limit:d} bytes")
def step_impl(context, limit):
    set_memory(context, QueueMemory(LARGE_LIMIT, limit))


def set_memory(context, memory):
    share = context.fleet.share_by_host["host-1"]
    share._memory = memory
    share._pool("pool").queues._memory = memory


@when('team "{team}" sends a request with a deadline of {seconds:g} s')
def step_impl(context, team, seconds):
    request = SlotRequest("pool", team, "/", queue_deadline_s=seconds)
    context.request_task = start_request(context, request)


@when('team "{team}" sends a request with a queue limit of {limit:d}')
def step_impl(context, team, limit):
    context.request_task = start_request(
        context, SlotRequest("pool", team, "/", queue_limit=limit)
    )


@when('team "{team}" sends a request with a body of {size:d} bytes')
def step_impl(context, team, size):
    context.request_task = start_request(
        context, SlotRequest("pool", team, "/", body_bytes=size)
    )


@when("it is cancelled")
def step_impl(context):
    context.request_task.cancel()
    run(context, asyncio.sleep(0.01))


@when("the router drains")
def step_impl(context):
    context.fleet.share_by_host["host-1"].refuse_new()


@then('it is refused as "{reason}" after {seconds:g} s with a retry time')
def step_impl(context, reason, seconds):
    refusal = check_refusal(context, reason, seconds)
    assert refusal.retry_after_s > 0, refusal


@then('it is refused as "{reason}" after {seconds:g} s')
def step_impl(context, reason, seconds):
    check_refusal(context, reason, seconds)


def check_refusal(context, reason, seconds):
    outcome, after_s = run(context, context.request_task)
    assert isinstance(outcome, Err), outcome
    refusal = outcome.unwrap_err()
    assert refusal.reason == NotRunReason(reason), refusal
    assert abs(after_s - seconds) < 0.01, after_s
    return refusal


@then('it waits, and one request of "{team}" is refused as "{reason}"')
def step_impl(context, team, reason):
    outcomes = [task.result()[0] for task in context.waiting if task.done()]
    reasons = [outcome.unwrap_err().reason for outcome in outcomes]
    assert reasons == [NotRunReason(reason)], reasons
    assert not context.request_task.done()


@then("nothing waits")
def step_impl(context):
    async def read():
        return context.fleet.share_by_host["host-1"].stats()

    stats = run(context, read())
    assert (stats.waiting, stats.waiting_bytes) == (0, 0), stats
