"""Fleet status as the leader reports it."""

from almondfield_control.commands import Member
from almondfield_control.consensus import Replica
from almondfield_control.freshness import HostLeases
from almondfield_core.clock import now
from almondfield_core.messages import FleetStatus, VoterStatus

__all__ = ["status_of"]

REACHABLE_ELECTION_TIMEOUTS = 2


def status_of(
    replica: Replica, leases: HostLeases, hosts: tuple[str, ...], in_force: bool
) -> FleetStatus:
    """Return the state of the fleet.

    :param replica: the leading member of the control group.
    :param leases: leases granted by the leader.
    :param hosts: every host of the deployment.
    :param in_force: whether the newest revision is in force at every host.
    """
    voters = tuple(_voter_status(replica, member) for member in replica.log.members)
    fresh_hosts = leases.fresh_hosts()
    return FleetStatus(
        leader=replica.peers.host,
        term=replica.hard_state.term,
        revision=replica.state.tables.revision,
        in_force=in_force,
        voters=voters,
        losses_tolerated=_losses_tolerated(replica, voters),
        pool_leases=tuple(replica.state.lease_by_pool.values()),
        hosts=fresh_hosts,
        findings=_findings(replica, voters, hosts, fresh_hosts),
    )


def _voter_status(replica: Replica, member: Member) -> VoterStatus:
    if member.voter_id == replica.voter_id:
        index = replica.durable_index
        return VoterStatus(member.voter_id, member.host, "leader", True, index)
    progress = replica.leadership.progress_by_voter.get(member.voter_id)
    reachable_within_s = REACHABLE_ELECTION_TIMEOUTS * replica.timing.election_s
    return VoterStatus(
        voter_id=member.voter_id,
        host=member.host,
        role="voter" if member.votes else "learner",
        reachable=progress is not None
        and progress.last_seen_at > now() - reachable_within_s,
        match_index=progress.match_index if progress else 0,
    )


def _losses_tolerated(replica: Replica, voters: tuple[VoterStatus, ...]) -> int:
    up_to_date = sum(
        1
        for voter in voters
        if voter.role != "learner"
        and voter.reachable
        and voter.match_index >= replica.commit_index
    )
    return max(0, up_to_date - replica.quorum)


def _findings(
    replica: Replica,
    voters: tuple[VoterStatus, ...],
    hosts: tuple[str, ...],
    fresh_hosts: tuple[str, ...],
) -> tuple[str, ...]:
    findings = [
        f"{voter.role} {voter.host} ({voter.voter_id}) does not answer"
        for voter in voters
        if not voter.reachable
    ]
    findings += [
        f"learner {voter.host} holds {voter.match_index} of "
        f"{replica.commit_index} entries"
        for voter in voters
        if voter.role == "learner"
    ]
    findings += [
        f"host {host} has no lease" for host in hosts if host not in fresh_hosts
    ]
    if replica.journal.failure is not None:
        findings.append(str(replica.journal.failure))
    return tuple(findings)
