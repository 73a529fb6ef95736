"""Steps of engines.feature."""

import asyncio
from collections import defaultdict
from dataclasses import replace

from behave import given, then, when

from almondfield_core.routing import Prompt, PromptPart
from almondfield_fairshare.engines import (
    Admitted,
    AttemptId,
    PromptRequest,
    Refused,
)
from almondfield_fairshare.engines.answer_delay import AnswerDelay
from almondfield_fairshare.engines.tests.standins import OUTPUT_TOKEN_S, Workload
from almondfield_testing import run

UNIQUE_TOKENS = 2000
SMALL_TEAM_SHARE = 0.03
OTHER_SHARED_TOKENS = 300


def start(context, engines, rate_factor=None):
    async def create():
        context.workload = Workload(engines)
        if rate_factor:
            engine = context.workload.engine_by_name["engine-0"]
            engine.rate *= rate_factor

    run(context, create())


def fresh_prompt(workload):
    return workload.prompt(f"prefix-{workload.rng.randrange(40)}", UNIQUE_TOKENS, 300)


def prompts_per_s(workload, times):
    """Return the rate of prompts that is a multiple of the engines' capacity."""
    rate = sum(engine.rate for engine in workload.engine_by_name.values())
    return times * rate / UNIQUE_TOKENS


def decide(context, **changes):
    async def call_scheduler():
        prompt = Prompt("m", 3000, 10, (PromptPart("s", 2000), PromptPart("o", 1000)))
        request = PromptRequest("team", prompt, 0.8)
        request = replace(request, **changes)
        work_per_s = getattr(context, "work_per_s", 0)
        context.decision = context.workload.scheduler.decide(
            AttemptId("r", 0), request, work_per_s
        )

    run(context, call_scheduler())
    return context.decision


def end_attempt(context):
    async def end():
        context.workload.scheduler.end(AttemptId("r", 0))

    run(context, end())


@given("{count:d} engines")
def step_impl(context, count):
    start(context, count)


@given("{count:d} engines with {seconds:g} s of work that is unknown to the scheduler")
def step_impl(context, count, seconds):
    start(context, count)

    async def occupy():
        for engine in context.workload.engine_by_name.values():
            await engine.lock.acquire()
            asyncio.get_running_loop().call_later(seconds, engine.lock.release)

    run(context, occupy())


@given("{count:d} engines, one with a fifth of the prefill rate")
def step_impl(context, count):
    start(context, count, rate_factor=0.2)


@when(
    "prompts with {prefixes:d} prefixes of {size:d} tokens arrive {rate:g} times a "
    "second for {seconds:g} s"
)
def step_impl(context, prefixes, size, rate, seconds):
    workload = context.workload

    def make_prompt():
        return workload.prompt(f"prefix-{workload.rng.randrange(prefixes)}", 500, size)

    run(context, workload.generate(seconds, [("team", rate, make_prompt)]))


@then("every prefix was prefilled by at most {most:d} engines")
def step_impl(context, most):
    engines_by_prefix = defaultdict(set)
    for name, engine in context.workload.engine_by_name.items():
        for part in engine.prefilled_part_ids:
            if part.startswith("prefix-"):
                engines_by_prefix[part].add(name)
    most_engines = max(len(engines) for engines in engines_by_prefix.values())
    assert most_engines <= most, f"a prefix was prefilled by {most_engines} engines"


@then("at least {share:g} of the requests were admitted")
def step_impl(context, share):
    decisions = [d for _, _, d in context.workload.outcomes]
    admitted = sum(isinstance(d, Admitted) for d in decisions) / len(decisions)
    assert admitted >= share, f"{admitted:.3f} of {len(decisions)}"


@when("{teams:d} teams request {times:g} times the engines' capacity for {seconds:g} s")
def step_impl(context, teams, times, seconds):
    workload = context.workload
    rate = prompts_per_s(workload, times) / teams
    streams = [
        (f"team-{n}", rate, lambda: fresh_prompt(workload)) for n in range(teams)
    ]
    context.seconds = seconds
    run(context, workload.generate(seconds, streams))


@when('team "{team}" requests {times:g} times the engines\' capacity for {seconds:g} s')
def step_impl(context, team, times, seconds):
    workload = context.workload
    streams = [(team, prompts_per_s(workload, times), lambda: fresh_prompt(workload))]
    run(context, workload.generate(seconds, streams))


