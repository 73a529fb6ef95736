"""Model-checks every specification and each broken variant of it.

Exits with 1 if a specification is violated within its bounds, a search does not
finish, or no counterexample is found for a broken variant. Some cases search for states
from which the specification's goal can't be reached any more.
"""

import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from minicheck import check_liveness, check_safety

sys.path.insert(0, str(Path(__file__).parent))

from claims import claims_protocol
from formation import formation_protocol
from freshness import freshness_protocol
from grants import grants_protocol
from log import log_protocol
from membership import membership_protocol

__all__ = ["CASES", "Case", "Outcome", "check", "main"]

MAX_STATES = 2_000_000
MAX_STATES_BROKEN = 200_000


@dataclass(frozen=True)
class Case:
    """One specification with its bounds.

    :ivar name: name of the case.
    :ivar build: function that returns the protocol.
    :ivar bounds: arguments of ``build``.
    :ivar broken: whether a counterexample must be found.
    :ivar quick: whether the case is small enough to run with the tests.
    :ivar reaches_goal: whether the goal must be reachable from each state, instead of
        the invariants being checked.
    """

    name: str
    build: object
    bounds: dict = field(default_factory=dict)
    broken: bool = False
    quick: bool = True
    reaches_goal: bool = False


@dataclass(frozen=True)
class Outcome:
    """Result of searching the states of a case.

    :ivar states: number of reachable states.
    :ivar as_expected: whether the specification holds, or, for a broken variant,
        whether a counterexample was found.
    :ivar trace: actions of the shortest counterexample; empty without one.
    :ivar seconds: duration of the search in seconds.
    """

    states: int
    as_expected: bool
    trace: tuple[str, ...]
    seconds: float


TWO_CANDIDATES = {"candidates": (0, 2)}

CASES = (
    Case("log", log_protocol, quick=False),
    Case(
        "log, three terms",
        log_protocol,
        TWO_CANDIDATES | {"max_term": 3, "max_changes": 0},
        quick=False,
    ),
    Case("log, quick", log_protocol, {"candidates": (0,), "max_term": 1}),
    Case(
        "log, identity by address",
        log_protocol,
        TWO_CANDIDATES | {"identity_by_address": True},
        broken=True,
    ),
    Case(
        "log, replaced in one step",
        log_protocol,
        TWO_CANDIDATES | {"replace_in_one_step": True, "max_changes": 0},
        broken=True,
        quick=False,
    ),
    Case(
        "log, a change of members begins before the last one is committed",
        log_protocol,
        TWO_CANDIDATES | {"changes_overlap": True, "max_changes": 0},
        broken=True,
    ),
    Case("grants", grants_protocol),
    Case(
        "grants, grant outlives its lease",
        grants_protocol,
        {"grant_outlives_lease": True},
        broken=True,
    ),
    Case(
        "grants, new leader does not wait",
        grants_protocol,
        {"new_leader_skips_wait": True},
        broken=True,
    ),
    Case(
        "grants, renewal during a move",
        grants_protocol,
        {"renews_while_moving": True},
        broken=True,
    ),
    Case("freshness", freshness_protocol),
    Case(
        "freshness, new leader does not wait",
        freshness_protocol,
        {"new_leader_waits": False},
        broken=True,
    ),
    Case(
        "freshness, neighbour acknowledges early",
        freshness_protocol,
        {"neighbour_waits": False},
        broken=True,
    ),
    Case(
        "freshness, quorum read ignores entries",
        freshness_protocol,
        {"read_checks_entries": False},
        broken=True,
    ),
    Case("claims", claims_protocol),
    Case(
        "claims, claim after dispatch",
        claims_protocol,
        {"claim_after_dispatch": True},
        broken=True,
    ),
    Case(
        "claims, lost claim given away",
        claims_protocol,
        {"lost_is_free": True},
        broken=True,
    ),
    Case("formation", formation_protocol, {"wipes": 2}),
    Case("formation, no restarts", formation_protocol, {"restarts": ()}),
    Case("formation, three lost folders", formation_protocol, quick=False),
    Case(
        "formation, emptied folder forms again",
        formation_protocol,
        {"emptied_may_form": True, "restarts": ()},
        broken=True,
    ),
    Case(
        "formation, identity by host",
        formation_protocol,
        {"agrees_by_host": True, "wipes": 2, "restarts": ()},
        broken=True,
    ),
    Case(
        "formation, two of three form",
        formation_protocol,
        {"quorum_forms": True, "wipes": 2, "restarts": ()},
        broken=True,
    ),
    Case(
        "formation is always possible",
        formation_protocol,
        {
            "wipes": 2,
            "wipes_while_forming": False,
            "restarts_without_folder": (0, 1),
        },
        reaches_goal=True,
    ),
    Case(
        "formation, only the first seed offers",
        formation_protocol,
        {"only_first_offers": True, "wipes": 0, "restarts": (0,)},
        broken=True,
        reaches_goal=True,
    ),
    *(
        Case(
            f"membership, {hosts} hosts, {losses} may be lost"
            f"{', as planned' if is_planned else ''}"
            f"{', the goal stays in reach' if reaches_goal else ''}",
            membership_protocol,
            {"hosts": hosts, "losses": losses, "is_planned": is_planned},
            reaches_goal=reaches_goal,
        )
        for hosts, losses in ((3, 1), (5, 1), (5, 2), (9, 2))
        for is_planned in (False, True)
        for reaches_goal in (False, True)
    ),
    *(
        Case(
            "membership, a successor votes beside lost voters"
            f"{', as planned' if is_planned else ''}",
            membership_protocol,
            {"successor_waits": False, "is_planned": is_planned},
            broken=True,
            reaches_goal=True,
        )
        for is_planned in (False, True)
    ),
    Case(
        "membership, each leader counts silence anew",
        membership_protocol,
        {"silence_is_passed_on": False},
        broken=True,
    ),
)


def check(case: Case) -> Outcome:
    """Return the result of searching the states of a case.

    :param case: the specification with its bounds.
    """
    started = time.perf_counter()
    protocol = case.build(**case.bounds)
    if case.reaches_goal:
        result = check_liveness(protocol)
        properties = [result]
        is_exhaustive = result["holds"] is not None
    else:
        max_states = MAX_STATES_BROKEN if case.broken else MAX_STATES
        result = check_safety(protocol, max_states=max_states)
        properties = result["properties"].values()
        is_exhaustive = result["exhaustive"]
    traces = [p["counterexample"] for p in properties if p["holds"] is False]
    shortest = min(traces, key=len, default=[])
    holds = all(p["holds"] is True for p in properties)
    return Outcome(
        states=result["reachable_states"],
        as_expected=bool(traces) if case.broken else holds and is_exhaustive,
        trace=tuple(str(step["label"]) for step in shortest[1:]),
        seconds=time.perf_counter() - started,
    )


def main() -> int:
    """Return 0 if every case came out as expected, else 1."""
    unexpected = 0
    for case in CASES:
        outcome = check(case)
        unexpected += not outcome.as_expected
        verdict = "as expected" if outcome.as_expected else "UNEXPECTED"
        kind = "must fail" if case.broken else "must hold"
        print(
            f"{case.name} {case.bounds}: {kind}, {verdict}, "
            f"{outcome.states} states, {outcome.seconds:.1f} s"
        )
        if outcome.trace:
            print("  " + " -> ".join(outcome.trace))
    print(f"{len(CASES) - unexpected} as expected, {unexpected} unexpected")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
