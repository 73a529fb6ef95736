"""Specification of formation: seeds with empty folders form one control group, once.

Every folder has its own identity, and an emptied one gets a new one. Each process of a
seed starts with settings that allow it to form a group or not: the first one of all
does, later ones don't. A folder keeps what the settings said when it was created.

Of the seeds that may form a group, the first queries all, agrees durably to a group of
the identities that it saw, and offers it. Each seed that agreed offers the group as
well until all have agreed; only then does the group exist. Messages may be delayed: an
identity that an offer names may have been replaced since. How a lost voter is replaced
is specified in ``log.py`` and ``membership.py``.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["formation_protocol"]

SEEDS = (0, 1, 2)
QUORUM = 2
NONE = -1

# A seed has no folder yet while it has no voter. ``seen``, its answers by seed, is lost
# with the process.
Seed = namedtuple("Seed", "voter group formed kept_may_form may_form seen")
Answer = namedtuple("Answer", "voter may_form")
NOTHING_SEEN = (None, None, None)

FIELDS = ("seeds", "offers", "agreed", "formed", "wipes_left")


def formation_protocol(
    wipes=3,
    wipes_while_forming=True,
    restarts=SEEDS,
    restarts_without_folder=SEEDS,
    emptied_may_form=False,
    agrees_by_host=False,
    quorum_forms=False,
    only_first_offers=False,
):
    """Return the protocol of formation.

    :param wipes: number of folders that are lost.
    :param wipes_while_forming: whether folders are lost at any moment, else only once
        all seeds belong to the group.
    :param restarts: seeds that are killed and start again, at any moments.
    :param restarts_without_folder: those of them that may be killed before their
        folders exist, so that nothing tells of the first start.
    :param emptied_may_form: broken: a seed with an emptied folder forms a group again.
    :param agrees_by_host: broken: a seed agrees to an offer that names its host,
        whatever the identity.
    :param quorum_forms: broken: the group exists once two of the three seeds agreed.
    :param only_first_offers: broken: only the first seed proposes and offers a group,
        and only while its settings allow that.
    """
    needed = QUORUM if quorum_forms else len(SEEDS)

    def transitions(state):
        steps = []
        for host in SEEDS:
            steps += _create(state, host)
            steps += _ask(state, host)
            steps += _propose(state, host, only_first_offers)
            steps += _accept(state, host, agrees_by_host)
            steps += _complete(state, host, needed, only_first_offers)
            steps += _learn_formed(state, host)
            steps += _join(state, host)
            if host in restarts:
                steps += _restart(state, host, host in restarts_without_folder)
            if wipes_while_forming or _is_whole(state):
                steps += _wipe(state, host, emptied_may_form)
        return steps

    return Protocol(
        name="formation",
        candidate=False,
        fields=FIELDS,
        initial=(
            tuple(Seed(NONE, NONE, False, False, True, NOTHING_SEEN) for _ in SEEDS),
            (),
            frozenset(),
            frozenset(),
            wipes,
        ),
        transitions=transitions,
        invariants={
            "one group is formed at most": lambda d: len(d["formed"]) <= 1,
            "a formed group was agreed to by every identity that it names": lambda d: (
                all(
                    (voter, group) in d["agreed"]
                    for group in d["formed"]
                    for voter in d["offers"][group]
                )
            ),
        },
        goal=lambda d: all(seed.formed for seed in d["seeds"]),
    )


def _put(state, **changes):
    values = dict(zip(FIELDS, state)) | changes
    return tuple(values[field] for field in FIELDS)


def _with(seeds, host, **changes):
    seed = seeds[host]._replace(**changes)
    return (*seeds[:host], seed, *seeds[host + 1 :])


def _is_whole(state):
    """Return whether all seeds belong to the group."""
    return all(seed.formed for seed in state[0])


def _create(state, host):
    """Yield the first durable write of a folder, before which nobody is answered."""
    seeds, _, _, _, wipes_left = state
    if seeds[host].voter == NONE:
        # Wiped folders count down, so that no identity is given twice.
        voter = host + len(SEEDS) * wipes_left
        may_form = seeds[host].may_form
        after = _with(seeds, host, voter=voter, kept_may_form=may_form)
        yield f"create({host})", _put(state, seeds=after)


def _ask(state, host):
    """Yield the answers that a seed gets to its queries, each at any time."""
    seeds = state[0]
    seed = seeds[host]
    if seed.voter == NONE or seed.group != NONE:
        return
    for other in SEEDS:
        asked = seeds[other]
        if other == host or asked.voter == NONE or asked.group != NONE:
            continue
        answer = Answer(asked.voter, asked.kept_may_form or asked.may_form)
        if seed.seen[other] != answer:
            seen = (*seed.seen[:other], answer, *seed.seen[other + 1 :])
            yield (
                f"ask({host}, {other})",
                _put(state, seeds=_with(seeds, host, seen=seen)),
            )


def _propose(state, host, only_first_offers):
    """Yield a seed's durable agreement to a group of the identities that it saw."""
    seeds, offers, agreed, _, _ = state
    seed = seeds[host]
    if seed.voter == NONE or seed.group != NONE:
        return
    own = Answer(seed.voter, seed.kept_may_form or seed.may_form)
    seen = (*seed.seen[:host], own, *seed.seen[host + 1 :])
    if None in seen:
        return
    if only_first_offers:
        proposes = host == 0 and seed.may_form
    else:
        proposes = host in [i for i, answer in enumerate(seen) if answer.may_form][:1]
    if not proposes:
        return
    group = len(offers)
    yield (
        f"propose({host}, {group})",
        _put(
            state,
            seeds=_with(seeds, host, group=group, seen=NOTHING_SEEN),
            offers=(*offers, tuple(answer.voter for answer in seen)),
            agreed=agreed | {(seed.voter, group)},
        ),
    )


