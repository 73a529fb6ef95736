"""Specification of membership: lost control hosts are replaced, one after the other.

Identities are told apart by what the leader knows of them only, so that the state holds
numbers. A host that is lost, with its disk, stays a voter until a leader removes it. An
empty host starts as a newcomer, which a leader adds as a learner and lets vote.

Hosts are lost in one of two ways. By chance: any voters at any moment, no more at once
than are to be borne, each followed by a newcomer; it counts as replaced once that one
votes. As planned: a newcomer votes first, then any voter goes, and the next one follows
once the leaders have had the time in which a lost voter is removed.

What is said here is that the voters that are lost don't pile up, and that a leader can
always be elected and all hosts that run be admitted; ``log.py`` says that no accepted
change is lost. A process takes longer to start than an election, so that a loss is
noticed before its successor may vote.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["membership_protocol"]

# ``voters`` run. A lost voter is ``fresh`` for the time after which it is removed, then
# ``silent``, or ``uncounted`` if its silence was counted anew by a later leader.
FIELDS = ("voters", "fresh", "uncounted", "silent", "learners", "newcomers", "leads")
State = namedtuple("State", FIELDS)


def membership_protocol(
    hosts=5,
    losses=2,
    is_planned=False,
    successor_waits=True,
    silence_is_passed_on=True,
):
    """Return the protocol of membership.

    :param hosts: number of hosts that run.
    :param losses: number of lost hosts that are to be borne at once.
    :param is_planned: whether hosts are lost as planned, else by chance.
    :param successor_waits: broken if false: a successor votes beside lost voters.
    :param silence_is_passed_on: broken if false: a new leader counts silence anew.
    """
    min_voters = 2 * losses + 1

    def transitions(state):
        steps = [*_elect(state, silence_is_passed_on), *_pass_time(state)]
        if is_planned:
            steps += _renew(state, hosts, min_voters)
        elif state.learners + state.newcomers < losses:
            steps += _lose(state._replace(newcomers=state.newcomers + 1))
        if state.leads:
            steps += _admit(state, min_voters, successor_waits)
            steps += _remove(state, min_voters)
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="membership",
        candidate=False,
        fields=FIELDS,
        initial=tuple(State(hosts, 0, 0, 0, 0, 0, True)),
        # With more lost voters there is no quorum for good; the search would not end.
        transitions=lambda values: (
            transitions(State(*values)) if _lost(State(*values)) <= hosts + 1 else []
        ),
        invariants={
            "no more voters are lost than are to be borne": lambda d: (
                d["fresh"] + d["uncounted"] + d["silent"] <= losses
            ),
            "a voter that is lost for long may be replaced by any leader": lambda d: (
                not (d["leads"] and d["uncounted"])
            ),
        },
        goal=lambda d: d["leads"] and not d["learners"] and not d["newcomers"],
    )


def _lost(state):
    return state.fresh + state.uncounted + state.silent


def _has_quorum(state):
    return state.voters > _lost(state)


def _lose(state):
    """Yield the loss of a voter, which may be the leader."""
    after = state._replace(voters=state.voters - 1, fresh=state.fresh + 1)
    yield "lose a voter", after._replace(leads=state.leads and _has_quorum(after))
    yield "lose the leader", after._replace(leads=False)


def _renew(state, hosts, min_voters):
    """Yield the start of a successor, and the loss of a voter once that one votes."""
    if state.learners or state.newcomers:
        return
    is_due = state.silent and state.voters + _lost(state) > min_voters
    if state.fresh or (is_due and state.leads):
        return
    if state.voters == hosts:
        yield "start a successor", state._replace(newcomers=1)
    else:
        yield from _lose(state)


def _elect(state, silence_is_passed_on):
    """Yield an election, and the end of a leader without any loss."""
    if state.leads:
        yield "step down", state._replace(leads=False)
    elif _has_quorum(state):
        leader = state._replace(leads=True)
        if not silence_is_passed_on:
            uncounted = state.uncounted + state.silent
            leader = leader._replace(uncounted=uncounted, silent=0)
        yield "elect", leader


def _pass_time(state):
    """Yield the time in which the silence of a voter becomes known."""
    if state.fresh:
        fresh = state.fresh - 1
        yield "silent", state._replace(fresh=fresh, silent=state.silent + 1)
    if state.uncounted and state.leads:
        uncounted = state.uncounted - 1
        yield "counted", state._replace(uncounted=uncounted, silent=state.silent + 1)


def _admit(state, min_voters, successor_waits):
    if state.newcomers:
        newcomers = state.newcomers - 1
        yield (
            "join",
            state._replace(newcomers=newcomers, learners=state.learners + 1),
        )
    has_too_few = state.voters + _lost(state) < min_voters
    all_respond = not _lost(state)
    if state.learners and (has_too_few or all_respond or not successor_waits):
        learners = state.learners - 1
        yield "promote", state._replace(learners=learners, voters=state.voters + 1)


def _remove(state, min_voters):
    """Yield the removal of a silent voter, for a successor or above the minimum."""
    voters = state.voters + _lost(state)
    for_successor = state.learners > 0 and voters >= min_voters
    if state.silent and (for_successor or voters > min_voters):
        after = state._replace(silent=state.silent - 1)
        if _has_quorum(after):
            yield "remove", after
