"""Specification of freshness leases and of when a change is in force.

Time goes in steps without end. One change leads from revision 0 to 1. Two hosts serve
callers; host 1 may also get its lease from host 0. A leader that steps down is
followed by one that knows no lease. While there is no leader, a quorum of voters
answers hosts; it holds the change from when it is accepted, or before.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["freshness_protocol"]

HOSTS = (0, 1)
NEIGHBOUR = 0
NONE = -1

Group = namedtuple("Group", "leads entry accepted waits_left in_force")
Host = namedtuple(
    "Host", "revision left own_left relayed_revision relayed_left asked_age"
)
Known = namedtuple("Known", "left0 left1")

FIELDS = ("group", "hosts", "known")


def freshness_protocol(
    lease=2,
    margin=1,
    new_leader_waits=True,
    neighbour_holds_back=True,
    read_checks_entries=True,
):
    """Return the protocol of freshness leases.

    :param lease: lifetime of a lease, in steps.
    :param margin: steps that the leader adds for drift.
    :param new_leader_waits: broken if not: a new leader calls a change in force
        without waiting for leases that it does not know.
    :param neighbour_holds_back: broken if not: a host acknowledges a revision while
        a lease that it relayed still runs.
    :param read_checks_entries: broken if not: a quorum of voters gives leases
        although one holds a newer entry.
    """

    def transitions(state):
        return [
            _tick(state, lease),
            *_step_down(state),
            *_lead(state, lease, margin, new_leader_waits),
            *_propose(state),
            *_advance(state),
            *_ask(state),
            *_renew(state, lease, margin, neighbour_holds_back),
            *_ask_voters(state, lease, read_checks_entries),
            *_ask_neighbour(state),
            *_call_in_force(state),
        ]

    return Protocol(
        name="freshness",
        candidate=False,
        fields=FIELDS,
        initial=(
            Group(True, False, False, 0, False),
            (Host(0, 0, 0, 0, 0, NONE),) * len(HOSTS),
            (Known(0, 0),) * len(HOSTS),
        ),
        transitions=transitions,
        invariants={
            "no host serves an old revision once a newer is in force": lambda d: (
                not (
                    d["group"].in_force
                    and any(host.left > 0 and host.revision == 0 for host in d["hosts"])
                )
            ),
        },
    )


def _put(items, place, item):
    return (*items[:place], item, *items[place + 1 :])


def _tick(state, lease):
    group, hosts, known = state
    group = group._replace(waits_left=max(0, group.waits_left - 1))
    hosts = tuple(_host_after_tick(host, lease) for host in hosts)
    known = tuple(Known(max(0, k.left0 - 1), max(0, k.left1 - 1)) for k in known)
    return "tick", (group, hosts, known)


def _host_after_tick(host, lease):
    relayed_left = max(0, host.relayed_left - 1)
    age = host.asked_age
    return Host(
        revision=host.revision,
        left=max(0, host.left - 1),
        own_left=max(0, host.own_left - 1),
        relayed_revision=host.relayed_revision if relayed_left else 0,
        relayed_left=relayed_left,
        asked_age=NONE if age == NONE or age + 1 >= lease else age + 1,
    )


def _step_down(state):
    group, hosts, _ = state
    if group.leads:
        forgets = (Known(0, 0),) * len(HOSTS)
        yield "step_down", (group._replace(leads=False), hosts, forgets)


def _lead(state, lease, margin, new_leader_waits):
    group, hosts, known = state
    if not group.leads:
        waits = lease + margin if new_leader_waits else 0
        leads = group._replace(leads=True, waits_left=waits)
        yield "lead", (leads, hosts, known)


def _propose(state):
    group, hosts, known = state
    if group.leads and not group.entry:
        yield "propose", (group._replace(entry=True), hosts, known)


def _advance(state):
    group, hosts, known = state
    if group.leads and group.entry and not group.accepted:
        yield "advance", (group._replace(accepted=True), hosts, known)


def _ask(state):
    group, hosts, known = state
    for place, host in enumerate(hosts):
        if host.asked_age != 0:
            yield (
                f"ask({place})",
                (group, _put(hosts, place, host._replace(asked_age=0)), known),
            )


def _renew(state, lease, margin, neighbour_holds_back):
    """The leader answers a renewal; the answer arrives, or is lost."""
    group, hosts, known = state
    if not group.leads:
        return
    revision = int(group.accepted)
    for place, host in enumerate(hosts):
        if host.asked_age == NONE:
            continue
        acknowledged = host.revision
        if neighbour_holds_back and host.relayed_left > 0:
            acknowledged = min(acknowledged, host.relayed_revision)
        old = 0 if acknowledged == 1 else known[place].left0
        given = lease + margin
        leases = Known(old, given) if revision else Known(given, known[place].left1)
        knows = _put(known, place, leases)
        lost = _put(hosts, place, host._replace(asked_age=NONE))
        yield f"renewal_lost({place})", (group, lost, knows)
        left = lease - host.asked_age
        renewed = host._replace(
            revision=max(host.revision, revision),
            left=max(host.left, left),
            own_left=max(host.own_left, left),
            asked_age=NONE,
        )
        yield f"renew({place})", (group, _put(hosts, place, renewed), knows)


def _ask_voters(state, lease, read_checks_entries):
    group, hosts, known = state
    newest = int(group.entry) if read_checks_entries else 0
    if group.leads:
        return
    for place, host in enumerate(hosts):
        if newest <= host.revision:
            fresh = host._replace(left=lease, own_left=lease)
            yield f"ask_voters({place})", (group, _put(hosts, place, fresh), known)


def _ask_neighbour(state):
    group, hosts, known = state
    giver, taker = hosts[NEIGHBOUR], hosts[1]
    if giver.own_left == 0 or giver.revision < taker.revision:
        return
    relays = giver._replace(
        relayed_revision=min(giver.revision, giver.relayed_revision)
        if giver.relayed_left
        else giver.revision,
        relayed_left=max(giver.relayed_left, giver.own_left),
    )
    takes = taker._replace(
        revision=giver.revision, left=max(taker.left, giver.own_left)
    )
    yield "ask_neighbour", (group, (relays, takes), known)


def _call_in_force(state):
    group, hosts, known = state
    known_old = any(leases.left0 > 0 for leases in known)
    ready = group.leads and group.accepted and not group.in_force
    if ready and group.waits_left == 0 and not known_old:
        yield "is_in_force", (group._replace(in_force=True), hosts, known)
