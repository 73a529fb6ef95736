"""Specification of freshness leases and of when a change is in force.

Time advances in steps and is unbounded. One change leads from revision 0 to 1. Two
hosts serve callers; host 1 may also get its lease from host 0. A leader that steps down
is followed by one that has no record of earlier leases. Without a leader, a quorum of
voters grants leases; it holds the change once that is accepted, or earlier.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["freshness_protocol"]

HOSTS = (0, 1)
NEIGHBOUR = 0
NONE = -1

Group = namedtuple("Group", "has_leader entry accepted wait_left in_force")
Host = namedtuple(
    "Host", "revision left own_left relayed_revision relayed_left request_age"
)
TrackedLeases = namedtuple("TrackedLeases", "left0 left1")

FIELDS = ("group", "hosts", "tracked")


def freshness_protocol(
    lease=2,
    margin=1,
    new_leader_waits=True,
    neighbour_waits=True,
    read_checks_entries=True,
):
    """Return the protocol of freshness leases.

    :param lease: lifetime of a lease, in steps.
    :param margin: steps that the leader adds for clock drift.
    :param new_leader_waits: broken if false: a new leader declares a change in force
        without waiting for leases that it has no record of.
    :param neighbour_waits: broken if false: a host acknowledges a revision while a
        lease that it relayed still runs.
    :param read_checks_entries: broken if false: a quorum of voters grants leases
        although one of them holds a newer entry.
    """

    def transitions(state):
        return [
            _tick(state, lease),
            *_step_down(state),
            *_lead(state, lease, margin, new_leader_waits),
            *_propose(state),
            *_advance(state),
            *_request_renewal(state),
            *_renew(state, lease, margin, neighbour_waits),
            *_quorum_read(state, lease, read_checks_entries),
            *_request_relay(state),
            *_declare_in_force(state),
        ]

    return Protocol(
        name="freshness",
        candidate=False,
        fields=FIELDS,
        initial=(
            Group(True, False, False, 0, False),
            (Host(0, 0, 0, 0, 0, NONE),) * len(HOSTS),
            (TrackedLeases(0, 0),) * len(HOSTS),
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


def _put(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _tick(state, lease):
    group, hosts, tracked = state
    group = group._replace(wait_left=max(0, group.wait_left - 1))
    hosts = tuple(_host_after_tick(host, lease) for host in hosts)
    tracked = tuple(
        TrackedLeases(max(0, k.left0 - 1), max(0, k.left1 - 1)) for k in tracked
    )
    return "tick", (group, hosts, tracked)


def _host_after_tick(host, lease):
    relayed_left = max(0, host.relayed_left - 1)
    age = host.request_age
    return Host(
        revision=host.revision,
        left=max(0, host.left - 1),
        own_left=max(0, host.own_left - 1),
        relayed_revision=host.relayed_revision if relayed_left else 0,
        relayed_left=relayed_left,
        request_age=NONE if age == NONE or age + 1 >= lease else age + 1,
    )


def _step_down(state):
    group, hosts, _ = state
    if group.has_leader:
        untracked = (TrackedLeases(0, 0),) * len(HOSTS)
        yield "step_down", (group._replace(has_leader=False), hosts, untracked)


def _lead(state, lease, margin, new_leader_waits):
    group, hosts, tracked = state
    if not group.has_leader:
        wait = lease + margin if new_leader_waits else 0
        led = group._replace(has_leader=True, wait_left=wait)
        yield "lead", (led, hosts, tracked)


def _propose(state):
    group, hosts, tracked = state
    if group.has_leader and not group.entry:
        yield "propose", (group._replace(entry=True), hosts, tracked)


def _advance(state):
    group, hosts, tracked = state
    if group.has_leader and group.entry and not group.accepted:
        yield "advance", (group._replace(accepted=True), hosts, tracked)


def _request_renewal(state):
    group, hosts, tracked = state
    for index, host in enumerate(hosts):
        if host.request_age != 0:
            yield (
                f"request_renewal({index})",
                (group, _put(hosts, index, host._replace(request_age=0)), tracked),
            )


def _renew(state, lease, margin, neighbour_waits):
    """Yield the leader's answers to renewals; each one arrives or is lost."""
    group, hosts, tracked = state
    if not group.has_leader:
        return
    revision = int(group.accepted)
    for index, host in enumerate(hosts):
        if host.request_age == NONE:
            continue
        acknowledged = host.revision
        if neighbour_waits and host.relayed_left > 0:
            acknowledged = min(acknowledged, host.relayed_revision)
        old_left = 0 if acknowledged == 1 else tracked[index].left0
        given = lease + margin
        leases = (
            TrackedLeases(old_left, given)
            if revision
            else TrackedLeases(given, tracked[index].left1)
        )
        tracked_after = _put(tracked, index, leases)
        lost = _put(hosts, index, host._replace(request_age=NONE))
        yield f"renewal_lost({index})", (group, lost, tracked_after)
        left = lease - host.request_age
        renewed = host._replace(
            revision=max(host.revision, revision),
            left=max(host.left, left),
            own_left=max(host.own_left, left),
            request_age=NONE,
        )
        yield f"renew({index})", (group, _put(hosts, index, renewed), tracked_after)


def _quorum_read(state, lease, read_checks_entries):
    group, hosts, tracked = state
    newest_revision = int(group.entry) if read_checks_entries else 0
    if group.has_leader:
        return
    for index, host in enumerate(hosts):
        if newest_revision <= host.revision:
            fresh = host._replace(left=lease, own_left=lease)
            yield f"quorum_read({index})", (group, _put(hosts, index, fresh), tracked)


def _request_relay(state):
    group, hosts, tracked = state
    neighbour, receiver = hosts[NEIGHBOUR], hosts[1]
    if neighbour.own_left == 0 or neighbour.revision < receiver.revision:
        return
    relaying = neighbour._replace(
        relayed_revision=min(neighbour.revision, neighbour.relayed_revision)
        if neighbour.relayed_left
        else neighbour.revision,
        relayed_left=max(neighbour.relayed_left, neighbour.own_left),
    )
    received = receiver._replace(
        revision=neighbour.revision, left=max(receiver.left, neighbour.own_left)
    )
    yield "request_relay", (group, (relaying, received), tracked)


def _declare_in_force(state):
    group, hosts, tracked = state
    tracks_old_lease = any(leases.left0 > 0 for leases in tracked)
    ready = group.has_leader and group.accepted and not group.in_force
    if ready and group.wait_left == 0 and not tracks_old_lease:
        yield "declare_in_force", (group._replace(in_force=True), hosts, tracked)
