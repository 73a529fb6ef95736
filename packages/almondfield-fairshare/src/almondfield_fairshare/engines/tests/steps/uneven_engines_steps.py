"""Steps of uneven_engines.feature."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_fairshare.engines import EngineServer
from almondfield_fairshare.engines.tests.standins import StandInEngine, Workload
from almondfield_testing import after_scenario, before_scenario, run

UNREAD_TOKENS = 2000
CACHED_TOKENS = 12_000
CACHED_PARTS = 60
SMALL_TEAM_SHARE = 0.02


@given("{count:d} engines of which some are slow at any moment")
def step_impl(context, count):
    async def create():
        context.workload = Workload(count)
        task = asyncio.ensure_future(context.workload.redraw_slow_engines())
        context.add_cleanup(task.cancel)

    run(context, create())


@given("engines of {first:g}, {second:g} and {third:g} times the rate in turn")
def step_impl(context, first, second, third):
    factors = (first, second, third)
    for number, engine in enumerate(context.workload.engine_by_name.values()):
        engine.rate *= factors[number % len(factors)]


@given("{count:d} engines whose rate is {share:g} of the initial one")
def step_impl(context, count, share):
    async def create():
        context.workload = Workload(count)
        for engine in context.workload.engine_by_name.values():
            engine.rate *= share

    run(context, create())


@when(
    "{teams:d} teams request {times:g} times the engines' capacity beside {small:d} "
    "small teams in prompts with cached parts for {seconds:g} s"
)
def step_impl(context, teams, times, small, seconds):
    workload = context.workload
    rate = sum(engine.rate for engine in workload.engine_by_name.values())

    def make_prompt():
        part = f"prefix-{workload.rng.randrange(CACHED_PARTS)}"
        return workload.prompt(part, UNREAD_TOKENS, CACHED_TOKENS)

    prompts_per_s = rate / UNREAD_TOKENS
    per_s = SMALL_TEAM_SHARE * prompts_per_s
    streams = [(f"small-{n}", per_s, make_prompt) for n in range(small)]
    per_s = times * prompts_per_s / teams
    streams += [(f"hot-{n}", per_s, make_prompt) for n in range(teams)]
    run(context, workload.generate(seconds, streams))


@then(
    "the rates of all engines are estimated at {least:g} to {most:g} of what they are"
)
def step_impl(context, least, most):
    workload = context.workload
    ratios = {
        name: engine.prefill_rate / workload.engine_by_name[name].rate
        for name, engine in workload.scheduler.pool.engine_by_name.items()
    }
    assert least <= min(ratios.values()), ratios
    assert max(ratios.values()) <= most, ratios


@when(
    "{times:g} times the capacity of {count:d} engines is requested with and without "
    "reports of 1.0"
)
def step_impl(context, times, count):
    async def play(reports_slowdown):
        workload = Workload(count)
        for engine in workload.engine_by_name.values():
            engine.slowdown = 1.0
        workload.reports_slowdown = reports_slowdown

        def make_prompt():
            part = f"prefix-{workload.rng.randrange(20)}"
            return workload.prompt(part, UNREAD_TOKENS, 300)

        per_s = times * workload.work_per_s / UNREAD_TOKENS
        await workload.generate(10.0, [("team", per_s, make_prompt)])
        return [decision for _, _, decision in workload.outcomes]

    context.decisions = []
    for reports in (True, False):
        # Each play has a clock that begins at 0, as sums with other times are rounded.
        own = SimpleNamespace()
        before_scenario(own, None)
        context.decisions.append(run(own, play(reports)))
        after_scenario(own, None)
    asyncio.set_event_loop(context.loop)


@then("the decisions are the same")
def step_impl(context):
    with_reports, without = context.decisions
    assert len(without) > 100, len(without)
    differing = [p for p in zip(with_reports, without, strict=True) if p[0] != p[1]]
    assert not differing, (len(differing), differing[0])


@given('"{servers}" reports a slowdown of {slowdown:g}')
@when('"{servers}" reports a slowdown of {slowdown:g}')
def step_impl(context, servers, slowdown):
    async def report():
        pool = context.workload.scheduler.pool
        for server in servers.split(","):
            pool.record_slowdown(server, 1, slowdown, now())

    run(context, report())


@given("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@then('"{server}" has a slowdown of {slowdown:g}')
def step_impl(context, server, slowdown):
    async def slowdowns():
        return context.workload.scheduler.pool.slowdown_by_server()

    assert run(context, slowdowns())[server] == slowdown


@when("a further engine starts")
def step_impl(context):
    workload = context.workload
    servers = [item.server for item in workload.scheduler.pool.engine_by_name.values()]
    rate = workload.engine_by_name["engine-0"].rate
    servers.append(EngineServer("engine-new", 1, 64, 600_000))

    async def start():
        workload.engine_by_name["engine-new"] = StandInEngine(rate, 600_000)
        workload.scheduler.set_servers(servers)

    run(context, start())
