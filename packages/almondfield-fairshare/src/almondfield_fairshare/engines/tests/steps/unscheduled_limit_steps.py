"""Steps of unscheduled_limit.feature."""

from math import isclose

from behave import given, then, when

from almondfield_fairshare.engines import UnscheduledLimit

INTERVAL_S = 0.1


@given('teams "a", "b" and "c" have {a:g}, {b:g} and {c:g} undecided prompts a second')
def step_impl(context, a, b, c):
    context.undecided_per_s_by_team = {"a": a, "b": b, "c": c}
    context.limit = UnscheduledLimit()


@given('team "{team}" has had its share')
def step_impl(context, team):
    context.undecided_per_s_by_team[team] = 0.0


@when("{used:g} of the engines is in use for {seconds:g} s")
def step_impl(context, used, seconds):
    for _ in range(round(seconds / INTERVAL_S)):
        context.limit.update(context.undecided_per_s_by_team, used)


def begun_per_s(context, team):
    per_s = context.undecided_per_s_by_team[team]
    return context.limit.share(per_s) * per_s


@then("all undecided prompts may be begun")
def step_impl(context):
    rates = context.undecided_per_s_by_team.values()
    assert all(context.limit.share(rate) == 1 for rate in rates)


@then('{share:g} of the undecided prompts of team "{team}" may be begun')
def step_impl(context, share, team):
    per_s = context.undecided_per_s_by_team[team]
    assert context.limit.share(per_s) == share, context.limit.share(per_s)


@then('the same number of "{a}" and "{b}" may be begun, or all of "{a}"')
def step_impl(context, a, b):
    is_all = context.limit.share(context.undecided_per_s_by_team[a]) == 1
    assert is_all or isclose(begun_per_s(context, a), begun_per_s(context, b))


@then("at most {most:g} undecided prompts a second may be begun")
def step_impl(context, most):
    total = sum(begun_per_s(context, team) for team in context.undecided_per_s_by_team)
    assert total <= most, total
