"""Specification of pool leases and the grants that a scheduler gives under them.

Time goes in steps without end: the state holds ages and remaining times only. A lease
counts from when its holder asked for it, and at the leader from when the request
arrived, with a margin for drift. A grant counts from the report that it answers and
ends with the scheduler's lease.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["grants_protocol"]

HOSTS = (0, 1)
ROUTERS = (0, 1)
NONE = -1

Leader = namedtuple("Leader", "holder left moving_to")
Host = namedtuple("Host", "asked_age reply_left left granted_to granted_left")
Router = namedtuple("Router", "reported_age left")

FIELDS = ("leader", "hosts", "routers")


def grants_protocol(
    lease=2,
    margin=1,
    grant=4,
    grant_outlives_lease=False,
    leader_forgets=False,
    renews_while_moving=False,
):
    """Return the protocol of pool leases and grants.

    :param lease: lifetime of a pool lease, in steps.
    :param margin: steps that the leader adds for drift.
    :param grant: lifetime of a grant, in steps.
    :param grant_outlives_lease: broken: a grant does not end with the lease.
    :param leader_forgets: broken: a new leader leases anew at once.
    :param renews_while_moving: broken: the loser's lease is renewed while the move
        of its pool is proposed but not applied.
    """

    def transitions(state):
        return [
            _tick(state, lease, grant),
            *_ask(state),
            *_renew(state, lease, margin, renews_while_moving),
            *_take(state),
            *_move_pool(state),
            _begin_term(state, lease, margin, leader_forgets),
            *_report(state),
            *_grant(state, grant, grant_outlives_lease),
        ]

    return Protocol(
        name="grants",
        candidate=False,
        fields=FIELDS,
        initial=(
            Leader(0, 0, NONE),
            (Host(NONE, 0, 0, NONE, 0),) * len(HOSTS),
            (Router(NONE, 0),) * len(ROUTERS),
        ),
        transitions=transitions,
        invariants={
            "one scheduler at a time": lambda d: (
                sum(host.left > 0 for host in d["hosts"]) <= 1
            ),
            "no slot is granted twice": lambda d: (
                sum(router.left > 0 for router in d["routers"]) <= 1
            ),
        },
    )


def _put(items, place, item):
    return (*items[:place], item, *items[place + 1 :])


def _older(age, limit):
    return NONE if age == NONE or age + 1 >= limit else age + 1


def _tick(state, lease, grant):
    leader, hosts, routers = state
    leader = leader._replace(left=max(0, leader.left - 1))
    hosts = tuple(_host_after_tick(host, lease) for host in hosts)
    routers = tuple(
        Router(_older(router.reported_age, grant), max(0, router.left - 1))
        for router in routers
    )
    return "tick", (leader, hosts, routers)


def _host_after_tick(host, lease):
    granted_left = max(0, host.granted_left - 1)
    return Host(
        asked_age=_older(host.asked_age, lease),
        reply_left=max(0, host.reply_left - 1),
        left=max(0, host.left - 1),
        granted_to=host.granted_to if granted_left else NONE,
        granted_left=granted_left,
    )


def _ask(state):
    leader, hosts, routers = state
    for place, host in enumerate(hosts):
        asks = _put(hosts, place, host._replace(asked_age=0, reply_left=0))
        yield f"ask({place})", (leader, asks, routers)


def _renew(state, lease, margin, renews_while_moving):
    leader, hosts, routers = state
    place = leader.holder
    host = hosts[place]
    moving = leader.moving_to != NONE and not renews_while_moving
    if host.asked_age == NONE or moving:
        return
    renewed = leader._replace(left=lease + margin)
    answered = host._replace(asked_age=NONE, reply_left=lease - host.asked_age)
    yield f"renew({place})", (renewed, _put(hosts, place, answered), routers)


def _take(state):
    leader, hosts, routers = state
    for place, host in enumerate(hosts):
        if host.reply_left > host.left:
            taken = host._replace(reply_left=0, left=host.reply_left)
            yield f"take({place})", (leader, _put(hosts, place, taken), routers)


def _move_pool(state):
    leader, hosts, routers = state
    if leader.moving_to != NONE:
        # The entry commits; what the former holder was promised meanwhile remains.
        moved = Leader(leader.moving_to, leader.left, NONE)
        yield f"apply_lease_pool({moved.holder})", (moved, hosts, routers)
    elif leader.left == 0:
        for place in HOSTS:
            if place != leader.holder:
                proposed = leader._replace(moving_to=place)
                yield f"propose_lease_pool({place})", (proposed, hosts, routers)


def _begin_term(state, lease, margin, leader_forgets):
    leader, hosts, routers = state
    left = 0 if leader_forgets else lease + margin
    return "begin_term", (leader._replace(left=left), hosts, routers)


def _report(state):
    leader, hosts, routers = state
    for place, router in enumerate(routers):
        reported = _put(routers, place, router._replace(reported_age=0))
        yield f"report({place})", (leader, hosts, reported)


def _grant(state, grant, grant_outlives_lease):
    leader, hosts, routers = state
    for place, host in enumerate(hosts):
        if host.left == 0:
            continue
        for at, router in enumerate(routers):
            held_elsewhere = host.granted_left > 0 and host.granted_to != at
            if router.reported_age == NONE or held_elsewhere:
                continue
            left = grant - router.reported_age
            if not grant_outlives_lease:
                left = min(left, host.left)
            if left <= router.left:
                continue
            gives = host._replace(granted_to=at, granted_left=left)
            after = _put(routers, at, Router(NONE, left))
            yield f"grant({place}, {at})", (leader, _put(hosts, place, gives), after)
