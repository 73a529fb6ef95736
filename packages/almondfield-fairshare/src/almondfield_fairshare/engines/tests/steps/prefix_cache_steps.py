"""Steps of prefix_cache.feature."""

from behave import given, then, when

from almondfield_core.routing import Prompt, PromptPart
from almondfield_fairshare.engines import (
    EngineScheduler,
    EngineServer,
    PrefixCache,
    SentPrefix,
)
from almondfield_fairshare.engines.prefix_cache import prefix_blocks
from almondfield_testing import run

TOKENS = 100
SLOTS = 8
CACHE_TOKENS = 10_000
WINDOW_S = 4.0


def names(first, last):
    """Return the names from one to another that differ in their last digit."""
    return [f"{first[:-1]}{n}" for n in range(int(first[-1]), int(last[-1]) + 1)]


@given("a cache of {tokens:d} tokens")
def step_impl(context, tokens):
    context.cache = PrefixCache(tokens)


@when('prefixes "{first}" to "{last}" of {tokens:d} tokens are restored')
def step_impl(context, first, last, tokens):
    for name in names(first, last):
        context.cache.restore(((name, tokens),))


@given('prompts "{first}" to "{last}" of {tokens:d} tokens are cached')
@when('prompts "{first}" to "{last}" of {tokens:d} tokens are cached')
def step_impl(context, first, last, tokens):
    for name in names(first, last):
        context.cache.add(((name, tokens),), 0)


@then('"{expected}" are cached of "{first}" to "{last}"')
def step_impl(context, expected, first, last):
    cached = [
        name
        for name in names(first, last)
        if context.cache.count_cached(((name, 1),)) == 1
    ]
    assert cached == expected.split(", "), cached


@when("{count:d} prompts of 0 tokens are cached")
def step_impl(context, count):
    for number in range(count):
        context.cache.add(((f"p{number}", 0),), 0)


@when("{count:d} prefixes of 0 tokens are restored")
def step_impl(context, count):
    for number in range(count):
        context.cache.restore(((f"r{number}", 0),))


@then("the cache has {count:d} blocks")
def step_impl(context, count):
    assert len(context.cache.tokens_by_key) == count, len(context.cache.tokens_by_key)


def sent_prefix(name, server, started_ms):
    """Return a report on one shared part that an engine got."""
    prompt = Prompt("m", TOKENS, 0, (PromptPart(name, TOKENS),))
    return SentPrefix(server, started_ms, prompt)


def start_scheduler(context):
    async def start():
        context.scheduler = EngineScheduler(WINDOW_S)

    run(context, start())


@when('a scheduler is told of prefix "{name}" at an engine that started at {started:d}')
def step_impl(context, name, started):
    start_scheduler(context)
    context.scheduler.restore_prefix(sent_prefix(name, "e1", started))


@when("the engine, which started at {started:d}, becomes known")
def step_impl(context, started):
    async def announce():
        context.scheduler.set_servers(
            [EngineServer("e1", started, SLOTS, CACHE_TOKENS)]
        )

    run(context, announce())


@then('the engine has {tokens:d} tokens of prefix "{name}"')
def step_impl(context, tokens, name):
    engine = context.scheduler._engine_by_name["e1"]
    blocks = prefix_blocks(sent_prefix(name, "e1", 0).prefix)
    assert engine.cached_tokens(blocks) == tokens, engine.cached_tokens(blocks)


@when("a scheduler is told of {count:d} prefixes at engines that do not come")
def step_impl(context, count):
    start_scheduler(context)
    for number in range(count):
        context.scheduler.restore_prefix(sent_prefix(f"t{number}", f"e{number}", 0))


@then("it holds at most {count:d} of them")
def step_impl(context, count):
    held = context.scheduler.pool._held_prefixes._prefixes_by_server
    assert len(held) <= count, len(held)
