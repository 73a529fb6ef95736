"""Specification of claims: a request with an idempotency key runs at most once.

Attempts at different routers carry the same key. A command may be committed while its
answer is lost; the attempt then sends the same command again.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["claims_protocol"]

ATTEMPTS = (0, 1, 2)
FREE = ("free", -1)

Attempt = namedtuple("Attempt", "step outcome")

FIELDS = ("key", "attempts", "runs")


def claims_protocol(claim_after_dispatch=False, lost_is_free=False):
    """Return the protocol of claims.

    :param claim_after_dispatch: broken: the request is dispatched before its claim is
        durable.
    :param lost_is_free: broken: the key of a claim whose router was lost may be
        claimed again.
    """

    def transitions(state):
        steps = []
        for index in ATTEMPTS:
            steps += _claim(state, index, claim_after_dispatch)
            steps += _dispatch(state, index)
            steps += _settle(state, index)
            steps += _crash(state, index)
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
                not (d["runs"] and all(a.outcome == "not-run" for a in d["attempts"]))
            ),
        },
    )


def _put(state, index, attempt, key=None, runs=None):
    attempts = state[1]
    attempts = (*attempts[:index], attempt, *attempts[index + 1 :])
    return (
        state[0] if key is None else key,
        attempts,
        state[2] if runs is None else runs,
    )


def _claim(state, index, claim_after_dispatch):
    key, attempts, runs = state
    attempt = attempts[index]
    if attempt.step == "new" and claim_after_dispatch:
        sent = attempt._replace(step="sent")
        yield f"dispatch({index})", _put(state, index, sent, runs=runs + 1)
        return
    if attempt.step not in ("new", "claiming"):
        return
    holder = key if key != FREE else ("claimed", index)
    claiming = attempt._replace(step="claiming")
    yield f"claim_answer_lost({index})", _put(state, index, claiming, key=holder)
    match holder:
        case ("claimed", owner) if owner == index:
            after = attempt._replace(step="granted")
        case ("settled", _):
            after = Attempt("done", "answer")
        case _:
            after = Attempt("done", "unknown")
    yield f"claim({index})", _put(state, index, after, key=holder)


def _dispatch(state, index):
    attempt = state[1][index]
    if attempt.step != "granted":
        return
    sent = attempt._replace(step="sent")
    yield f"dispatch({index})", _put(state, index, sent, runs=state[2] + 1)
    # The connection failed before any byte was sent.
    refused = attempt._replace(step="refused")
    yield f"connect_failed({index})", _put(state, index, refused)


def _settle(state, index):
    key, attempts, _ = state
    attempt = attempts[index]
    owns = key[1] == index and key[0] in ("claimed", "lost")
    if attempt.step == "sent":
        after = Attempt("done", "answer")
        settled = ("settled", index) if owns else key
        yield f"settle({index}, ran)", _put(state, index, after, key=settled)
    if attempt.step == "refused":
        after = Attempt("done", "not-run")
        freed = FREE if owns else key
        yield f"settle({index}, not_run)", _put(state, index, after, key=freed)


def _crash(state, index):
    attempt = state[1][index]
    if attempt.step not in ("done", "dead", "new"):
        yield f"crash({index})", _put(state, index, Attempt("dead", "unknown"))


def _lose_claims(state, lost_is_free):
    key, attempts, runs = state
    if key[0] == "claimed":
        # The leader cannot tell a crashed router from an unresponsive one.
        lost = FREE if lost_is_free else ("lost", key[1])
        yield f"lose_claims({key[1]})", (lost, attempts, runs)
