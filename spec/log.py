"""Specification of the log: leader change, voter replacement, accepted changes.

Actions carry the names of the code in ``almondfield_control.consensus``. A message
and its answer are one step; a lost answer is a step that nobody takes. A member that
crashes and comes back has lost nothing that it synced, which is what its state here
holds, so that a crash is a pause. A wiped folder has lost everything.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["log_protocol"]

VOTERS = (0, 1, 2)
SPARE = 3
IDENTITIES = (*VOTERS, SPARE)
NO_VOTE = -1

Member = namedtuple("Member", "term voted role votes log match")
EMPTY = Member(0, NO_VOTE, "follower", frozenset(), (), (0, 0, 0, 0))

FIELDS = ("members", "wiped", "accepted", "lost", "split")


def log_protocol(
    max_term=2,
    max_changes=1,
    candidates=IDENTITIES,
    identity_by_address=False,
    replace_in_one_step=False,
    vote_while_learning=False,
):
    """Return the protocol of the log within bounds.

    :param max_term: elections go up to this term.
    :param max_changes: changes that are proposed, at most.
    :param candidates: identities that stand for leader.
    :param identity_by_address: broken: a wiped folder keeps its identity.
    :param replace_in_one_step: broken: one change removes and admits a voter.
    :param vote_while_learning: broken: a member votes before it is admitted.
    """

    def transitions(state):
        return [
            *_campaigns(state, max_term, candidates),
            *_votes(state, vote_while_learning),
            *_wins(state),
            *_appends(state, max_changes),
            *_replications(state),
            *_commits(state),
            *_wipes(state, identity_by_address),
            *_membership(state, replace_in_one_step),
        ]

    return Protocol(
        name="log",
        candidate=False,
        fields=FIELDS,
        initial=((EMPTY, EMPTY, EMPTY, None), NO_VOTE, (), False, False),
        transitions=transitions,
        invariants={
            "no accepted change is lost": lambda d: not d["lost"],
            "accepted changes have one order": lambda d: not d["split"],
            "one leader per term": _one_leader_per_term,
        },
    )


def voters_of(log):
    """Return the voters that the newest membership change in a log names."""
    for entry in reversed(log):
        if entry[1] == "members":
            return entry[2]
    return frozenset(VOTERS)


def _one_leader_per_term(d):
    terms = [m.term for m in d["members"] if m and m.role == "leader"]
    return len(terms) == len(set(terms))


def _with(state, place, member):
    members = list(state[0])
    members[place] = member
    return (tuple(members), *state[1:])


def _alive(state):
    return [(place, m) for place, m in enumerate(state[0]) if m is not None]


def _follow(member, term):
    if term > member.term:
        return member._replace(
            term=term, voted=NO_VOTE, role="follower", votes=frozenset()
        )
    return member


def _campaigns(state, max_term, candidates):
    for place, m in _alive(state):
        if m.role == "leader" or m.term >= max_term:
            continue
        if place not in candidates or place not in voters_of(m.log):
            continue
        stands = m._replace(
            term=m.term + 1, voted=place, role="candidate", votes=frozenset([place])
        )
        yield f"campaign({place})", _with(state, place, stands)


def _votes(state, vote_while_learning):
    for place, c in _alive(state):
        if c.role != "candidate":
            continue
        for other, m in _alive(state):
            if other == place or other not in voters_of(c.log) or m.term > c.term:
                continue
            if other not in voters_of(m.log) and not vote_while_learning:
                continue
            voter = _follow(m, c.term)
            if voter.voted not in (NO_VOTE, place) or voter.role != "follower":
                continue
            if _place_of(c.log) < _place_of(m.log):
                continue
            after = _with(state, other, voter._replace(voted=place))
            votes = c.votes | {other}
            after = _with(after, place, c._replace(votes=votes))
            yield f"vote({place}, {other})", after


def _place_of(log):
    return (log[-1][0] if log else 0, len(log))


def _wins(state):
    for place, m in _alive(state):
        voters = voters_of(m.log)
        if m.role != "candidate" or len(m.votes & voters) <= len(voters) // 2:
            continue
        log = (*m.log, (m.term, "no-operation"))
        match = tuple(len(log) if i == place else 0 for i in IDENTITIES)
        leader = m._replace(role="leader", votes=frozenset(), log=log, match=match)
        accepted = state[2]
        newer = not accepted or m.term > accepted[-1][0]
        lost = state[3] or (newer and m.log[: len(accepted)] != accepted)
        after = _with(state, place, leader)
        yield f"lead({place})", (*after[:3], lost, after[4])


def _append(state, place, m, entry):
    log = (*m.log, entry)
    match = tuple(len(log) if i == place else n for i, n in enumerate(m.match))
    return _with(state, place, m._replace(log=log, match=match))


def _appends(state, max_changes):
    made = {
        entry[2] for _, m in _alive(state) for entry in m.log if entry[1] == "change"
    }
    if len(made) >= max_changes:
        return
    for place, m in _alive(state):
        if m.role == "leader":
            change = (m.term, "change", (m.term, place))
            if change[2] not in made:
                yield f"propose({place})", _append(state, place, m, change)


def _replications(state):
    for place, leader in _alive(state):
        if leader.role != "leader":
            continue
        for other, m in _alive(state):
            if other == place or m.term > leader.term:
                continue
            common = _common(leader.log, m.log)
            if common == len(leader.log) and leader.match[other] == common:
                continue
            log = leader.log[: common + 1]
            if m.log[: len(log)] == log:
                log = m.log
            follower = _follow(m, leader.term)._replace(role="follower", log=log)
            after = _with(state, other, follower)
            match = list(leader.match)
            match[other] = _common(leader.log, log)
            after = _with(after, place, leader._replace(match=tuple(match)))
            yield f"replicate({place}, {other})", after


def _common(one, other):
    count = 0
    while count < min(len(one), len(other)) and one[count] == other[count]:
        count += 1
    return count


def _committed(place, m):
    """Return how much of a leader's log a quorum holds, ending in its own term."""
    voters = voters_of(m.log)
    matched = sorted((m.match[voter] for voter in voters), reverse=True)
    index = matched[len(voters) // 2]
    return index if index and m.log[index - 1][0] == m.term else 0


def _commits(state):
    accepted = state[2]
    for place, m in _alive(state):
        if m.role != "leader":
            continue
        index = _committed(place, m)
        if index <= len(accepted) and m.log[:index] == accepted[:index]:
            continue
        common = _common(m.log[:index], accepted)
        split = state[4] or common < min(index, len(accepted))
        longer = m.log[:index] if index > len(accepted) else accepted
        yield f"advance({place})", (*state[:2], longer, state[3], split)


def _wipes(state, identity_by_address):
    if state[1] != NO_VOTE:
        return
    for place, m in _alive(state):
        if m.role == "leader":
            continue
        if identity_by_address:
            after = _with(state, place, EMPTY)
        else:
            after = _with(_with(state, place, None), SPARE, EMPTY)
        yield f"wipe({place})", (after[0], place, *after[2:])


def _membership(state, replace_in_one_step):
    if state[1] == NO_VOTE or state[0][SPARE] is None:
        return
    lost = state[1]
    for place, m in _alive(state):
        if m.role != "leader":
            continue
        index = _committed(place, m)
        settled = index and not any(e[1] == "members" for e in m.log[index:])
        if not settled or m.match[SPARE] < index:
            continue
        voters = voters_of(m.log)
        if lost in voters:
            kept = voters - {lost}
            if replace_in_one_step:
                kept |= {SPARE}
            entry = (m.term, "members", kept)
            yield f"replace_lost({place})", _append(state, place, m, entry)
        elif SPARE not in voters:
            entry = (m.term, "members", voters | {SPARE})
            yield f"admit({place})", _append(state, place, m, entry)
