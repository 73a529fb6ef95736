"""Formation of a new group, and joining with an empty data folder."""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import eliot
from result import Ok

from almondfield_control.commands import Member
from almondfield_control.consensus.log import ReplicatedLog
from almondfield_control.consensus.messages import (
    FormationOffer,
    FormationQuery,
    FormationState,
    JoinRequest,
)
from almondfield_control.consensus.roles import Role
from almondfield_control.errors import StorageError
from almondfield_core.clock import PeriodicTimer, now

if TYPE_CHECKING:
    from almondfield_control.consensus.core import Replica

__all__ = ["Formation"]

HEARTBEATS_PER_CHECK = 2
ELECTIONS_BEFORE_JOIN = 5  # without a leader; longer than most elections take
REQUEST_TIMEOUT_S = 1.0
_CLUSTER_ID_BITS = 64


class Formation:
    """Forms a group from empty data folders, or joins an existing group.

    A group forms only while all configured voters respond and have empty folders. The
    configured voter with the lowest host name offers the group. Each voter durably
    agrees to one group only, and the group exists once all have agreed. A host with an
    empty folder that finds an existing group joins it as a learner.

    :param replica: the member that forms or joins a group.

    :ivar waiting_for: why the member belongs to no group yet; empty if it does.
    """

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica
        self.waiting_for = ""
        self._heard_leader = ""

    def register_handlers(self) -> None:
        """Register the handlers of formation queries and offers."""
        self._replica.peers.register_handler(FormationQuery, self._on_query)
        self._replica.peers.register_handler(
            FormationOffer, self._on_offer, concurrent=True
        )

    async def run(self) -> None:
        """Form or join a group until cancelled; request to join again if removed."""
        replica = self._replica
        heartbeat_s = replica.timing.heartbeat_s
        timer = PeriodicTimer(replica.peers.host, HEARTBEATS_PER_CHECK * heartbeat_s)
        while True:
            if replica.hard_state.formed and self._is_member():
                self.waiting_for = ""
                if replica.role is Role.UNFORMED:
                    replica.become_follower_or_learner()
                if self._may_have_been_removed():
                    self._request_to_join()
            elif replica.hard_state.formed:
                self._request_to_join()
            else:
                await self._try_to_form()
            await timer.wait()

    def accept_group(self, cluster_id: str) -> bool:
        """Return whether this member belongs to a group, joining it if in none.

        A group only addresses identities in its membership, so a message shows that
        the group exists and lists this member.

        :param cluster_id: identifier of the group.
        """
        replica = self._replica
        if replica.hard_state.cluster_id not in ("", cluster_id):
            return False
        if not replica.hard_state.formed:
            replica.hard_state = replace(
                replica.hard_state, cluster_id=cluster_id, formed=True
            )
            replica.become_follower_or_learner()
        return True

    def record_leader(self, host: str) -> None:
        """Record a leader that addresses an earlier identity of this host.

        A host that lost its disk may know no other host of its group, as its settings
        may name hosts that are gone.

        :param host: host of the leader.
        """
        self._heard_leader = host

    def _set_waiting_for(self, reason: str) -> None:
        if reason != self.waiting_for:
            host = self._replica.peers.host
            eliot.log_message("control:waits", host=host, reason=reason)
        self.waiting_for = reason

    def _is_member(self) -> bool:
        members = self._replica.log.members
        return any(m.voter_id == self._replica.voter_id for m in members)

    def _may_have_been_removed(self) -> bool:
        """Return whether no leader counts this member, though its own log lists it.

        The entry that added a learner may be lost with an earlier leader, and a voter
        that was cut off may have been removed, which only the others' logs tell. A
        leader that counts it drops its request.
        """
        replica = self._replica
        if replica.role is Role.LEARNER:
            return not replica.has_recent_leader()
        if replica.role is Role.LEADER:
            return False
        limit_s = ELECTIONS_BEFORE_JOIN * replica.timing.election_s
        return now() > replica.leader_last_seen_at + limit_s

    async def _try_to_form(self) -> None:
        replica = self._replica
        others = [host for host in replica.configured if host != replica.peers.host]
        states = await self._request_all(others, FormationQuery(replica.voter_id))
        if replica.hard_state.formed:
            return
        if self._heard_leader or any(state.formed for state in states.values()):
            self._request_to_join()
            return
        if not replica.policy.may_form:
            self._set_waiting_for("an existing group")
            return
        missing = [host for host in others if host not in states]
        if missing:
            self._set_waiting_for(f"voters that do not respond: {', '.join(missing)}")
            return
        if replica.peers.host != min(replica.configured):
            self._set_waiting_for(f"{min(replica.configured)} to offer the group")
            return
        await self._offer(states)

    async def _offer(self, states: dict[str, FormationState]) -> None:
        replica = self._replica
        if not replica.hard_state.cluster_id:
            hosts_in_group = [host for host, s in states.items() if s.cluster_id]
            if hosts_in_group:
                hosts = ", ".join(hosts_in_group)
                self._set_waiting_for(
                    f"empty data folders on {hosts}: formation was interrupted"
                )
                return
            members = [Member(replica.voter_id, replica.peers.host)]
            members += [Member(s.voter_id, host) for host, s in states.items()]
            cluster_id = f"{replica.rng.getrandbits(_CLUSTER_ID_BITS):016x}"
            self._agree(cluster_id, tuple(members))
        if not await self._is_saved():
            # Others would wait for a group that this host doesn't know after a restart.
            self._set_waiting_for("a disk that can be written")
            return
        offer = FormationOffer(
            replica.hard_state.cluster_id, replica.hard_state.members
        )
        replies = await self._request_all(list(states), offer)
        agreed = {
            host: reply.voter_id
            for host, reply in replies.items()
            if reply.cluster_id == offer.cluster_id
        }
        expected = {m.host: m.voter_id for m in offer.members}
        del expected[replica.peers.host]
        if agreed != expected:
            not_agreed = ", ".join(host for host in expected if host not in agreed)
            self._set_waiting_for(
                f"agreement of {not_agreed or 'hosts with replaced folders'}"
            )
            return
        await self._confirm_formation(offer)

    async def _confirm_formation(self, offer: FormationOffer) -> None:
        replica = self._replica
        replica.hard_state = replace(replica.hard_state, formed=True)
        if not await self._is_saved():
            return
        replica.become_follower_or_learner()
        formed_offer = replace(offer, formed=True)
        others = [m.host for m in offer.members if m.host != replica.peers.host]
        await self._request_all(others, formed_offer)

    def _agree(self, cluster_id: str, members: tuple[Member, ...]) -> None:
        """Agree to a group; it counts once :meth:`_is_saved` returns true."""
        replica = self._replica
        replica.hard_state = replace(
            replica.hard_state, cluster_id=cluster_id, members=members
        )
        replica.state.members = members
        replica.log = ReplicatedLog(0, 0, members)

    async def _is_saved(self) -> bool:
        """Return whether the hard state is durable, writing it if it isn't."""
        try:
            await self._replica.save()
        except StorageError:
            return False
        return True

    async def _request_all(
        self, hosts: list[str], message: object
    ) -> dict[str, FormationState]:
        peers = self._replica.peers
        replies = await asyncio.gather(
            *(peers.request(host, message, REQUEST_TIMEOUT_S) for host in hosts)
        )
        return {
            host: reply.ok_value
            for host, reply in zip(hosts, replies)
            if isinstance(reply, Ok) and isinstance(reply.ok_value, FormationState)
        }

    def _request_to_join(self) -> None:
        replica = self._replica
        self._set_waiting_for("the leader to add this host as a learner")
        members = {member.host for member in replica.log.members}
        for host in members.union(replica.configured, [self._heard_leader]):
            if host not in ("", replica.peers.host):
                replica.peers.send(host, JoinRequest(replica.voter_id))

    async def _on_query(self, sender: str, query: FormationQuery) -> FormationState:
        return self._formation_state()

    async def _on_offer(
        self, sender: str, offer: FormationOffer
    ) -> FormationState | None:
        replica = self._replica
        is_listed = any(m.voter_id == replica.voter_id for m in offer.members)
        is_joining = is_listed and not replica.hard_state.cluster_id
        if is_joining:
            self._agree(offer.cluster_id, offer.members)
        if replica.hard_state.cluster_id == offer.cluster_id and offer.formed:
            self.accept_group(offer.cluster_id)
        # A repeated offer may arrive while the first agreement is being synced.
        return self._formation_state() if await self._is_saved() else None

    def _formation_state(self) -> FormationState:
        hard_state = self._replica.hard_state
        return FormationState(
            hard_state.voter_id, hard_state.cluster_id, hard_state.formed
        )