@when(
    'team "{team}" requests {times:g} times the engines\' capacity beside '
    "{count:d} small teams"
)
def step_impl(context, team, times, count):
    workload = context.workload
    small_rate = prompts_per_s(workload, SMALL_TEAM_SHARE)
    streams = [
        (f"small-{n}", small_rate, lambda: fresh_prompt(workload)) for n in range(count)
    ]
    streams.append(
        (team, prompts_per_s(workload, times), lambda: fresh_prompt(workload))
    )
    context.seconds = 20.0

    async def generate():
        send = context.limited_router() if hasattr(context, "limited_router") else None
        task = asyncio.ensure_future(send) if send else None
        await workload.generate(context.seconds, streams)
        if task:
            task.cancel()

    run(context, generate())


@when('teams "{a}" and "{b}" request {x:g} and {y:g} times the engines\' capacity')
def step_impl(context, a, b, x, y):
    workload = context.workload
    streams = [
        (a, prompts_per_s(workload, x), lambda: fresh_prompt(workload)),
        (b, prompts_per_s(workload, y), lambda: fresh_prompt(workload)),
    ]
    run(context, workload.generate(20.0, streams))


@then("at least {share:g} of the answers began within {target:g} s")
def step_impl(context, share, target):
    first_s = context.workload.first_s
    in_time = sum(item <= target for item in first_s) / len(first_s)
    assert in_time >= share, f"{in_time:.3f} of {len(first_s)}"


@then("the engines were busy for at least {share:g} of the time")
def step_impl(context, share):
    engines = context.workload.engine_by_name.values()
    busy_s = sum(engine.prefilled_tokens / engine.rate for engine in engines)
    busy = busy_s / (context.seconds * len(engines))
    assert busy >= share, f"{busy:.3f}"


@then("each small team had at least {share:g} of its requests admitted")
def step_impl(context, share):
    names = {team for team, _, _ in context.workload.outcomes}
    teams = {team for team in names if team.startswith("small-")}
    admitted = {team: round(context.workload.admitted_share(team), 3) for team in teams}
    assert min(admitted.values()) >= share, admitted


@then('the work of "{a}" and "{b}" differs by less than {share:g} of the larger')
def step_impl(context, a, b, share):
    work = context.workload.work(a), context.workload.work(b)
    assert max(work) - min(work) < share * max(work), work


@when('a request excludes "{server}"')
def step_impl(context, server):
    decide(context, excluded=(server,))


@when('a request has the hint "{server}"')
def step_impl(context, server):
    decide(context, hint=server)


@then('it is admitted at "{server}"')
def step_impl(context, server):
    assert isinstance(context.decision, Admitted), context.decision
    assert context.decision.server == server, context.decision


@when("all engines are removed")
def step_impl(context):
    context.workload.scheduler.set_servers([])


@then("a request is refused")
def step_impl(context):
    assert isinstance(decide(context), Refused), context.decision


@then("a request is admitted")
def step_impl(context):
    assert isinstance(decide(context), Admitted), context.decision


@given('a prompt that "{server}" has cached')
def step_impl(context, server):
    first = decide(context)
    end_attempt(context)
    again = decide(context)
    assert again.uncached_tokens < first.uncached_tokens, (first, again)


@when('"{server}" restarts')
def step_impl(context, server):
    restarted = [
        replace(item, started_ms=2) if item.name == server else item
        for item in context.workload.servers
    ]

    async def restart():
        context.workload.scheduler.set_servers(restarted)

    run(context, restart())


@then("the whole prompt counts as uncached")
def step_impl(context):
    assert decide(context).uncached_tokens == 3000, context.decision


@given('a router restores {count:d} prompts of {tokens:d} tokens at "{server}"')
@when('a router restores {count:d} prompts of {tokens:d} tokens at "{server}"')
def step_impl(context, count, tokens, server):
    async def restore():
        for number in range(count):
            attempt = AttemptId("lost-router", number)
            context.workload.scheduler.restore(attempt, server, tokens)

    run(context, restore())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    async def wait():
        await asyncio.sleep(seconds)
        context.workload.scheduler.remove_expired()

    run(context, wait())


@when("that router is lost")
def step_impl(context):
    async def remove():
        context.workload.scheduler.remove_router("lost-router")

    run(context, remove())


@then("every refusal had a retry time between {least:g} and {most:g} s")
def step_impl(context, least, most):
    retries_s = [
        d.retry_after_s
        for _, _, d in context.workload.outcomes
        if isinstance(d, Refused)
    ]
    assert retries_s, "nothing was refused"
    assert least <= min(retries_s), min(retries_s)
    assert max(retries_s) <= most, max(retries_s)


