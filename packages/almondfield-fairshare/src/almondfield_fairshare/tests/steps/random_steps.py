"""Steps on random schedules, which run in several processes."""

from concurrent.futures import ProcessPoolExecutor

from behave import then, when

from sharing_random import run_schedule

WORKERS = 4
CHUNK = 10


@when("{count:d} random schedules are run")
def step_impl(context, count):
    with ProcessPoolExecutor(WORKERS) as workers:
        results = list(workers.map(run_schedule, range(count), chunksize=CHUNK))
    context.violations = [item for violations in results for item in violations]
    context.runs = len(results)


@then("no schedule violated a guarantee")
def step_impl(context):
    assert context.runs > 0
    assert not context.violations, "\n".join(context.violations)
