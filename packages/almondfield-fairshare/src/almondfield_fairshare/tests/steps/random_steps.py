"""Steps on random schedules, spread over processes."""

from concurrent.futures import ProcessPoolExecutor

from behave import then, when

from sharing_random import run_schedule

WORKERS = 4
CHUNK = 10


@when("{count:d} random schedules are run")
def step_impl(context, count):
    with ProcessPoolExecutor(WORKERS) as workers:
        results = list(workers.map(run_schedule, range(count), chunksize=CHUNK))
    context.broken = [one for broken in results for one in broken]
    context.runs = len(results)


@then("none broke a promise")
def step_impl(context):
    assert context.runs > 0
    assert not context.broken, "\n".join(context.broken)
