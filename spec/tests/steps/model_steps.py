"""Steps that search the specifications."""

import sys
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from check import CASES, check


def search(broken):
    """Return the outcomes of the quick cases by the name of the case."""
    cases = [case for case in CASES if case.quick and case.broken == broken]
    assert len(cases) >= 3
    outcome_by_name = {case.name: check(case) for case in cases}
    assert len(outcome_by_name) == len(cases), "two cases have one name"
    return outcome_by_name


@when("every quick specification that must hold is searched")
def step_impl(context):
    context.outcome_by_name = search(broken=False)


@when("every quick broken variant is searched")
def step_impl(context):
    context.outcome_by_name = search(broken=True)


@then("each search ends and finds no violation")
def step_impl(context):
    for name, outcome in context.outcome_by_name.items():
        assert outcome.as_expected, (name, outcome.trace)
        assert not outcome.trace, (name, outcome.trace)


@then("each search finds a counterexample")
def step_impl(context):
    for name, outcome in context.outcome_by_name.items():
        assert outcome.trace, name
