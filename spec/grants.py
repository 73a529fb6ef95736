"""Specification of pool leases, and of the grants that schedulers issue under them.

Time advances in steps and is unbounded, as the state holds only ages and remaining
times. A lease runs from when its holder requested it; the leader counts it from when
the request arrived and adds a margin for clock drift. A grant runs from the report that
it answers and ends with the scheduler's lease at the latest.
"""

from collections import namedtuple

from minicheck import Protocol

__all__ = ["grants_protocol"]

HOSTS = (0, 1)
ROUTERS = (0, 1)
NONE = -1

Leader = namedtuple("Leader", "holder left moving_to")
Host = namedtuple("Host", "request_age reply_left left granted_to granted_left")
Router = namedtuple("Router", "report_age left")

FIELDS = ("leader", "hosts", "routers")


def grants_protocol(
    lease=2,
    margin=1,
    grant=4,
    grant_outlives_lease=False,
    new_leader_skips_wait=False,
    renews_while_moving=False,
):
    """Return the protocol of pool leases and grants.

    :param lease: lifetime of a pool lease, in steps.
    :param margin: steps that the leader adds for clock drift.
    :param grant: lifetime of a grant, in steps.
    :param grant_outlives_lease: broken: a grant does not end with the lease.
    :param new_leader_skips_wait: broken: a new leader leases the pool without waiting
        for earlier leases to run out.
    :param renews_while_moving: broken: the lease of the host that loses the pool is
        renewed while the move is proposed but not yet applied.
    """

    def transitions(state):
        return [
            _tick(state, lease, grant),
            *_request_renewal(state),
            *_renew(state, lease, margin, renews_while_moving),
            *_receive_reply(state),
            *_move_pool(state),
            _begin_term(state, lease, margin, new_leader_skips_wait),
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


def _put(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _age_after_tick(age, limit):
    return NONE if age == NONE or age + 1 >= limit else age + 1


def _tick(state, lease, grant):
    leader, hosts, routers = state
    leader = leader._replace(left=max(0, leader.left - 1))
    hosts = tuple(_host_after_tick(host, lease) for host in hosts)
    routers = tuple(
        Router(_age_after_tick(router.report_age, grant), max(0, router.left - 1))
        for router in routers
    )
    return "tick", (leader, hosts, routers)


def _host_after_tick(host, lease):
    granted_left = max(0, host.granted_left - 1)
    return Host(
        request_age=_age_after_tick(host.request_age, lease),
        reply_left=max(0, host.reply_left - 1),
        left=max(0, host.left - 1),
        granted_to=host.granted_to if granted_left else NONE,
        granted_left=granted_left,
    )


def _request_renewal(state):
    leader, hosts, routers = state
    for index, host in enumerate(hosts):
        requesting = _put(hosts, index, host._replace(request_age=0, reply_left=0))
        yield f"request_renewal({index})", (leader, requesting, routers)


def _renew(state, lease, margin, renews_while_moving):
    leader, hosts, routers = state
    index = leader.holder
    host = hosts[index]
    moving = leader.moving_to != NONE and not renews_while_moving
    if host.request_age == NONE or moving:
        return
    renewed = leader._replace(left=lease + margin)
    answered = host._replace(request_age=NONE, reply_left=lease - host.request_age)
    yield f"renew({index})", (renewed, _put(hosts, index, answered), routers)


def _receive_reply(state):
    leader, hosts, routers = state
    for index, host in enumerate(hosts):
        if host.reply_left > host.left:
            received = host._replace(reply_left=0, left=host.reply_left)
            yield (
                f"receive_reply({index})",
                (leader, _put(hosts, index, received), routers),
            )


def _move_pool(state):
    leader, hosts, routers = state
    if leader.moving_to != NONE:
        # The entry commits; leases granted to the former holder meanwhile stay valid.
        moved = Leader(leader.moving_to, leader.left, NONE)
        yield f"apply_lease_pool({moved.holder})", (moved, hosts, routers)
    elif leader.left == 0:
        for index in HOSTS:
            if index != leader.holder:
                proposed = leader._replace(moving_to=index)
                yield f"propose_lease_pool({index})", (proposed, hosts, routers)


def _begin_term(state, lease, margin, new_leader_skips_wait):
    leader, hosts, routers = state
    left = 0 if new_leader_skips_wait else lease + margin
    return "begin_term", (leader._replace(left=left), hosts, routers)


def _report(state):
    leader, hosts, routers = state
    for index, router in enumerate(routers):
        reported = _put(routers, index, router._replace(report_age=0))
        yield f"report({index})", (leader, hosts, reported)


def _grant(state, grant, grant_outlives_lease):
    leader, hosts, routers = state
    for index, host in enumerate(hosts):
        if host.left == 0:
            continue
        for router_index, router in enumerate(routers):
            held_elsewhere = host.granted_left > 0 and host.granted_to != router_index
            if router.report_age == NONE or held_elsewhere:
                continue
            left = grant - router.report_age
            if not grant_outlives_lease:
                left = min(left, host.left)
            if left <= router.left:
                continue
            granting = host._replace(granted_to=router_index, granted_left=left)
            after = _put(routers, router_index, Router(NONE, left))
            yield (
                f"grant({index}, {router_index})",
                (leader, _put(hosts, index, granting), after),
            )
