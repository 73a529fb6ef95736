"""Steps of replacements.feature."""

from behave import then, when

from almondfield_control.publishing.tests.replacement_history import History, Plan
from almondfield_testing import run


def play(context, first, last, plan):
    context.record_by_seed = {
        seed: run(context, start(seed, plan)) for seed in range(first, last + 1)
    }


async def start(seed, plan):
    return await History(seed, plan).run()


def failures(context, select):
    by_seed = {seed: select(item) for seed, item in context.record_by_seed.items()}
    return {seed: found for seed, found in by_seed.items() if found}


@when(
    "control hosts are replaced, wiped, killed and cut off with seeds {first:d} to "
    "{last:d}"
)
def step_impl(context, first, last):
    play(context, first, last, Plan())


@when(
    "hosts are lost beside restarts and cuts of others with seeds {first:d} to {last:d}"
)
def step_impl(context, first, last):
    play(context, first, last, Plan(has_overlap=True))


@when(
    "hosts are lost after an interrupted first start, {losses:d} at once at most, "
    "beside entries of up to 2 MB, with seeds {first:d} to {last:d}"
)
def step_impl(context, losses, first, last):
    plan = Plan(
        seeds=2 * losses + 1,
        lost_disks=losses,
        is_interrupted=True,
        has_large_documents=True,
        kinds=("replace", "renew", "wipe", "kill", "cut"),
    )
    play(context, first, last, plan)


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


@then("memberships that follow each other differ by one voter at most")
def step_impl(context):
    found = failures(context, lambda record: record.jumps)
    assert not found, found
