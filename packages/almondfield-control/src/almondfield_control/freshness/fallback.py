"""Freshness leases for a host that does not reach a leader."""

import asyncio

from result import Ok

from almondfield_control.freshness.messages import (
    RelayReply,
    RelayRequest,
    RevisionAnswer,
    RevisionQuery,
)
from almondfield_control.freshness.view import HostView
from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_core.settings import TimingSettings

__all__ = ["Fallback", "is_current"]

ASK_TIMEOUT_S = 0.3
NEIGHBOURS_ASKED = 2


class Fallback:
    """Leases from a quorum of voters, or from neighbours that hold one.

    :param peers: messages to the other hosts.
    :param view: where tables and leases go.
    :param voters: hosts that may hold a voter.
    :param hosts: every host of the deployment.
    :param timing: lifetimes of leases.
    """

    def __init__(
        self,
        peers: Peers,
        view: HostView,
        voters: tuple[str, ...],
        hosts: tuple[str, ...],
        timing: TimingSettings,
    ) -> None:
        self._peers = peers
        self._view = view
        self._voters = voters
        self._neighbours = _after(hosts, peers.host)
        self._timing = timing

    def listen(self) -> None:
        """Relay leases to neighbours from now on."""
        self._peers.listen(RelayRequest, self._on_relay)

    async def renew(self) -> bool:
        """Return whether a quorum of voters or a neighbour gave a lease."""
        return await self._ask_voters() or await self._ask_neighbours()

    async def _ask_voters(self) -> bool:
        sent_at = now()
        revision = self._view.tables.revision
        answers = await self._ask_all(self._voters, RevisionQuery())
        if not is_current(answers, revision):
            return False
        until = sent_at + self._timing.freshness_lease_s
        self._view.take_freshness(revision, until)
        return True

    async def _ask_neighbours(self) -> bool:
        neighbours = self._neighbours[:NEIGHBOURS_ASKED]
        self._neighbours = self._neighbours[1:] + self._neighbours[:1]
        sent_at = now()
        request = RelayRequest(self._view.tables.revision)
        for reply in await self._ask_all(neighbours, request):
            if reply.tables is not None:
                self._view.take_tables(reply.tables)
            until = sent_at + reply.left_s
            if reply.left_s > 0:
                self._view.take_freshness(reply.revision, until, relayed=True)
        return self._view.freshness_left_s() > 0

    async def _ask_all(self, hosts: tuple[str, ...], message: object) -> list:
        answers = await asyncio.gather(
            *(self._peers.ask(host, message, ASK_TIMEOUT_S) for host in hosts)
        )
        return [answer.ok_value for answer in answers if isinstance(answer, Ok)]

    async def _on_relay(self, sender: str, request: RelayRequest) -> RelayReply:
        tables = self._view.tables
        left_s = self._view.relay_left_s()
        news = tables if left_s > 0 and request.revision < tables.revision else None
        return RelayReply(left_s, tables.revision, news)


def is_current(answers: list[RevisionAnswer], revision: int) -> bool:
    """Return whether a quorum answered, knows no leader and holds nothing newer.

    :param answers: answers of voters.
    :param revision: revision of the tables in question.
    """
    if not answers:
        return False
    newest = max(answers, key=lambda answer: answer.members_index)
    voters = {member.voter_id for member in newest.members if member.votes}
    by_voter = {a.voter_id: a for a in answers if a.voter_id in voters}
    if len(by_voter) <= len(voters) // 2:
        return False
    return all(
        not answer.hears_leader and answer.revision <= revision
        for answer in by_voter.values()
    )


def _after(hosts: tuple[str, ...], host: str) -> tuple[str, ...]:
    place = hosts.index(host)
    return hosts[place + 1 :] + hosts[:place]
