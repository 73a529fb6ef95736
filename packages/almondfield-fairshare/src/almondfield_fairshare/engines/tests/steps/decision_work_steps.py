"""Steps of decision_work.feature."""

import asyncio
from collections import Counter

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_core.routing import Prompt, PromptPart
from almondfield_fairshare.engines import (
    AttemptId,
    EngineScheduler,
    EngineServer,
    PromptRequest,
)
from almondfield_testing import count_calls, run

SLOTS = 16
CACHE_TOKENS = 400_000
RATE = 40_000.0  # tokens per second of each engine
LONG_PROMPT_TOKENS = 20_000  # prefilled for as long as the decisions are counted
ROUTER = "router"


def prompt(number):
    """Return a prompt whose first part is that of others."""
    parts = (PromptPart("shared", 4000), PromptPart(f"own-{number}", 1000))
    return Prompt("m", 5000, 100, parts)


@given(
    "{count:d} engines, of which {busy:d} prefill prompts and {full:d} have no free"
    " slot"
)
def step_impl(context, count, busy, full):
    async def create():
        scheduler = EngineScheduler(window_s=4.0)
        names = [f"engine-{n}" for n in range(count)]
        scheduler.set_servers([EngineServer(n, 1, SLOTS, CACHE_TOKENS) for n in names])
        attempts = iter(range(count * (SLOTS + 1)))
        for name in names[:full]:
            for _ in range(SLOTS):
                scheduler.restore(AttemptId(ROUTER, next(attempts)), name, 0)
        for name in names[:busy]:
            attempt = AttemptId(ROUTER, next(attempts))
            scheduler.restore(attempt, name, LONG_PROMPT_TOKENS)
        return scheduler

    context.engines = count
    context.scheduler = run(context, create())


@given("{count:d} of them report that they are slow")
def step_impl(context, count):
    async def report():
        for name in list(context.scheduler.pool.engine_by_name)[:count]:
            context.scheduler.pool.record_slowdown(name, 1, 2.5, now())

    run(context, report())


@when("the calls of {count:d} decisions on prompts are counted, {gap_ms:g} ms apart")
def step_impl(context, count, gap_ms):
    calls = Counter()

    async def decide():
        for number in range(count):
            await asyncio.sleep(gap_ms / 1000)
            request = PromptRequest("team", prompt(number), 0.8)
            attempt = AttemptId("other", number)
            with count_calls(calls):
                context.scheduler.decide(attempt, request, context.engines * RATE)

    run(context, decide())
    context.calls = calls.total() / count


@then("a decision makes at most {limit:d} calls for each engine")
def step_impl(context, limit):
    assert context.calls <= limit * context.engines, context.calls / context.engines