@given("a team that has used twice its share")
def step_impl(context):
    end_attempt(context)
    # The team has used 2 * 3020 tokens of work in the window of 4 s.
    context.work_per_s = 3020 / 4


@when('a request of that team arrives while "{server}" prefills {tokens:d} tokens')
def step_impl(context, server, tokens):
    end_attempt(context)

    async def start_prefill():
        context.workload.scheduler.restore(AttemptId("r", 1), server, tokens)

    run(context, start_prefill())
    decide(context)


@when("a request that lost its engine is repeated")
def step_impl(context):
    decide(context, is_repeat=True)


@given("callers that retry once, at the retry time of the refusal")
def step_impl(context):
    context.workload.retries_once = True


@given("callers whose deadlines differ")
def step_impl(context):
    context.workload.deadlines_differ = True


@given("{count:d} engines whose nominal rate is {share:g} of what they can do")
def step_impl(context, count, share):
    start(context, count)
    context.workload.work_per_s *= share


@when(
    "{hot:d} teams request {times:g} times the engines' capacity each beside "
    "{small:d} small teams for {seconds:g} s"
)
def step_impl(context, hot, times, small, seconds):
    workload = context.workload
    rate_by_team = {f"hot-{n}": prompts_per_s(workload, times) for n in range(hot)}
    small_rate = prompts_per_s(workload, SMALL_TEAM_SHARE)
    rate_by_team |= {f"small-{n}": small_rate for n in range(small)}
    context.seconds = seconds
    streams = [
        (team, rate, lambda: fresh_prompt(workload))
        for team, rate in rate_by_team.items()
    ]
    run(context, workload.generate(seconds, streams))


@given("{count:d} engines whose first events take {delay:g} s beyond the prefill")
def step_impl(context, count, delay):
    start(context, count)
    for engine in context.workload.engine_by_name.values():
        engine.first_event_delay_s = delay


@when(
    "{teams:d} teams request {times:g} times the engines' capacity in prompts of "
    "{tokens:d} tokens for {seconds:g} s"
)
def step_impl(context, teams, times, tokens, seconds):
    workload = context.workload
    rate = prompts_per_s(workload, times) * UNIQUE_TOKENS / tokens / teams

    def make_prompt():
        prefix = f"prefix-{workload.rng.randrange(40)}"
        return workload.prompt(prefix, tokens, OTHER_SHARED_TOKENS)

    context.seconds = seconds
    streams = [(f"team-{n}", rate, make_prompt) for n in range(teams)]
    run(context, workload.generate(seconds, streams))


@when(
    "the delay of answers is {delay:g} s, and those of {count:d} queued prompts vary "
    "around the estimate"
)
def step_impl(context, delay, count):
    context.answer_delay = AnswerDelay()
    for _ in range(count):
        context.answer_delay.record(delay, was_queued=False)
    for number in range(count):
        variation_s = 0.01 if number % 2 else -0.01
        estimate_s = context.answer_delay.seconds
        context.answer_delay.record(estimate_s + variation_s, was_queued=True)


@then("the estimated delay is at most {delay:g} s")
def step_impl(context, delay):
    assert context.answer_delay.seconds <= delay, context.answer_delay.seconds


@given("callers with a latency target of {target:g} s")
def step_impl(context, target):
    context.workload.target_s = target


@given(
    "{count:d} engines with {slots:d} slots, whose nominal rate is what they allow for "
    "answers of {seconds:g} s"
)
def step_impl(context, count, slots, seconds):
    async def create():
        workload = context.workload = Workload(count, slots)
        workload.output_tokens = round(seconds / OUTPUT_TOKEN_S)
        context.prompts_per_s = count * slots / seconds
        work = UNIQUE_TOKENS + OTHER_SHARED_TOKENS + 2 * workload.output_tokens
        workload.work_per_s = context.prompts_per_s * work

    run(context, create())


@when(
    "{hot:d} teams request {times:g} times what the slots allow beside {small:d} small "
    "teams for {seconds:g} s"
)
def step_impl(context, hot, times, small, seconds):
    workload = context.workload
    rate_by_team = {f"hot-{n}": times * context.prompts_per_s for n in range(hot)}
    small_rate = SMALL_TEAM_SHARE * context.prompts_per_s
    rate_by_team |= {f"small-{n}": small_rate for n in range(small)}
    streams = [
        (team, rate, lambda: fresh_prompt(workload))
        for team, rate in rate_by_team.items()
    ]
    run(context, workload.generate(seconds, streams))


