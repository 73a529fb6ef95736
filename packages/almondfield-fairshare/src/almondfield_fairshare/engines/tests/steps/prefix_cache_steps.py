"""Steps of prefix_cache.feature."""

from behave import given, then, when

from almondfield_fairshare.engines import PrefixCache


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
