"""Renewal of a host's freshness lease without a leader."""

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

__all__ = ["FallbackRenewal", "is_current"]

REQUEST_TIMEOUT_S = 0.3
NEIGHBOURS_PER_ATTEMPT = 2


class FallbackRenewal:
    """Renews the freshness lease from a quorum of voters, or from a neighbour's lease.

    :param peers: transport to the other hosts.
    :param view: the tables and leases of this host, which are updated.
    :param voters: hosts that may run a voter.
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
        self._neighbours = _hosts_after(hosts, peers.host)
        self._timing = timing

    def register_handlers(self) -> None:
        """Register the handler of relay requests."""
        self._peers.register_handler(RelayRequest, self._on_relay)

    async def renew(self) -> bool:
        """Return whether a quorum of voters or a neighbour granted a lease."""
        return await self._renew_from_voters() or await self._renew_from_neighbours()

    async def _renew_from_voters(self) -> bool:
        sent_at = now()
        revision = self._view.tables.revision
        answers = await self._request_all(self._voters, RevisionQuery())
        if not is_current(answers, revision):
            return False
        expiry = sent_at + self._timing.freshness_lease_s
        self._view.extend_freshness(revision, expiry)
        return True

    async def _renew_from_neighbours(self) -> bool:
        neighbours = self._neighbours[:NEIGHBOURS_PER_ATTEMPT]
        self._neighbours = self._neighbours[1:] + self._neighbours[:1]
        sent_at = now()
        request = RelayRequest(self._view.tables.revision)
        for reply in await self._request_all(neighbours, request):
            if reply.tables is not None:
                self._view.install_tables(reply.tables)
            expiry = sent_at + reply.left_s
            if reply.left_s > 0:
                self._view.extend_freshness(reply.revision, expiry, relayed=True)
        return self._view.freshness_left_s() > 0

    async def _request_all(self, hosts: tuple[str, ...], message: object) -> list:
        answers = await asyncio.gather(
            *(self._peers.request(host, message, REQUEST_TIMEOUT_S) for host in hosts)
        )
        return [answer.ok_value for answer in answers if isinstance(answer, Ok)]

    async def _on_relay(self, sender: str, request: RelayRequest) -> RelayReply:
        tables = self._view.tables
        left_s = self._view.relay_lease_s()
        newer_tables = (
            tables if left_s > 0 and request.revision < tables.revision else None
        )
        return RelayReply(left_s, tables.revision, newer_tables)


def is_current(answers: list[RevisionAnswer], revision: int) -> bool:
    """Return whether a quorum answered, has no leader and no newer revision.

    :param answers: answers of voters.
    :param revision: revision to confirm.
    """
    if not answers:
        return False
    newest = max(answers, key=lambda answer: answer.members_index)
    voters = {member.voter_id for member in newest.members if member.votes}
    answer_by_voter = {a.voter_id: a for a in answers if a.voter_id in voters}
    if len(answer_by_voter) <= len(voters) // 2:
        return False
    return all(
        not answer.hears_leader and answer.revision <= revision
        for answer in answer_by_voter.values()
    )


def _hosts_after(hosts: tuple[str, ...], host: str) -> tuple[str, ...]:
    position = hosts.index(host)
    return hosts[position + 1 :] + hosts[:position]