@then("no hot team got more than {factor:g} times the work of another")
def step_impl(context, factor):
    teams = {team for team, _, _ in context.workload.outcomes if team[:3] == "hot"}
    works = [context.workload.work(team) for team in teams]
    assert max(works) <= factor * min(works), works


@when("a request is refused and comes back {seconds:g} s later to idle engines")
def step_impl(context, seconds):
    async def refuse():
        prompt = Prompt("m", 3000, 10, (PromptPart("s", 2000), PromptPart("o", 1000)))
        context.workload.scheduler.record_refused(prompt.identifier)
        await asyncio.sleep(seconds)

    run(context, refuse())
    decide(context)


@then(
    'at least {share:g} of the answers to "{team}" began within {target:g} s of the '
    "first try"
)
def step_impl(context, share, team, target):
    first_s = context.workload.first_s_by_team[team]
    in_time = sum(item <= target for item in first_s) / len(first_s)
    assert in_time >= share, f"{in_time:.3f} of {len(first_s)}"


@when("a request that has waited {seconds:g} s arrives")
def step_impl(context, seconds):
    decide(context, waited_s=seconds)


@given('a router that can use only "{server}", which has a long prefill queue')
def step_impl(context, server):
    workload = context.workload
    others = tuple(name for name in workload.engine_by_name if name != server)

    async def send_requests():
        for number in range(200):
            workload.scheduler.restore(AttemptId("cut", number), server, 50_000)
            prompt = workload.prompt("cut", UNIQUE_TOKENS, 300)
            request = PromptRequest("cut", prompt, 0.8, excluded=others)
            decision = workload.scheduler.decide(
                AttemptId("cut-off", number), request, workload.work_per_s
            )
            assert isinstance(decision, Refused), decision
            await asyncio.sleep(0.2)

    context.limited_router = send_requests


@then('team "{team}" had at least {share:g} of its requests admitted')
def step_impl(context, team, share):
    admitted = context.workload.admitted_share(team)
    assert admitted >= share, f"{admitted:.3f}"


@then("the engines were busy for at most {share:g} of the time")
def step_impl(context, share):
    engines = context.workload.engine_by_name.values()
    busy = sum(e.prefilled_tokens / e.rate for e in engines) / (20.0 * len(engines))
    assert busy <= share, f"{busy:.3f}"


@when(
    "prompts with {prefixes:d} prefixes of {size:d} tokens and {unique:d} unique "
    "tokens arrive {rate:g} times a second with a target of {target:g} s"
)
def step_impl(context, prefixes, size, rate, unique, target):
    workload = context.workload
    workload.target_s = target
    workload.work_per_s *= 2  # the nominal work includes cached tokens

    def make_prompt():
        return workload.prompt(
            f"prefix-{workload.rng.randrange(prefixes)}", unique, size
        )

    run(context, workload.generate(20.0, [("team", rate, make_prompt)]))


@given("callers with a timeout of {seconds:g} s")
def step_impl(context, seconds):
    context.workload.caller_timeout_s = seconds


@then("at most {share:g} of the admitted callers timed out")
def step_impl(context, share):
    timed_out, answered = (
        context.workload.callers_timed_out,
        len(context.workload.first_s),
    )
    assert timed_out <= share * (timed_out + answered), (timed_out, answered)


@when('"{server}" refuses a request as full')
def step_impl(context, server):
    decide(context, excluded=("engine-1",))
    assert context.decision.server == server

    async def refuse():
        context.workload.scheduler.end(AttemptId("r", 0), was_refused=True)

    run(context, refuse())


@then('the next {count:d} requests are admitted at "{server}"')
def step_impl(context, count, server):
    for number in range(count):
        prompt = context.workload.prompt(f"fresh-{number}", 100, 300)
        decide(context, prompt=prompt)
        assert context.decision.server == server, context.decision
        end_attempt(context)


@then("it is refused")
def step_impl(context):
    assert isinstance(context.decision, Refused), context.decision


@given("{count:d} requests that lost their engine arrive after {seconds:g} s")
def step_impl(context, count, seconds):
    workload = context.workload

    async def submit_all():
        await asyncio.sleep(seconds)
        prompts = [
            workload.prompt(f"lost-{n}", UNIQUE_TOKENS, 300) for n in range(count)
        ]
        requests = [
            workload.submit("lost", prompt, is_repeat=True) for prompt in prompts
        ]
        await asyncio.gather(*requests)

    async def begin():
        context.lost = asyncio.ensure_future(submit_all())

    run(context, begin())


