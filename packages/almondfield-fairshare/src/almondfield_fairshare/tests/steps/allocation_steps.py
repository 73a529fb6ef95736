"""Steps of allocation.feature, partly with generated cases."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from almondfield_fairshare.allocation import (
    RouterNeed,
    TeamDemand,
    adjust_targets,
    allocate_to_teams,
    split_over_routers,
)
from almondfield_fairshare.counters import ServiceCounters
from almondfield_fairshare.placement import place_slots

CASES = settings(derandomize=True, max_examples=200, deadline=None, database=None)
NAMES = st.sampled_from("abcdef")
SLOTS = st.integers(0, 60)
DEMAND = st.builds(
    TeamDemand,
    st.integers(0, 40),
    st.floats(0, 100),
    st.sampled_from((0.5, 1.0, 2.0, 5.0)),
)
DEMANDS = st.dictionaries(NAMES, DEMAND, max_size=6)
COUNTS = st.dictionaries(NAMES, st.integers(0, 20), max_size=6)


@then("any allocation gives a team at most one slot per request")
def step_impl(context):
    @CASES
    @for_all(SLOTS, DEMANDS)
    def check(slots, demands):
        allocated = allocate_to_teams(slots, demands, 1.0)
        assert all(allocated[t] <= demand.requests for t, demand in demands.items())

    check()


@then("any allocation leaves no slot idle while a team has requests without one")
def step_impl(context):
    @CASES
    @for_all(SLOTS, DEMANDS)
    def check(slots, demands):
        wanted = sum(demand.requests for demand in demands.values())
        allocated = allocate_to_teams(slots, demands, 1.0)
        assert sum(allocated.values()) == min(slots, wanted)

    check()


@then("any allocation with equal counters is proportional to weight within one slot")
def step_impl(context):
    @CASES
    @for_all(SLOTS, DEMANDS)
    def check(slots, demands):
        equal_demands = {
            t: TeamDemand(d.requests, 0.0, d.weight) for t, d in demands.items()
        }
        allocated = allocate_to_teams(slots, equal_demands, 1.0)
        for more, one in equal_demands.items():
            for less, other in equal_demands.items():
                if allocated[less] < other.requests and allocated[more]:
                    fewer = (allocated[more] - 1) / one.weight
                    assert fewer <= allocated[less] / other.weight + 1e-9

    check()


@then("any split over routers assigns all slots, at most one per request")
def step_impl(context):
    @CASES
    @for_all(SLOTS, COUNTS, st.dictionaries(NAMES, st.floats(-1, 1)))
    def check(slots, requests, credit):
        split = split_over_routers(slots, requests, credit)
        assert sum(split.values()) == min(slots, sum(requests.values()))
        assert all(split[router] <= requests[router] for router in split)

    check()


@then("a router with one of {total:d} requests gets a slot within {rounds:d} rounds")
def step_impl(context, total, rounds):
    requests = {"large": total - 1, "small": 1}
    credit = {"large": 0.0, "small": 0.0}
    slots_of_small = 0
    for _ in range(rounds):
        split = split_over_routers(1, requests, credit)
        slots_of_small += split["small"]
        for router, count in requests.items():
            credit[router] += count / total - split[router]
    assert slots_of_small >= 1, credit


@then("the sum of any targets is at most the pool's slots")
def step_impl(context):
    need = st.builds(
        RouterNeed,
        st.integers(0, 20),
        st.integers(0, 10),
        st.integers(0, 30),
        st.integers(0, 3),
    )

    @CASES
    @for_all(st.integers(0, 10), st.dictionaries(NAMES, need, min_size=1, max_size=6))
    def check(free, needs):
        total = sum(one.granted for one in needs.values()) + free
        targets = adjust_targets(total, free, needs)
        assert sum(targets.values()) <= total
        assert all(target >= 0 for target in targets.values())

    check()


@then("any placement adds only free slots and stays within each server's slots")
def step_impl(context):
    servers = st.dictionaries(NAMES, st.integers(1, 8), min_size=1, max_size=4)
    routers = st.sampled_from(("r1", "r2", "r3"))

    @CASES
    @for_all(servers, st.dictionaries(routers, COUNTS, min_size=1), st.data())
    def check(slots, granted, data):
        held = {s: sum(one.get(s, 0) for one in granted.values()) for s in slots}
        free = {s: max(0, count - held[s]) for s, count in slots.items()}
        target = {router: data.draw(st.integers(0, 20)) for router in granted}
        placed = place_slots(target, granted, {}, free, slots)
        for server, count in slots.items():
            used = sum(one.get(server, 0) for one in placed.values())
            added = sum(
                max(0, one.get(server, 0) - granted[router].get(server, 0))
                for router, one in placed.items()
            )
            assert used <= count
            assert added <= free[server]

    check()


@given('team "{team}" used {service:g} slot-seconds while no other team waited')
def step_impl(context, team, service):
    context.counters = ServiceCounters()
    context.counters.set_backlogged([team], 0.0)
    context.counters.charge("r1", 1, {team: service}, {}, baseline=False)
    context.counters.set_backlogged([team], 0.0)
    context.waiting = [team]


@when('team "{team}" begins to wait')
def step_impl(context, team):
    context.waiting.append(team)
    context.counters.set_backlogged(context.waiting, 0.0)


@when(
    'team "{team}" that used {service:g} slot-seconds begins to wait,'
    " with a debt of at most {debt:g}"
)
def step_impl(context, team, service, debt):
    context.counters.charge("r1", 1, {team: service}, {}, baseline=False)
    context.waiting.append(team)
    context.counters.set_backlogged(context.waiting, debt)


@then('the counters of "{more}" and "{less}" differ by {difference:g}')
def step_impl(context, more, less, difference):
    seen = context.counters.counter(more) - context.counters.counter(less)
    assert abs(seen - difference) < 1e-9, seen


@given('a router reports totals {first:g}, {lost:g} and {last:g} of team "{team}"')
def step_impl(context, first, lost, last, team):
    context.counters = ServiceCounters()
    context.totals = (first, lost, last)
    context.team = team
    context.counters.charge("r1", 1, {team: first}, {}, baseline=True)


@when(
    "the report of {lost:g} is lost, that of {last:g} arrives twice"
    " and that of {late:g} arrives late"
)
def step_impl(context, lost, last, late):
    for total in (last, last, late):
        context.counters.charge("r1", 1, {context.team: total}, {}, baseline=True)


@when("the router restarts and reports a total of {total:g}")
def step_impl(context, total):
    context.counters.charge("r1", 2, {context.team: total}, {}, baseline=False)


@then('team "{team}" was charged {service:g} slot-seconds')
def step_impl(context, team, service):
    assert context.counters.counter(team) == service, context.counters.counter(team)
