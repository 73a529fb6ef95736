"""Elections with pre-votes."""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Ok

from almondfield_control.commands import Member
from almondfield_control.consensus.messages import VoteReply, VoteRequest
from almondfield_control.consensus.roles import Role
from almondfield_control.errors import StorageError
from almondfield_core.clock import now

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica

__all__ = ["Election"]


class Election:
    """Starts elections when the leader is unresponsive, and answers vote requests.

    :param replica: the member that campaigns and votes.
    """

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica

    def register_handlers(self) -> None:
        """Register the handler of vote requests."""
        self._replica.peers.register_handler(
            VoteRequest, self._on_vote, concurrent=True
        )

    async def run(self) -> None:
        """Campaign whenever no leader was seen for an election timeout."""
        replica = self._replica
        election_s = replica.timing.election_s
        while True:
            timeout_s = election_s * replica.rng.uniform(1.0, 2.0)
            pause_s = election_s * replica.rng.uniform(0.25, 0.75)
            timeout_at = replica.leader_last_seen_at + timeout_s
            await asyncio.sleep(max(pause_s, timeout_at - now()))
            if now() < replica.leader_last_seen_at + timeout_s:
                continue
            if replica.role is Role.FOLLOWER and replica.journal.failure is None:
                await self.campaign()

    async def campaign(self, hand_over: bool = False) -> None:
        """Campaign once; the member becomes the leader if it wins.

        :param hand_over: whether the leader gave up its lease for this member.
        """
        replica = self._replica
        if not hand_over and not await self._collect_votes(pre_vote=True):
            return
        if replica.role is not Role.FOLLOWER or not replica.is_voter:
            return
        if replica.has_recent_leader() and not hand_over:
            # During the pre-votes it voted for another member or heard of a leader,
            # which a newer term would depose.
            return
        term = replica.hard_state.term + 1
        replica.hard_state = replace(
            replica.hard_state, term=term, voted_for=replica.voter_id
        )
        replica.become_candidate()
        try:
            await replica.save()
        except StorageError:
            replica.step_down("its disk fails")
            return
        requested_at_by_voter = await self._collect_votes(
            pre_vote=False, hand_over=hand_over
        )
        is_still_candidate = (
            replica.hard_state.term == term and replica.role is Role.CANDIDATE
        )
        if not is_still_candidate:
            return
        if requested_at_by_voter:
            replica.become_leader(requested_at_by_voter)
        else:
            replica.step_down("it lost the election")

    async def _collect_votes(
        self, pre_vote: bool, hand_over: bool = False
    ) -> dict[str, float]:
        """Return when each granted vote was requested, by voter.

        The result is empty without a quorum of votes.
        """
        replica = self._replica
        requested_at = now()
        term = replica.hard_state.term + (1 if pre_vote else 0)
        requested_at_by_voter = {replica.voter_id: requested_at}
        pending = {
            asyncio.create_task(self._request_vote(member, term, pre_vote, hand_over))
            for member in replica.other_voters
        }
        try:
            while pending and len(requested_at_by_voter) < replica.quorum:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                requested_at_by_voter |= {
                    task.result(): requested_at for task in done if task.result()
                }
        finally:
            for task in pending:
                task.cancel()
        return (
            requested_at_by_voter
            if len(requested_at_by_voter) >= replica.quorum
            else {}
        )

    async def _request_vote(
        self, member: Member, term: int, pre_vote: bool, hand_over: bool
    ) -> str:
        replica = self._replica
        request = VoteRequest(
            cluster_id=replica.hard_state.cluster_id,
            to_voter=member.voter_id,
            term=term,
            candidate=replica.voter_id,
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            pre_vote=pre_vote,
            hand_over=hand_over,
        )
        reply = await replica.peers.request(
            member.host, request, replica.timing.election_s
        )
        match reply:
            case Ok(VoteReply(granted=True)):
                return member.voter_id
            case Ok(VoteReply(term=newer)) if newer > replica.hard_state.term:
                replica.adopt_term(newer)
        return ""

    async def _on_vote(self, sender: str, request: VoteRequest) -> VoteReply | None:
        replica = self._replica
        if not replica.is_recipient(request.cluster_id, request.to_voter):
            return None
        # Its own log may not hold its promotion yet, which the others have committed.
        if replica.has_recent_leader() and not request.hand_over:
            return VoteReply(replica.hard_state.term, False)
        if request.pre_vote:
            granted = (
                request.term > replica.hard_state.term
                and self._is_log_up_to_date(request)
            )
            return VoteReply(replica.hard_state.term, granted)
        if request.term > replica.hard_state.term:
            replica.adopt_term(request.term)
        granted = self._cast_vote(request)
        try:
            await replica.save()
        except StorageError:
            return VoteReply(replica.hard_state.term, False)
        granted = granted and replica.hard_state.term == request.term
        return VoteReply(replica.hard_state.term, granted)

    def _cast_vote(self, request: VoteRequest) -> bool:
        replica = self._replica
        if request.term != replica.hard_state.term or not self._is_log_up_to_date(
            request
        ):
            return False
        if replica.hard_state.voted_for not in ("", request.candidate):
            return False
        replica.hard_state = replace(replica.hard_state, voted_for=request.candidate)
        replica.leader_last_seen_at = now()
        return True

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        log = self._replica.log
        candidate_log = (request.last_term, request.last_index)
        return candidate_log >= (log.last_term, log.last_index)