@then(
    "at least {share:g} of the other requests between {least:g} and {most:g} s were "
    "admitted"
)
def step_impl(context, share, least, most):
    workload = context.workload
    seen = [ok for sent_s, ok in workload.admissions if least < sent_s < most]
    assert sum(seen) >= share * len(seen), (sum(seen), len(seen))


@given('team "b" has used 4 times its share, and team "a" 2 times')
def step_impl(context):
    # Each decision counts 3020 tokens of work; the window is 4 s.
    context.work_per_s = 2 * 3020 / 4

    async def record_usage():
        shares = context.workload.scheduler._shares
        for team, count in (("b", 4), ("a", 2)):
            for _ in range(count):
                shares.record_demand(team, 3020)
                shares.record_grant(team, 3020)

    run(context, record_usage())


@when('team "a" is refused, and team "b" sends a request while the engines are idle')
def step_impl(context):
    names = tuple(context.workload.engine_by_name)

    async def fill():
        for name in names:
            context.workload.scheduler.restore(AttemptId("r", name), name, 50_000)

    async def empty():
        for name in names:
            context.workload.scheduler.end(AttemptId("r", name))

    run(context, fill())
    decide(context, team="a")
    assert isinstance(context.decision, Refused), context.decision
    run(context, empty())
    decide(context, team="b")


@when('team "b" sends a request while the engines are idle')
def step_impl(context):
    decide(context, team="b")


@then("it is admitted")
def step_impl(context):
    assert isinstance(context.decision, Admitted), context.decision


@when("{count:d} teams send one request each")
def step_impl(context, count):
    context.work_per_s = 1.0
    for number in range(count):
        decide(context, team=f"team-{number}")


@then("the scheduler has no record of any team")
def step_impl(context):
    shares = context.workload.scheduler._shares
    assert not shares._demand_by_team, len(shares._demand_by_team)
    assert not shares._granted_by_team, len(shares._granted_by_team)
    assert not shares._refusal_by_team, len(shares._refusal_by_team)


@when("a request is admitted, but its router gives up before it is told")
def step_impl(context):
    decide(context)

    async def end():
        context.workload.scheduler.end(AttemptId("r", 0), was_sent=False)

    run(context, end())


@then("the load has {admitted:d} admitted and {unsent:d} unsent request")
def step_impl(context, admitted, unsent):
    async def collect():
        return context.workload.scheduler.collect_load()

    load = run(context, collect())
    assert (load.admitted, load.unsent) == (admitted, unsent), load


@given("a team whose share is {count:d} requests in the window")
def step_impl(context, count):
    # Each decision counts 3020 tokens of work; the window is 4 s.
    context.work_per_s = count * 3020 / 4


@when("{count:d} requests are admitted, but their routers give up before they are told")
def step_impl(context, count):
    async def end():
        context.workload.scheduler.end(AttemptId("r", 0), was_sent=False)

    for _ in range(count):
        decide(context)
        assert isinstance(context.decision, Admitted), context.decision
        run(context, end())


@when("a request is admitted and answered")
def step_impl(context):
    decide(context)

    async def answer():
        scheduler = context.workload.scheduler
        scheduler.begin_answer(AttemptId("r", 0), context.decision.server)
        scheduler.end(AttemptId("r", 0))

    run(context, answer())


@then("the team has used {share:g} of its share")
def step_impl(context, share):
    async def usage():
        shares = context.workload.scheduler._shares
        return shares.usage("team", context.work_per_s, used_share=1.0)

    assert run(context, usage()) == share, run(context, usage())


@when("{count:d} requests are admitted on a running clock, but none is sent")
def step_impl(context, count):
    async def admit():
        workload = Workload(2)
        request = PromptRequest("team", fresh_prompt(workload), 0.8)
        for number in range(count):
            attempt = AttemptId("r", number)
            decision = workload.scheduler.decide(attempt, request, workload.work_per_s)
            assert isinstance(decision, Admitted), decision
            workload.scheduler.end(attempt, was_sent=False)
        shares = workload.scheduler._shares
        context.usage = shares.usage("team", workload.work_per_s, used_share=1.0)

    asyncio.run(admit())
    asyncio.set_event_loop(context.loop)


@then("the usage of their team was {share:g}")
def step_impl(context, share):
    assert context.usage == share, context.usage