def _accept(state, host, agrees_by_host):
    seeds, offers, agreed, _, _ = state
    seed = seeds[host]
    if seed.voter == NONE or seed.group != NONE:
        return
    for group, identities in enumerate(offers):
        if agrees_by_host or identities[host] == seed.voter:
            after = _with(seeds, host, group=group, seen=NOTHING_SEEN)
            now_agreed = agreed | {(seed.voter, group)}
            yield (
                f"accept({host}, {group})",
                _put(state, seeds=after, agreed=now_agreed),
            )


def _complete(state, host, needed, only_first_offers):
    """Yield the formation of a seed's group once enough folders hold it."""
    seeds, _, _, formed, _ = state
    group = seeds[host].group
    may_complete = host == 0 or not only_first_offers
    if group == NONE or seeds[host].formed or not may_complete:
        return
    if sum(seed.group == group for seed in seeds) >= needed:
        after = _with(seeds, host, formed=True)
        yield (
            f"complete({host}, {group})",
            _put(state, seeds=after, formed=formed | {group}),
        )


def _learn_formed(state, host):
    seeds, _, _, formed, _ = state
    seed = seeds[host]
    if seed.group in formed and not seed.formed:
        after = _with(seeds, host, formed=True)
        yield f"learn_formed({host})", _put(state, seeds=after)


def _join(state, host):
    """Yield the admission of a new folder by a group, most of which is there."""
    seeds, _, _, formed, _ = state
    if seeds[host].voter == NONE or seeds[host].group != NONE:
        return
    for group in formed:
        members = [seed for seed in seeds if seed.formed and seed.group == group]
        if len(members) >= QUORUM:
            after = _with(seeds, host, group=group, formed=True, seen=NOTHING_SEEN)
            yield f"join({host}, {group})", _put(state, seeds=after)


def _restart(state, host, may_lack_folder):
    """Yield a kill and the next start, whose settings allow no formation."""
    seeds = state[0]
    if seeds[host].voter == NONE and not may_lack_folder:
        return
    if seeds[host].may_form or seeds[host].seen != NOTHING_SEEN:
        after = _with(seeds, host, may_form=False, seen=NOTHING_SEEN)
        yield f"restart({host})", _put(state, seeds=after)


def _wipe(state, host, emptied_may_form):
    seeds, _, _, _, wipes_left = state
    if wipes_left == 0 or seeds[host].voter == NONE:
        return
    after = Seed(NONE, NONE, False, False, emptied_may_form, NOTHING_SEEN)
    seeds = (*seeds[:host], after, *seeds[host + 1 :])
    yield f"wipe({host})", _put(state, seeds=seeds, wipes_left=wipes_left - 1)
