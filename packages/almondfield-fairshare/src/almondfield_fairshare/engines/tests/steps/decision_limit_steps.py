"""Steps of decision_limit.feature."""

import asyncio

from behave import given, then, when

from almondfield_fairshare.engines import DecisionLimit
from almondfield_testing import run

ROUND_S = 0.125  # in which each team's prompts and the decisions are recorded


@given('teams "a", "b" and "c" send {a:d}, {b:d} and {c:d} prompts a second')
def step_impl(context, a, b, c):
    context.rate_by_team = {"a": a, "b": b, "c": c}

    async def create():
        return DecisionLimit()

    context.limit = run(context, create())


@when(
    "{decisions:d} decisions a second are made for {seconds:g} s, each {delay_s:g} s"
    " late"
)
def step_impl(context, decisions, seconds, delay_s):
    rates = context.rate_by_team
    total = sum(rates.values())

    async def decide():
        for _ in range(round(seconds / ROUND_S)):
            await asyncio.sleep(ROUND_S)
            for team, rate in rates.items():
                # Each decision stands for as many prompts, so that all are told of.
                made = max(1, round(ROUND_S * decisions * rate / total))
                prompts = round(ROUND_S * rate)
                for number in range(made):
                    share = prompts * (number + 1) // made - prompts * number // made
                    context.limit.record(team, share)
            if context.limit.is_due:
                context.limit.update(delay_s)

    run(context, decide())


def asked_share(context, team):
    return context.limit.share_by_team().get(team, 1.0)


@then("no limit holds for teams {teams}")
def step_impl(context, teams):
    names = teams.replace('"', "").replace(" and ", ", ").split(", ")
    assert set(names) <= set("abc"), names
    limited = set(names) & context.limit.share_by_team().keys()
    assert not limited, context.limit.share_by_team()


@then('at most {share:g} of the prompts of team "{team}" are asked for')
def step_impl(context, share, team):
    assert asked_share(context, team) <= share, context.limit.share_by_team()


def asked_per_s(context):
    rates = context.rate_by_team.items()
    return round(sum(rate * asked_share(context, team) for team, rate in rates))


@then("at least {least:d} prompts a second are asked for")
def step_impl(context, least):
    assert asked_per_s(context) >= least, asked_per_s(context)


@then("at most {most:d} prompts a second are asked for")
def step_impl(context, most):
    assert asked_per_s(context) <= most, asked_per_s(context)
