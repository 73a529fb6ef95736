"""Short seeded fault histories, and an independent check of their results."""

import asyncio
import random
from dataclasses import dataclass, field

from control_fleet import Fleet
from result import Ok

from almondfield_core.clock import now
from almondfield_core.messages import (
    ChangeAccepted,
    ClaimAnswered,
    ClaimGranted,
    ClaimRequest,
    StoredAnswer,
    TableChange,
)
from almondfield_core.tables import Pool

FAULT_PERIOD_S = 1.2
CONVERGENCE_S = 15.0
SEEDS_PER_WIPE = 4
KEYS = ("k1", "k2")
ANSWER = StoredAnswer(200, (), b"done")


@dataclass
class Record:
    """Observations of the clients of one history.

    :ivar accepted: (change id, revision) of every answer that accepted a change.
    :ivar runs: claimants that ran the request of each key.
    :ivar faults: injected faults: time in seconds, kind and host.
    :ivar revisions: newest revision seen at each node.
    """

    accepted: list = field(default_factory=list)
    runs: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    revisions: dict = field(default_factory=dict)


async def run_history(seed):
    """Return the fleet and the record of one history."""
    rng = random.Random(seed)
    loss = rng.choice([0.0, 0.0, 0.05, 0.2])
    repeat = rng.choice([0.0, 0.1])
    fleet = Fleet(3, 3, seed=seed, loss=loss, repeat=repeat, delay_s=(0.001, 0.02))
    fleet.write_formed_group()
    fleet.start(*fleet.names)
    record = Record()
    client_tasks = [
        asyncio.ensure_future(_submit_changes(fleet, record, rng, f"{seed}-{n}"))
        for n in range(2)
    ]
    client_tasks += [
        asyncio.ensure_future(_submit_claims(fleet, record, f"{seed}-{n}", KEYS[n % 2]))
        for n in range(4)
    ]
    client_tasks.append(asyncio.ensure_future(_watch_invariants(fleet, record)))
    if seed % SEEDS_PER_WIPE == 0:
        client_tasks.append(asyncio.ensure_future(_wipe_folder(fleet, record, rng)))
    await _inject_faults(fleet, record, rng)
    fleet.network.heal()
    fleet.network.loss = 0.0
    missing = [host for host in fleet.names if host not in fleet.node_by_host]
    fleet.start(*missing)
    for task in client_tasks:
        task.cancel()
    for outcome in await asyncio.gather(*client_tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    await _wait_until_converged(fleet)
    return fleet, record


async def _wait_until_converged(fleet):
    until = now() + CONVERGENCE_S
    while now() < until and not _has_converged(fleet):
        await asyncio.sleep(0.1)


def _has_converged(fleet):
    leader = fleet.leader()
    if leader is None:
        return False
    replica = fleet.node_by_host[leader].replica
    converged = replica.commit_index == replica.log.last_index
    converged &= {m.voter_id for m in replica.log.members if m.votes} == _voter_ids(
        fleet
    )
    views = [node.view for node in fleet.node_by_host.values()]
    return converged and all(
        view.tables == replica.state.tables and view.freshness_left_s() > 0
        for view in views
    )


async def _inject_faults(fleet, record, rng):
    await asyncio.sleep(rng.uniform(0.7, 1.1))
    until = now() + FAULT_PERIOD_S
    while now() < until:
        host = rng.choice(fleet.names)
        fault = rng.choice(["cut", "isolate", "crash", "heal", "crash all"])
        record.faults.append((round(now(), 3), fault, host))
        match fault:
            case "cut":
                fleet.network.cut(host, rng.choice(fleet.names))
            case "isolate":
                fleet.network.isolate(host)
            case "crash":
                await _restart(fleet, rng, [host])
            case "heal":
                fleet.network.heal()
            case "crash all":
                await _restart(fleet, rng, fleet.names)
        await asyncio.sleep(rng.uniform(0.1, 0.8))


async def _wipe_folder(fleet, record, rng):
    """Empty one data folder at a random time."""
    await asyncio.sleep(rng.uniform(0.7, 0.7 + FAULT_PERIOD_S))
    host = rng.choice(fleet.names)
    record.faults.append((round(now(), 3), "wipe", host))
    if host in fleet.node_by_host:
        await fleet.crash(host)
    fleet.disk_by_host[host].wipe()
    if host not in fleet.node_by_host:
        fleet.start(host)


async def _restart(fleet, rng, hosts):
    await fleet.crash(*[host for host in hosts if host in fleet.node_by_host])
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    fleet.start(*[host for host in hosts if host not in fleet.node_by_host])


async def _submit_changes(fleet, record, rng, name):
    number = 0
    while True:
        await asyncio.sleep(rng.uniform(0.05, 0.3))
        host = rng.choice(fleet.names)
        if host not in fleet.node_by_host:
            continue
        node = fleet.node_by_host[host]
        number += 1
        change_id = f"{name}-{number}"
        pools = (Pool(change_id),)
        change = TableChange(change_id, name, node.view.tables.revision, pools, ())
        for _ in range(rng.choice([1, 2])):
            match await node.control.apply(change):
                case Ok(ChangeAccepted(change_id=accepted_id, revision=revision)):
                    record.accepted.append((accepted_id, revision))


async def _submit_claims(fleet, record, claimant, key):
    attempt = 0
    while True:
        attempt += 1
        await asyncio.sleep(0.2)
        host = fleet.names[attempt % len(fleet.names)]
        if host not in fleet.node_by_host:
            continue
        control = fleet.node_by_host[host].control
        request = ClaimRequest("team", key, "print", f"{claimant}-{attempt}")
        match await control.claim(request):
            case Ok(ClaimGranted()):
                record.runs.setdefault(key, []).append(request.claimant)
                await control.settle_claim(request, ANSWER, ran=True)
            case Ok(ClaimAnswered(answer)):
                assert answer == ANSWER, answer


async def _watch_invariants(fleet, record):
    while True:
        await asyncio.sleep(0.02)
        fleet.leader()
        for host, node in fleet.node_by_host.items():
            revision = node.view.tables.revision
            assert revision >= record.revisions.get(node, 0), (host, revision)
            record.revisions[node] = revision
        _check_pool_leases(fleet)


def _check_pool_leases(fleet):
    views = {host: node.view for host, node in fleet.node_by_host.items()}
    pools = {pool for view in views.values() for pool in view.lease_by_pool}
    for pool in pools:
        hosts = [h for h, view in views.items() if view.pool_lease_left_s(pool) > 0]
        assert len(hosts) <= 1, (pool, hosts)


def _voter_ids(fleet):
    return {node.replica.voter_id for node in fleet.node_by_host.values()}


async def find_violations(fleet, record):
    """Return the violations found in a history; empty if there are none."""
    found = []
    leader = fleet.leader()
    if leader is None:
        return ["no leader after the faults ended"]
    state = fleet.node_by_host[leader].replica.state
    order = [(item.change_id, item.revision) for item in state.history(0, 10_000)]
    if [revision for _, revision in order] != list(range(1, len(order) + 1)):
        found.append(f"revisions with gaps: {order}")
    change_ids = [change_id for change_id, _ in order]
    if len(set(change_ids)) != len(change_ids):
        found.append(f"a change id was accepted twice: {change_ids}")
    found += [
        f"accepted and lost: {item}" for item in record.accepted if item not in order
    ]
    for key, claimants in record.runs.items():
        if len(set(claimants)) > 1:
            found.append(f"key {key} ran twice: {claimants}")
    voters = {m.voter_id for m in state.members if m.votes}
    if voters != _voter_ids(fleet):
        found.append(f"wrong voters after the faults ended: {voters}")
    for host, node in fleet.node_by_host.items():
        if node.view.tables != state.tables:
            found.append(f"{host} has revision {node.view.tables.revision}")
        if node.view.freshness_left_s() == 0:
            found.append(f"{host} has no lease after the faults ended")
    return found
