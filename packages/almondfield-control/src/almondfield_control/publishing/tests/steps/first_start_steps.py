"""Steps of first_starts.feature."""

import random

from behave import then, when

from almondfield_control.publishing.tests.first_start import (
    FOLDER_STEPS,
    count_steps,
    play_first_start,
)
from almondfield_testing import run


def play_each_step(context, host, wipe):
    steps = run(context, count_steps())[host]
    context.record_by_case = {
        step: run(context, play_first_start({host: step}, wipe=wipe))
        for step in range(1, steps + 1)
    }


@when("{host} is killed before each step of the first start in turn, and comes back")
def step_impl(context, host):
    play_each_step(context, host, wipe=False)


@when("{host} loses its disk before each step of the first start in turn")
def step_impl(context, host):
    play_each_step(context, host, wipe=True)


@when("all seeds are killed once they have folders, with seeds {first:d} to {last:d}")
def step_impl(context, first, last):
    context.record_by_case = {
        seed: run(context, _kill_all(seed)) for seed in range(first, last + 1)
    }


async def _kill_all(seed):
    rng = random.Random(seed)
    steps_by_host = await count_steps()
    kills = {
        host: rng.randint(FOLDER_STEPS + 1, steps_by_host[host])
        for host in ("c1", "c2", "c3")
    }
    return await play_first_start(kills, seed)


@then("each time one group forms within 5 s of its return and accepts a table")
def step_impl(context):
    assert context.record_by_case
    failures = {
        case: record
        for case, record in context.record_by_case.items()
        if record.failure or record.groups != 1
    }
    assert not failures, failures


@then("each time one group forms, or hosts tell that their folders must be emptied")
def step_impl(context):
    assert context.record_by_case
    failures = {
        case: record
        for case, record in context.record_by_case.items()
        if record.groups != (0 if record.failure else 1)
        or (
            record.failure
            and not any("folder to be emptied" in text for text in record.waiting_for)
        )
    }
    assert not failures, failures
