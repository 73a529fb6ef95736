"""Specification of the log: leader change, voter replacement, accepted changes.

Actions are named after the operations of ``almondfield_control.consensus``. A message
and its answer are one step; a lost answer is a step that is not taken. A member that
restarts after a crash keeps everything that it synced. Its state here holds nothing
else, so a crash is only a pause. A wiped folder loses everything.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["log_protocol"]

VOTERS = (0, 1, 2)
SPARE = 3
IDENTITIES = (*VOTERS, SPARE)
NO_VOTE = -1

Member = namedtuple("Member", "term voted_for role votes log match")
EMPTY = Member(0, NO_VOTE, "follower", frozenset(), (), (0, 0, 0, 0))

FIELDS = ("members", "wiped", "accepted", "lost", "diverged")


def log_protocol(
    max_term=2,
    max_changes=1,
    candidates=IDENTITIES,
    identity_by_address=False,
    replace_in_one_step=False,
    changes_overlap=False,
    vote_while_learning=False,
):
    """Return the protocol of the log within bounds.

    :param max_term: highest term of an election.
    :param max_changes: largest number of proposed changes.
    :param candidates: identities that may campaign.
    :param identity_by_address: broken: a wiped folder keeps its identity.
    :param replace_in_one_step: broken: one change removes and admits a voter.
    :param changes_overlap: broken: a change begins before the last one is committed.
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
            *_membership(state, replace_in_one_step, changes_overlap),
        ]

    return Protocol(
        name="log",
        candidate=False,
        fields=FIELDS,
        initial=((EMPTY, EMPTY, EMPTY, None), NO_VOTE, (), False, False),
        transitions=transitions,
        invariants={
            "no accepted change is lost": lambda d: not d["lost"],
            "accepted changes have one order": lambda d: not d["diverged"],
            "one leader per term": _one_leader_per_term,
        },
    )


def voters_of(log):
    """Return the voters according to the newest membership change in a log."""
    for entry in reversed(log):
        if entry[1] == "members":
            return entry[2]
    return frozenset(VOTERS)


def _one_leader_per_term(d):
    terms = [
        member.term for member in d["members"] if member and member.role == "leader"
    ]
    return len(terms) == len(set(terms))


def _with(state, identity, member):
    members = list(state[0])
    members[identity] = member
    return (tuple(members), *state[1:])


def _existing_members(state):
    return [
        (identity, member)
        for identity, member in enumerate(state[0])
        if member is not None
    ]


def _follow(member, term):
    if term > member.term:
        return member._replace(
            term=term, voted_for=NO_VOTE, role="follower", votes=frozenset()
        )
    return member


def _campaigns(state, max_term, candidates):
    for identity, member in _existing_members(state):
        if member.role == "leader" or member.term >= max_term:
            continue
        if identity not in candidates or identity not in voters_of(member.log):
            continue
        campaigning = member._replace(
            term=member.term + 1,
            voted_for=identity,
            role="candidate",
            votes=frozenset([identity]),
        )
        yield f"campaign({identity})", _with(state, identity, campaigning)


def _votes(state, vote_while_learning):
    for identity, candidate in _existing_members(state):
        if candidate.role != "candidate":
            continue
        for other, member in _existing_members(state):
            if (
                other == identity
                or other not in voters_of(candidate.log)
                or member.term > candidate.term
            ):
                continue
            if other not in voters_of(member.log) and not vote_while_learning:
                continue
            voter = _follow(member, candidate.term)
            if voter.voted_for not in (NO_VOTE, identity) or voter.role != "follower":
                continue
            if _log_position(candidate.log) < _log_position(member.log):
                continue
            after = _with(state, other, voter._replace(voted_for=identity))
            votes = candidate.votes | {other}
            after = _with(after, identity, candidate._replace(votes=votes))
            yield f"vote({identity}, {other})", after


def _log_position(log):
    return (log[-1][0] if log else 0, len(log))


