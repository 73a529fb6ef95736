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

    A group forms only while all configured voters respond and have empty folders. Of
    those that may form it, the one with the lowest host name proposes the group. Each
    voter durably agrees to one group only, and the group exists once all have agreed.
    Every voter that agreed offers the group to the others until then, so that it forms
    whichever of them restarts. A host with an empty folder that finds an existing group
    joins it as a learner.

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
        agreed_hosts = [member.host for member in replica.hard_state.members]
        voters = agreed_hosts or replica.configured
        others = [host for host in voters if host != replica.peers.host]
        states = await self._request_all(others, FormationQuery(replica.voter_id))
        if replica.hard_state.formed:
            return
        groups = {state.cluster_id for state in states.values() if state.formed}
        if groups and replica.hard_state.cluster_id in groups:
            self.accept_group(replica.hard_state.cluster_id)
        elif groups or self._heard_leader:
            self._request_to_join()
        elif replica.hard_state.cluster_id:
            await self._offer()
        elif self._can_propose(states):
            self._propose(states)
            await self._offer()

    def _can_propose(self, states: dict[str, FormationState]) -> bool:
        """Return whether this host proposes the group, recording why not otherwise.

        A host that restarts before its folder exists may not form a group any more. The
        next one then takes its place: without a folder, it can't have proposed any.

        :param states: formation states of the other configured voters, by host.
        """
        replica = self._replica
        may_form = {host for host, state in states.items() if state.may_form}
        if self._may_form():
            may_form.add(replica.peers.host)
        missing = [
            host
            for host in replica.configured
            if host not in states and host != replica.peers.host
        ]
        if not may_form:
            self._set_waiting_for("an existing group")
        elif missing:
            self._set_waiting_for(f"voters that do not respond: {', '.join(missing)}")
        elif any(state.cluster_id for state in states.values()):
            hosts = ", ".join(host for host, s in states.items() if s.cluster_id)
            self._set_waiting_for(f"{hosts} to offer the group")
        elif replica.peers.host != min(may_form):
            self._set_waiting_for(f"{min(may_form)} to offer the group")
        else:
            return True
        return False

    def _may_form(self) -> bool:
        """Return whether this configured voter may propose a group.

        The folder keeps what the settings said as it was created: no group of the same
        voters can exist without the agreement of this identity.
        """
        replica = self._replica
        if replica.peers.host not in replica.configured:
            return False
        kept = replica.hard_state.may_form_with
        return replica.policy.may_form or set(kept) == set(replica.configured)

    def _propose(self, states: dict[str, FormationState]) -> None:
        replica = self._replica
        members = [Member(replica.voter_id, replica.peers.host)]
        members += [Member(state.voter_id, host) for host, state in states.items()]
        cluster_id = f"{replica.rng.getrandbits(_CLUSTER_ID_BITS):016x}"
        self._agree(cluster_id, tuple(members))

    async def _offer(self) -> None:
        """Offer the group that this host agreed to; form it if all have agreed."""
        replica = self._replica
        if not await self._is_saved():
            # Others would wait for a group that this host doesn't know after a restart.
            self._set_waiting_for("a disk that can be written")
            return
        offer = FormationOffer(
            replica.hard_state.cluster_id, replica.hard_state.members
        )
        expected = {m.host: m.voter_id for m in offer.members}
        del expected[replica.peers.host]
        replies = await self._request_all(list(expected), offer)
        agreed = {
            host: reply.voter_id
            for host, reply in replies.items()
            if reply.cluster_id == offer.cluster_id
        }
        if replica.hard_state.formed:
            return
        if agreed != expected:
            replaced = [h for h, r in replies.items() if r.voter_id != expected[h]]
            missing = [host for host in expected if host not in agreed]
            self._wait_for_agreement(replaced, missing)
            return
        await self._confirm_formation(offer)

    def _wait_for_agreement(self, replaced: list[str], missing: list[str]) -> None:
        """Record which hosts haven't agreed, and whether they still can.

        :param replaced: hosts whose folders aren't those that the offer names.
        :param missing: hosts that haven't agreed.
        """
        if replaced:
            self._set_waiting_for(
                "this data folder to be emptied: that of "
                f"{', '.join(replaced)} was replaced while the group formed"
            )
            return
        self._set_waiting_for(f"agreement of {', '.join(missing)}")

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
        members = [member.host for member in replica.log.members]
        hosts = dict.fromkeys((*members, *replica.configured, self._heard_leader))
        for host in hosts:
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
            hard_state.voter_id,
            hard_state.cluster_id,
            hard_state.formed,
            self._may_form(),
        )
