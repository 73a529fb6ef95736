"""Steps of notices.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.forwarding.tests.requests import PROMPT, serve
from almondfield_daemon.server_notices import Leaving, RetryAfter
from almondfield_testing import run


def servers_of(context, which):
    """Return the servers that a step names."""
    if which == "every":
        return context.servers
    return [context.servers[("the first", "the second").index(which)]]


@given("answers of {which} server say that it leaves")
def step_impl(context, which):
    for server in servers_of(context, which):
        server.notices = (Leaving(),)


@given("answers of {which} server give a retry time of {seconds:g} s")
def step_impl(context, which, seconds):
    for server in servers_of(context, which):
        server.notices = (RetryAfter(seconds),)


@when("{count:d} requests with prompts are served in {seconds:g} s")
def step_impl(context, count, seconds):
    context.route = replace(context.route, has_prompt=True)
    serve_all(context, count, seconds / count, PROMPT)


@when("{count:d} requests without prompts are served in {seconds:g} s")
def step_impl(context, count, seconds):
    serve_all(context, count, seconds / count, None)


@when("{count:d} requests are served, {seconds:g} s apart")
def step_impl(context, count, seconds):
    serve_all(context, count, seconds, None)


def serve_all(context, count, gap_s, prompt):
    """Serve requests at even intervals, and record when the first server got them."""
    received_s = context.received_s = []

    async def load():
        first = context.servers[0]
        answer = first.answer

        async def recording_answer(call, request_id):
            received_s.append(now())
            return await answer(call, request_id)

        first.answer = recording_answer
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.ensure_future(serve(context, prompt=prompt)))
            await asyncio.sleep(gap_s)
        context.all_served = await asyncio.gather(*tasks)
        first.answer = answer

    run(context, load())


@then("the {which} server received {count:d} in all")
def step_impl(context, which, count):
    (server,) = servers_of(context, f"the {which}")
    assert len(server.received) == count, server.received


@then("its second request came {least:g} to {most:g} s after the first")
def step_impl(context, least, most):
    first_s, second_s = context.received_s
    assert least <= second_s - first_s <= most, context.received_s


@then("no other request was refused")
def step_impl(context):
    problems = [problem for problem, *_ in context.all_served if problem is not None]
    assert not problems, problems


@then("each was refused at once")
def step_impl(context):
    for problem, _, _, took_s in context.all_served:
        assert problem.status == 503, problem
        assert took_s < 0.01, took_s


@then("it may return after {least:g} to {most:g} s")
def step_impl(context, least, most):
    problem, *_ = context.served
    assert least <= problem.retry_after_s <= most, problem


@then("the last request to the scheduler excluded the first server only")
def step_impl(context):
    excluded = context.engines.requests[-1].excluded
    assert set(excluded) == {context.servers[0].name}, excluded


@then("no notice was recorded")
def step_impl(context):
    counts = context.forwarder._servers._notices.count_by_kind
    assert not counts, counts
