"""Specification of claims: a request with an idempotency key runs at most once.

Two attempts at two routers carry the same key. A command may be committed while its
answer is lost; the attempt then sends the same command again.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["claims_protocol"]

ATTEMPTS = (0, 1, 2)
FREE = ("free", -1)

Attempt = namedtuple("Attempt", "step told")

FIELDS = ("key", "attempts", "runs")


def claims_protocol(claim_after_dispatch=False, lost_is_free=False):
    """Return the protocol of claims.

    :param claim_after_dispatch: broken: the request is sent before the claim is
        known to be durable.
    :param lost_is_free: broken: a claim whose router died is given away again.
    """

    def transitions(state):
        steps = []
        for place in ATTEMPTS:
            steps += _claim(state, place, claim_after_dispatch)
            steps += _dispatch(state, place)
            steps += _settle(state, place)
            steps += _crash(state, place)
        steps += _lose_claims(state, lost_is_free)
        return steps

    return Protocol(
        name="claims",
        candidate=False,
        fields=FIELDS,
        initial=(FREE, (Attempt("new", ""),) * len(ATTEMPTS), 0),
        transitions=transitions,
        invariants={
            "a request runs at most once": lambda d: d["runs"] <= 1,
            "not-run is true": lambda d: (
                not (d["runs"] and all(a.told == "not-run" for a in d["attempts"]))
            ),
        },
    )


def _put(state, place, attempt, key=None, runs=None):
    attempts = state[1]
    attempts = (*attempts[:place], attempt, *attempts[place + 1 :])
    return (
        state[0] if key is None else key,
        attempts,
        state[2] if runs is None else runs,
    )


def _claim(state, place, claim_after_dispatch):
    key, attempts, runs = state
    attempt = attempts[place]
    if attempt.step == "new" and claim_after_dispatch:
        sent = attempt._replace(step="sent")
        yield f"dispatch({place})", _put(state, place, sent, runs=runs + 1)
        return
    if attempt.step not in ("new", "claiming"):
        return
    holder = key if key != FREE else ("claimed", place)
    claiming = attempt._replace(step="claiming")
    yield f"claim_answer_lost({place})", _put(state, place, claiming, key=holder)
    match holder:
        case ("claimed", owner) if owner == place:
            after = attempt._replace(step="granted")
        case ("settled", _):
            after = Attempt("done", "answer")
        case _:
            after = Attempt("done", "unknown")
    yield f"claim({place})", _put(state, place, after, key=holder)


def _dispatch(state, place):
    attempt = state[1][place]
    if attempt.step != "granted":
        return
    sent = attempt._replace(step="sent")
    yield f"dispatch({place})", _put(state, place, sent, runs=state[2] + 1)
    # The connection failed before a byte left.
    refused = attempt._replace(step="refused")
    yield f"connect_failed({place})", _put(state, place, refused)


def _settle(state, place):
    key, attempts, _ = state
    attempt = attempts[place]
    owns = key[1] == place and key[0] in ("claimed", "lost")
    if attempt.step == "sent":
        after = Attempt("done", "answer")
        settled = ("settled", place) if owns else key
        yield f"settle({place}, ran)", _put(state, place, after, key=settled)
    if attempt.step == "refused":
        after = Attempt("done", "not-run")
        freed = FREE if owns else key
        yield f"settle({place}, not_run)", _put(state, place, after, key=freed)


def _crash(state, place):
    attempt = state[1][place]
    if attempt.step not in ("done", "dead", "new"):
        yield f"crash({place})", _put(state, place, Attempt("dead", "unknown"))


def _lose_claims(state, lost_is_free):
    key, attempts, runs = state
    if key[0] == "claimed":
        # The router is dead, or only silent: the leader cannot tell.
        lost = FREE if lost_is_free else ("lost", key[1])
        yield f"lose_claims({key[1]})", (lost, attempts, runs)
