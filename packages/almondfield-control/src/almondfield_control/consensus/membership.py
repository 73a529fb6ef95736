"""Membership changes of a leader, one at a time."""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import eliot
from result import Err, Ok, Result

from almondfield_control.commands import Member, MembershipChange
from almondfield_core.clock import now

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica
    from almondfield_control.consensus.leadership import Leadership

__all__ = ["Membership"]

CHECK_INTERVAL_S = 0.2
LOST_VOTER_S = 3.0  # a voter that returns later joins again as a learner
LOST_LEARNER_S = 15.0  # longer than a restart or a network partition of seconds
MIN_OBSERVATION_S = 1.0  # of a new leader itself; covers new connections


class Membership:
    """Membership changes of one leader.

    A learner that replaces the lost identity of its host, or the voter of a lost host,
    is admitted in two changes: the lost voter is removed, then the learner becomes a
    voter. Successive memberships differ by one voter, so their quorums overlap. The
    removal comes first, so that a second loss in between leaves a quorum, and so that
    the voters don't come to outnumber the hosts that run.

    :param replica: the member that leads.
    :param leadership: leader state of its current term.
    """

    def __init__(self, replica: "Replica", leadership: "Leadership") -> None:
        self._replica = replica
        self._leadership = leadership

    async def run(self) -> None:
        """Replace lost voters, and apply dynamic membership, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.may_change():
                self._replace_lost_voters()
            if self._replica.policy.dynamic_membership and self.may_change():
                self._adjust_to_hosts()

    def add_learner(self, voter_id: str, host: str) -> None:
        """Add a member that replicates but does not vote.

        :param voter_id: identity stored in its data folder.
        :param host: name of its host.
        """
        members = self._replica.log.members
        if any(m.voter_id == voter_id for m in members) or not self.may_change():
            return
        members_on_host = [m for m in members if m.host == host]
        replaces = next((m.voter_id for m in members_on_host if m.votes), "")
        replaces = replaces or next((m.replaces for m in members_on_host), "")
        remaining = [m for m in members if m.votes or m.host != host]
        learner = Member(voter_id, host, votes=False, replaces=replaces)
        self._start_change((*remaining, learner))

    async def admit(self, host: str) -> Result[str, str]:
        """Return the host once its learner votes; the error gives the reason if not.

        :param host: name of the host.
        """
        learner = self._find_member(host, votes=False)
        if learner is None:
            return Err(f"host {host} has no learner")
        if not self._is_caught_up(learner):
            return Err(f"the learner on {host} does not hold the whole log yet")
        return await self._propose_change(self._members_promoting(learner), host)

    async def remove(self, host: str) -> Result[str, str]:
        """Return the host once it has no member; the error gives the reason if not.

        :param host: name of the host.
        """
        members = self._replica.log.members
        remaining = tuple(m for m in members if m.host != host)
        if host == self._replica.peers.host:
            return Err(f"host {host} is the leader; hand over leadership first")
        if len(remaining) == len(members):
            return Err(f"host {host} has no member")
        if not self._has_quorum(remaining):
            return Err(f"without {host} no quorum of the remaining voters responds")
        return await self._propose_change(remaining, host)

    async def _propose_change(
        self, members: tuple[Member, ...], host: str
    ) -> Result[str, str]:
        match await self._leadership.propose(MembershipChange(members)):
            case Ok(_):
                return Ok(host)
            case Err(unavailable):
                return Err(unavailable.reason)

    def _replace_lost_voters(self) -> None:
        members = self._replica.log.members
        for learner in members:
            if learner.votes or not learner.replaces:
                continue
            if not self._is_caught_up(learner):
                continue
            lost_voter = next(
                (m for m in members if m.voter_id == learner.replaces), None
            )
            if lost_voter is None:
                self._start_change(self._members_promoting(learner))
                return
            remaining = self._members_without(lost_voter)
            if self._is_unresponsive(lost_voter) and self._has_quorum(remaining):
                self._start_change(remaining)
                return

    def _adjust_to_hosts(self) -> None:
        """Admit a caught-up learner of a new host, or remove a lost member."""
        members = self._replica.log.members
        learners = [m for m in members if not m.votes and not m.replaces]
        admissible = next((m for m in learners if self._is_caught_up(m)), None)
        if admissible is not None:
            self._admit_new_host(admissible)
            return
        removable = self._removable_member()
        if removable is not None:
            self._start_change(self._members_without(removable))

    def _admit_new_host(self, learner: Member) -> None:
        """Promote a learner once every voter responds, or in place of a lost one.

        A voter that is added beside a lost one raises the quorum. After several
        replacements the hosts that run would be no more than a quorum.
        """
        members = self._replica.log.members
        voters = [m for m in members if m.votes]
        lost_voter = self._lost_voter()
        has_too_few = len(voters) < self._replica.policy.min_voters
        election_s = self._replica.timing.election_s
        if lost_voter is not None and not has_too_few:
            self._start_change(self._members_without(lost_voter))
        elif has_too_few or not any(self._is_silent(m, election_s) for m in voters):
            self._start_change(self._members_promoting(learner))

    def _removable_member(self) -> Member | None:
        """Return a member whose host is lost, or None if there is none.

        A lost voter above the minimum raises the quorum of those that run, and the next
        losses, that the minimum bears, may leave none.
        """
        members = self._replica.log.members
        for learner in members:
            if not learner.votes and self._is_unresponsive(learner, LOST_LEARNER_S):
                return learner
        voter_count = sum(m.votes for m in members)
        if voter_count <= self._replica.policy.min_voters:
            return None
        return self._lost_voter()

    def _lost_voter(self) -> Member | None:
        """Return an unresponsive voter without which there is a quorum, or None."""
        for voter in self._replica.log.members:
            if not voter.votes or not self._is_unresponsive(voter):
                continue
            if self._has_quorum(self._members_without(voter)):
                return voter
        return None

    def _start_change(self, members: tuple[Member, ...]) -> None:
        eliot.log_message(
            "control:changes-members",
            members=[(m.host, m.voter_id, m.votes) for m in members],
        )
        # Appended at once, so that no other change is begun from the same members.
        match self._leadership.append_command(MembershipChange(members)):
            case Err(unavailable):
                eliot.log_message("control:change-refused", reason=unavailable.reason)

    def may_change(self) -> bool:
        """Return whether no change is under way, as far as this leader can tell."""
        replica = self._replica
        committed = replica.log.members_index <= replica.commit_index
        return self._leadership.has_committed and committed

    def _members_promoting(self, learner: Member) -> tuple[Member, ...]:
        voter = replace(learner, votes=True, replaces="")
        return tuple(voter if m is learner else m for m in self._replica.log.members)

    def _members_without(self, lost: Member) -> tuple[Member, ...]:
        return tuple(m for m in self._replica.log.members if m is not lost)

    def _find_member(self, host: str, votes: bool) -> Member | None:
        members = self._replica.log.members
        return next((m for m in members if m.host == host and m.votes == votes), None)

    def _is_caught_up(self, learner: Member) -> bool:
        progress = self._leadership.progress_by_voter.get(learner.voter_id)
        if progress is None or self._is_unresponsive(learner):
            return False
        return progress.match_index >= self._replica.commit_index

    def _is_unresponsive(self, member: Member, silence_s: float = LOST_VOTER_S) -> bool:
        """Return whether a member counts as lost after a silence.

        :param member: the member.
        :param silence_s: the silence in seconds, under this leader or earlier ones.
        """
        observed_s = now() - self._leadership.started_at
        return observed_s > MIN_OBSERVATION_S and self._is_silent(member, silence_s)

    def _is_silent(self, member: Member, silence_s: float) -> bool:
        if member.voter_id == self._replica.voter_id:
            return False
        progress = self._leadership.progress_by_voter[member.voter_id]
        return now() > progress.silent_since + silence_s

    def _has_quorum(self, members: tuple[Member, ...]) -> bool:
        voters = [m for m in members if m.votes]
        responsive = [
            m
            for m in voters
            if m.voter_id == self._replica.voter_id or not self._is_unresponsive(m)
        ]
        return len(voters) > 0 and len(responsive) > len(voters) // 2
