"""Steps of intake_shares.feature."""

import asyncio

from behave import then, when

from almondfield_fairshare.engines import IntakeShares
from almondfield_testing import run


def read_prompts(context, read_by_team, passed_by_team, seconds):
    """Let a router read prompts at regular intervals, and pass some of them on.

    :param read_by_team: prompts that are read in a second.
    :param passed_by_team: how many of them are passed on.
    """

    async def read(team):
        per_s = read_by_team[team]
        passed = passed_by_team.get(team, 0)
        for number in range(per_s * seconds):
            context.shares.record_read(team)
            if number * passed // per_s < (number + 1) * passed // per_s:
                context.shares.record_passed_on(team)
            await asyncio.sleep(1 / per_s)

    async def read_all():
        context.shares = IntakeShares()
        await asyncio.gather(*(read(team) for team in read_by_team))

    run(context, read_all())


@when(
    'a router reads and passes on {per_s:d} prompts a second of team "{team}" for '
    "{seconds:d} s"
)
def step_impl(context, per_s, team, seconds):
    read_prompts(context, {team: per_s}, {team: per_s}, seconds)


@when(
    'a router reads {per_s_a:d} prompts a second of team "{a}" and {per_s_b:d} of '
    '"{b}", and passes on {passed_b:d} of "{b2}", for {seconds:d} s'
)
def step_impl(context, per_s_a, a, per_s_b, b, passed_b, b2, seconds):
    read_prompts(context, {a: per_s_a, b: per_s_b}, {b: passed_b}, seconds)


@then("it keeps at most {count:d} of them")
def step_impl(context, count):
    kept = sum(
        len(item._items)
        for team in context.shares._team_by_name.values()
        for item in (team.read, team.passed_on)
    )
    assert 0 < kept <= count, kept


@then('"{a}" is below its share and "{b}" is not')
def step_impl(context, a, b):
    async def query():
        return [context.shares.is_below_share(team) for team in (a, b)]

    assert run(context, query()) == [True, False]