def _wins(state):
    for identity, member in _existing_members(state):
        voters = voters_of(member.log)
        if member.role != "candidate" or len(member.votes & voters) <= len(voters) // 2:
            continue
        log = (*member.log, (member.term, "no-operation"))
        match = tuple(len(log) if i == identity else 0 for i in IDENTITIES)
        leader = member._replace(role="leader", votes=frozenset(), log=log, match=match)
        accepted = state[2]
        newer = not accepted or member.term > accepted[-1][0]
        lost = state[3] or (newer and member.log[: len(accepted)] != accepted)
        after = _with(state, identity, leader)
        yield f"lead({identity})", (*after[:3], lost, after[4])


def _append(state, identity, member, entry):
    log = (*member.log, entry)
    match = tuple(len(log) if i == identity else n for i, n in enumerate(member.match))
    return _with(state, identity, member._replace(log=log, match=match))


def _appends(state, max_changes):
    proposed_ids = {
        entry[2]
        for _, member in _existing_members(state)
        for entry in member.log
        if entry[1] == "change"
    }
    if len(proposed_ids) >= max_changes:
        return
    for identity, member in _existing_members(state):
        if member.role == "leader":
            change = (member.term, "change", (member.term, identity))
            if change[2] not in proposed_ids:
                yield f"propose({identity})", _append(state, identity, member, change)


def _replications(state):
    for identity, leader in _existing_members(state):
        if leader.role != "leader":
            continue
        for other, member in _existing_members(state):
            if other == identity or member.term > leader.term:
                continue
            common = _common_length(leader.log, member.log)
            if common == len(leader.log) and leader.match[other] == common:
                continue
            log = leader.log[: common + 1]
            if member.log[: len(log)] == log:
                log = member.log
            follower = _follow(member, leader.term)._replace(role="follower", log=log)
            after = _with(state, other, follower)
            match = list(leader.match)
            match[other] = _common_length(leader.log, log)
            after = _with(after, identity, leader._replace(match=tuple(match)))
            yield f"replicate({identity}, {other})", after


def _common_length(one, other):
    count = 0
    while count < min(len(one), len(other)) and one[count] == other[count]:
        count += 1
    return count


def _committed(identity, member):
    """Return the number of a leader's entries that a quorum holds.

    It is 0 unless the last of them is of the leader's own term.
    """
    voters = voters_of(member.log)
    matched = sorted((member.match[voter] for voter in voters), reverse=True)
    index = matched[len(voters) // 2]
    return index if index and member.log[index - 1][0] == member.term else 0


def _commits(state):
    accepted = state[2]
    for identity, member in _existing_members(state):
        if member.role != "leader":
            continue
        index = _committed(identity, member)
        if index <= len(accepted) and member.log[:index] == accepted[:index]:
            continue
        common = _common_length(member.log[:index], accepted)
        diverged = state[4] or common < min(index, len(accepted))
        longer = member.log[:index] if index > len(accepted) else accepted
        yield f"advance({identity})", (*state[:2], longer, state[3], diverged)


def _wipes(state, identity_by_address):
    if state[1] != NO_VOTE:
        return
    for identity, member in _existing_members(state):
        if member.role == "leader":
            continue
        if identity_by_address:
            after = _with(state, identity, EMPTY)
        else:
            after = _with(_with(state, identity, None), SPARE, EMPTY)
        yield f"wipe({identity})", (after[0], identity, *after[2:])


def _membership(state, replace_in_one_step, changes_overlap):
    if state[1] == NO_VOTE or state[0][SPARE] is None:
        return
    lost = state[1]
    for identity, member in _existing_members(state):
        if member.role != "leader":
            continue
        index = _committed(identity, member)
        settled = index and (
            changes_overlap or not any(e[1] == "members" for e in member.log[index:])
        )
        if not settled or member.match[SPARE] < index:
            continue
        voters = voters_of(member.log)
        if lost in voters:
            kept = voters - {lost}
            if replace_in_one_step:
                kept |= {SPARE}
            entry = (member.term, "members", kept)
            yield f"replace_lost({identity})", _append(state, identity, member, entry)
        elif SPARE not in voters:
            entry = (member.term, "members", voters | {SPARE})
            yield f"admit({identity})", _append(state, identity, member, entry)
