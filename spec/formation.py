"""Specification of formation: seeds with empty folders form one control group, once.

Every folder has its own identity, and an emptied one gets a new one. The first seed
queries the others, agrees durably to a group of the identities that it saw, and offers
it until all of them have agreed; only then does the group exist. Messages may be
delayed: an identity that an offer names may have been replaced since. How a lost voter
is replaced is specified in ``log.py``.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["formation_protocol"]

SEEDS = (0, 1, 2)
NONE = -1

Folder = namedtuple("Folder", "voter group formed may_form")

FIELDS = ("folders", "seen", "offers", "agreed", "formed", "wipes_left")


def formation_protocol(
    wipes=3, emptied_may_form=False, agrees_by_host=False, quorum_forms=False
):
    """Return the protocol of formation.

    :param wipes: number of folders that are lost, each at any moment.
    :param emptied_may_form: broken: a seed with an emptied folder forms a group again.
    :param agrees_by_host: broken: a seed agrees to an offer that names its host,
        whatever the identity.
    :param quorum_forms: broken: the group exists once two of the three seeds agreed.
    """
    needed = len(SEEDS) - 1 if quorum_forms else len(SEEDS)

    def transitions(state):
        steps = [*_query(state), *_agree_first(state), *_complete(state, needed)]
        for host in SEEDS:
            steps += _accept(state, host, agrees_by_host)
            steps += _learn_formed(state, host)
            steps += _wipe(state, host, emptied_may_form)
        return steps

    return Protocol(
        name="formation",
        candidate=False,
        fields=FIELDS,
        initial=(
            tuple(Folder(host, NONE, False, True) for host in SEEDS),
            None,
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
    )


def _put(state, **changes):
    values = dict(zip(FIELDS, state)) | changes
    return tuple(values[field] for field in FIELDS)


def _with(folders, host, **changes):
    folder = folders[host]._replace(**changes)
    return (*folders[:host], folder, *folders[host + 1 :])


def _query(state):
    """Yield the first seed's query of all seeds, none of which belongs to a group."""
    folders = state[0]
    may_offer = folders[0].may_form and folders[0].group == NONE
    if may_offer and all(folder.group == NONE for folder in folders):
        seen = tuple(folder.voter for folder in folders)
        yield "query", _put(state, seen=seen)


def _agree_first(state):
    """Yield the first seed's agreement to a group of the identities that it saw."""
    folders, seen, offers, agreed, _, _ = state
    if seen is None or seen[0] != folders[0].voter or folders[0].group != NONE:
        return
    group = len(offers)
    yield (
        f"offer({group})",
        _put(
            state,
            folders=_with(folders, 0, group=group),
            seen=None,
            offers=(*offers, seen),
            agreed=agreed | {(folders[0].voter, group)},
        ),
    )


def _accept(state, host, agrees_by_host):
    folders, _, offers, agreed, _, _ = state
    folder = folders[host]
    for group, identities in enumerate(offers):
        is_named = agrees_by_host or identities[host] == folder.voter
        if host != 0 and is_named and folder.group == NONE:
            after = _with(folders, host, group=group)
            now_agreed = agreed | {(folder.voter, group)}
            yield (
                f"accept({host}, {group})",
                _put(state, folders=after, agreed=now_agreed),
            )


def _complete(state, needed):
    """Yield the formation of the first seed's group once enough folders hold it."""
    folders, _, _, _, formed, _ = state
    group = folders[0].group
    if group == NONE or folders[0].formed:
        return
    if sum(folder.group == group for folder in folders) >= needed:
        after = _with(folders, 0, formed=True)
        yield f"complete({group})", _put(state, folders=after, formed=formed | {group})


def _learn_formed(state, host):
    folders, _, _, _, formed, _ = state
    folder = folders[host]
    if folder.group in formed and not folder.formed:
        after = _with(folders, host, formed=True)
        yield f"learn_formed({host})", _put(state, folders=after)


def _wipe(state, host, emptied_may_form):
    folders, _, _, _, _, wipes_left = state
    if wipes_left == 0:
        return
    voter = len(SEEDS) + wipes_left
    after = Folder(voter, NONE, False, emptied_may_form)
    folders = (*folders[:host], after, *folders[host + 1 :])
    yield f"wipe({host})", _put(state, folders=folders, wipes_left=wipes_left - 1)
