"""Steps of replacements.feature."""

from behave import then, when

from almondfield_control.publishing.tests.replacement_history import History
from almondfield_testing import run


def play(context, first, last, has_overlap):
    context.record_by_seed = {
        seed: run(context, start(seed, has_overlap)) for seed in range(first, last + 1)
    }


async def start(seed, has_overlap):
    return await History(seed, has_overlap).run()


def failures(context, select):
    by_seed = {seed: select(item) for seed, item in context.record_by_seed.items()}
    return {seed: found for seed, found in by_seed.items() if found}


@when(
    "control hosts are replaced, wiped, killed and cut off with seeds {first:d} to "
    "{last:d}"
)
def step_impl(context, first, last):
    play(context, first, last, has_overlap=False)


@when(
    "hosts are lost beside restarts and cuts of others with seeds {first:d} to {last:d}"
)
def step_impl(context, first, last):
    play(context, first, last, has_overlap=True)


@then("each time a host that is back votes and holds the newest version in 4 s")
def step_impl(context):
    found = failures(context, lambda record: record.not_back)
    assert not found, found


@then("no more than {limit_s:g} s pass without a commit")
def step_impl(context, limit_s):
    found = failures(
        context, lambda record: [item for item in record.pauses_s if item[0] > limit_s]
    )
    assert not found, found


@then("every acknowledged version is read back")
def step_impl(context):
    found = failures(context, lambda record: record.unread)
    assert not found, found


@then("there is at most {limit:d} voter more than hosts that run")
def step_impl(context, limit):
    found = failures(
        context, lambda record: record.surplus if record.surplus > limit else 0
    )
    assert not found, found
