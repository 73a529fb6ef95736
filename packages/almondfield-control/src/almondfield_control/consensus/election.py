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
    """Stands for leader when none is heard, and answers vote requests.

    :param replica: the member that stands and votes.
    """

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica

    def listen(self) -> None:
        """Answer vote requests from now on."""
        self._replica.peers.listen(VoteRequest, self._on_vote, waits=True)

    async def run(self) -> None:
        """Stand whenever no leader was heard for an election timeout."""
        replica = self._replica
        election_s = replica.timing.election_s
        while True:
            timeout_s = election_s * replica.chance.uniform(1.0, 2.0)
            pause_s = election_s * replica.chance.uniform(0.25, 0.75)
            silent_at = replica.last_heard + timeout_s
            await asyncio.sleep(max(pause_s, silent_at - now()))
            if now() < replica.last_heard + timeout_s:
                continue
            if replica.role is Role.FOLLOWER and replica.journal.failure is None:
                await self.campaign()

    async def campaign(self, hand_over: bool = False) -> None:
        """Stand once; the member leads afterwards if it won.

        :param hand_over: whether the leader gave up its lease for this member.
        """
        replica = self._replica
        if not hand_over and not await self._poll(pre_vote=True):
            return
        if replica.role is not Role.FOLLOWER or not replica.votes:
            return
        term = replica.hard.term + 1
        replica.hard = replace(replica.hard, term=term, voted_for=replica.voter_id)
        replica.stand()
        try:
            await replica.save()
        except StorageError:
            replica.step_down()
            return
        heard_at = await self._poll(pre_vote=False, hand_over=hand_over)
        still_stands = replica.hard.term == term and replica.role is Role.CANDIDATE
        if not still_stands:
            return
        if heard_at:
            replica.lead(heard_at)
        else:
            replica.step_down()

    async def _poll(self, pre_vote: bool, hand_over: bool = False) -> dict[str, float]:
        """Return when each vote was asked for, by voter; empty without a quorum."""
        replica = self._replica
        asked_at = now()
        term = replica.hard.term + (1 if pre_vote else 0)
        heard_at = {replica.voter_id: asked_at}
        pending = {
            asyncio.create_task(self._ask(member, term, pre_vote, hand_over))
            for member in replica.other_voters
        }
        try:
            while pending and len(heard_at) < replica.quorum:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                heard_at |= {task.result(): asked_at for task in done if task.result()}
        finally:
            for task in pending:
                task.cancel()
        return heard_at if len(heard_at) >= replica.quorum else {}

    async def _ask(
        self, member: Member, term: int, pre_vote: bool, hand_over: bool
    ) -> str:
        replica = self._replica
        request = VoteRequest(
            cluster_id=replica.hard.cluster_id,
            to_voter=member.voter_id,
            term=term,
            candidate=replica.voter_id,
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            pre_vote=pre_vote,
            hand_over=hand_over,
        )
        answer = await replica.peers.ask(
            member.host, request, replica.timing.election_s
        )
        match answer:
            case Ok(VoteReply(granted=True)):
                return member.voter_id
            case Ok(VoteReply(term=newer)) if newer > replica.hard.term:
                replica.adopt_term(newer)
        return ""

    async def _on_vote(self, sender: str, request: VoteRequest) -> VoteReply | None:
        replica = self._replica
        if not replica.belongs(request.cluster_id, request.to_voter):
            return None
        if not replica.votes:
            return VoteReply(replica.hard.term, False)
        if replica.hears_leader() and not request.hand_over:
            return VoteReply(replica.hard.term, False)
        if request.pre_vote:
            granted = request.term > replica.hard.term and self._is_current(request)
            return VoteReply(replica.hard.term, granted)
        if request.term > replica.hard.term:
            replica.adopt_term(request.term)
        granted = self._vote(request)
        try:
            await replica.save()
        except StorageError:
            return VoteReply(replica.hard.term, False)
        granted = granted and replica.hard.term == request.term
        return VoteReply(replica.hard.term, granted)

    def _vote(self, request: VoteRequest) -> bool:
        replica = self._replica
        if request.term != replica.hard.term or not self._is_current(request):
            return False
        if replica.hard.voted_for not in ("", request.candidate):
            return False
        replica.hard = replace(replica.hard, voted_for=request.candidate)
        replica.last_heard = now()
        return True

    def _is_current(self, request: VoteRequest) -> bool:
        log = self._replica.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)
