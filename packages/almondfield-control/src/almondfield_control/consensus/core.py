"""One member of the control group."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import eliot
from result import Err, Result

from almondfield_control.commands import Command, LogEntry, Member
from almondfield_control.consensus.election import Election
from almondfield_control.consensus.follower import Follower
from almondfield_control.consensus.formation import Formation
from almondfield_control.consensus.leadership import Leadership
from almondfield_control.consensus.limits import LogLimits
from almondfield_control.consensus.log import ReplicatedLog
from almondfield_control.consensus.messages import HandOver, JoinRequest
from almondfield_control.consensus.policy import GroupPolicy
from almondfield_control.consensus.roles import Role, RoleMachine
from almondfield_control.consensus.silence import SilenceReport
from almondfield_control.consensus.snapshots import Snapshot, SnapshotStore
from almondfield_control.consensus.tasks import BackgroundTasks
from almondfield_control.errors import StorageError
from almondfield_control.state import ControlState, decode_image
from almondfield_control.storage import (
    RETRY_INTERVAL_S,
    Disk,
    HardState,
    Journal,
    Recovered,
)
from almondfield_core.clock import WallClock, now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers
from almondfield_core.settings import TimingSettings

__all__ = ["Replica"]

_VOTER_ID_BITS = 128
MS_PER_S = 1000


class Replica:
    """A member of the control group with its log, state and role.

    :param peers: transport to the other hosts.
    :param disk: files of the data folder.
    :param configured: hosts that the settings name as voters.
    :param timing: intervals of the protocol.
    :param wall_clock: calendar time for new entries.
    :param rng: source of identities and election timeouts.
    :param policy: rules for the members of the group.
    :param limits: memory that the log may take.

    :ivar hard_state: the current hard state: identity, term and vote.
    :ivar synced_hard_state: the hard state that was last written durably.
    :ivar log: the replicated log.
    :ivar state: the state after the committed entries.
    :ivar commit_index: last entry known to be committed.
    :ivar durable_index: last entry known to be synced on this host.
    :ivar leader_host: host of the leader; empty if it is not known.
    :ivar leader_last_seen_at: time of the last message from a leader or of the last
        vote given, on the event loop's clock in seconds.
    :ivar silence_report: silent voters as the last leader told them.
    :ivar leadership: the leader's state for its term; None in other roles.
    :ivar formation: how the member forms or joins a group.
    """

    def __init__(
        self,
        peers: Peers,
        disk: Disk,
        configured: tuple[str, ...],
        timing: TimingSettings,
        wall_clock: WallClock,
        rng: random.Random,
        policy: GroupPolicy | None = None,
        limits: LogLimits | None = None,
    ) -> None:
        self.policy = policy or GroupPolicy()
        self.limits = limits or LogLimits()
        self.peers = peers
        self.configured = configured
        self.timing = timing
        self.wall_clock = wall_clock
        self.rng = rng
        self.journal = Journal(disk)
        self.hard_state = HardState(
            f"{rng.getrandbits(_VOTER_ID_BITS):032x}",
            may_form_with=configured if self.policy.may_form else (),
        )
        self.log = ReplicatedLog(0, 0, ())
        self.state = ControlState()
        self.commit_index = 0
        self.durable_index = 0
        self.leader_host = ""
        self.leader_last_seen_at = 0.0
        self.silence_report = SilenceReport()
        self.leadership: Leadership | None = None
        self.on_apply: list[Callable[[LogEntry, object], None]] = []
        self.on_elected: list[Callable[[], None]] = []
        self._roles = RoleMachine()
        self.synced_hard_state = HardState("")
        self._tasks = BackgroundTasks()
        self.snapshots = SnapshotStore(self)
        self._follower = Follower(self)
        self.formation = Formation(self)
        self._election = Election(self)

    @property
    def role(self) -> Role:
        """Return the current role."""
        return Role(self._roles.role)

    @property
    def voter_id(self) -> str:
        """Return the identity stored in the data folder."""
        return self.hard_state.voter_id

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads and its lease is valid."""
        return self.leadership is not None and self.leadership.has_lease()

    @property
    def waiting_for(self) -> str:
        """Return why this member belongs to no group yet; empty if it does."""
        return self.formation.waiting_for

    @property
    def is_voter(self) -> bool:
        """Return whether the newest membership lists this identity as a voter."""
        return any(m.voter_id == self.voter_id and m.votes for m in self.log.members)

    @property
    def other_voters(self) -> tuple[Member, ...]:
        """Return the voting members other than this one."""
        return tuple(
            m for m in self.log.members if m.votes and m.voter_id != self.voter_id
        )

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority, this one included."""
        return sum(m.votes for m in self.log.members) // 2 + 1

    async def run(self) -> None:
        """Recover the data folder, then run the protocol until cancelled.

        :raises DamageError: if the folder holds damaged records.
        """
        await self._recover()
        self._register_handlers()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.journal.run())
                group.create_task(self.formation.run())
                group.create_task(self._election.run())
                group.create_task(self._tasks.raise_failure())
        finally:
            self.step_down("it stops")

    async def propose(self, command: Command) -> Result[object, ControlUnavailable]:
        """Return the outcome of a command once it is committed and applied.

        :param command: the command.
        """
        if not self.is_leader:
            return Err(ControlUnavailable("not the leader", certainly_not_done=True))
        return await self.leadership.propose(command)

    async def save(self) -> None:
        """Write the hard state durably if it has changed.

        :raises StorageError: if the write failed.
        """
        if self.hard_state != self.synced_hard_state:
            hard_state = self.hard_state
            await self.journal.write(hard_state=hard_state)
            self.synced_hard_state = hard_state

    def adopt_term(self, term: int) -> None:
        """Move to a newer term and step down; the caller then awaits :meth:`save`.

        :param term: a term not lower than the current one.
        """
        if term > self.hard_state.term:
            self.hard_state = replace(self.hard_state, term=term, voted_for="")
        self.step_down(f"another host has term {term}")

    def step_down(self, reason: str) -> None:
        """Give up leadership or candidacy.

        :param reason: why, for the log.
        """
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.stop()
            eliot.log_message(
                "control:steps-down",
                host=self.peers.host,
                term=leadership.term,
                reason=reason,
                quorum_age_ms=round(leadership.quorum_age_s() * MS_PER_S, 1),
            )
            self.leader_host = ""
        if self.role is not Role.UNFORMED:
            self.become_follower_or_learner()

    def become_follower_or_learner(self) -> None:
        """Become a follower if this member votes, else a learner."""
        wanted = Role.FOLLOWER if self.is_voter else Role.LEARNER
        if self.role is wanted:
            return
        if self.is_voter:
            self._roles.become_follower()
        else:
            self._roles.become_learner()

    def become_candidate(self) -> None:
        """Become a candidate for the current term."""
        self.leader_host = ""
        self._roles.become_candidate()

    def become_leader(self, requested_at_by_voter: dict[str, float]) -> None:
        """Become the leader of the current term.

        :param requested_at_by_voter: when each vote was requested, on the loop's clock,
            by identity.
        """
        self._roles.become_leader()
        self.leader_host = self.peers.host
        self.leadership = Leadership(self, requested_at_by_voter)
        self.leadership.start()
        eliot.log_message(
            "control:leads", host=self.peers.host, term=self.hard_state.term
        )
        for callback in self.on_elected:
            callback()

    def has_recent_leader(self) -> bool:
        """Return whether a leader was seen or a vote given within an election time.

        During that time this member grants votes only after a hand-over; the leader's
        lease relies on that.
        """
        return now() < self.leader_last_seen_at + self.timing.election_s

    def commit(self, index: int) -> None:
        """Apply the committed entries up to an index.

        :param index: last entry known to be committed.
        """
        index = min(index, self.log.last_index)
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry(self.commit_index)
            outcome = self.state.apply(entry)
            for callback in tuple(self.on_apply):
                callback(entry, outcome)
            self.snapshots.record_applied(entry.body)

    def append(self, entry: LogEntry) -> asyncio.Task[None]:
        """Append an entry of the current term to the local log.

        :param entry: the entry that follows the last one.
        :returns: a task that ends once the write is durable or has failed.
        """
        self.log.append((entry,))
        return self.spawn(
            self._await_durable(self.journal.write(entries=(entry,)), entry)
        )

    def install(
        self,
        snapshot: Snapshot,
        state: ControlState,
        log: ReplicatedLog,
        durable_index: int,
    ) -> None:
        """Replace state and log by a durable snapshot.

        :param snapshot: the snapshot.
        :param state: the state decoded from it.
        :param log: the entries after it.
        :param durable_index: last entry that is synced.
        """
        self.state = state
        self.log = log
        self.commit_index = snapshot.index
        self.durable_index = durable_index
        self.snapshots.latest = snapshot
        self.become_follower_or_learner()

    def is_recipient(self, cluster_id: str, to_voter: str) -> bool:
        """Return whether a message is addressed to this identity and group.

        :param cluster_id: group of the sender.
        :param to_voter: identity of the intended recipient.
        """
        if to_voter != self.voter_id or not self.hard_state.voter_id:
            return False
        return self.formation.accept_group(cluster_id)

    def spawn(self, coroutine) -> asyncio.Task[None]:
        """Return a background task; its failure ends :meth:`run`.

        :param coroutine: coroutine that the task runs.
        """
        return self._tasks.spawn(coroutine)

    async def _recover(self) -> None:
        recovered = await self._read_folder()
        self.leader_last_seen_at = now()
        self.hard_state = recovered.hard
        if recovered.is_synced:
            self.synced_hard_state = recovered.hard
        members = recovered.hard.members
        if recovered.base_index:
            image = await decode_image(recovered.snapshot)
            self.state = ControlState.restore(image)
            members = self.state.members
            self.snapshots.latest = Snapshot(
                recovered.base_index, recovered.base_term, recovered.snapshot
            )
        self.state.members = members
        self.log = ReplicatedLog(recovered.base_index, recovered.base_term, members)
        self.log.append(recovered.entries)
        self.commit_index = recovered.base_index
        self.durable_index = recovered.synced_index
        if self.hard_state.formed:
            self.become_follower_or_learner()

    async def _read_folder(self) -> Recovered:
        """Return the content of the folder, or a new identity once it is durable.

        A disk that is full or fails is tried again. Until then the member takes part in
        nothing, as nobody may know an identity that isn't kept.
        """
        while True:
            try:
                recovered = await self.journal.recover()
                if recovered.hard is None:
                    await self.journal.compact(self.hard_state, 0, 0, b"", ())
                    return Recovered(self.hard_state, is_synced=True)
            except StorageError:
                # The journal has logged the reason.
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            return recovered

    def _register_handlers(self) -> None:
        self._follower.register_handlers()
        self.peers.register_handler(HandOver, self._on_hand_over)
        self.peers.register_handler(JoinRequest, self._on_join)
        self.formation.register_handlers()
        self._election.register_handlers()

    async def _await_durable(
        self, written: asyncio.Future[None], entry: LogEntry
    ) -> None:
        try:
            await written
        except StorageError:
            # The journal writes it again before any later write.
            while self.journal.failure is not None:
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.mark_durable(entry.index, entry.term)
        if self.leadership is not None:
            self.leadership.advance_commit_index()

    def mark_durable(self, index: int, term: int) -> None:
        """Record that the log is synced up to an entry, if it still holds that entry.

        :param index: index of the entry.
        :param term: term of the entry.
        """
        if self.log.term_at(index) == term:
            self.durable_index = max(self.durable_index, index)

    async def _on_hand_over(self, sender: str, message: HandOver) -> None:
        if not self.is_recipient(message.cluster_id, message.to_voter):
            return
        if message.term == self.hard_state.term and self.role is Role.FOLLOWER:
            self.spawn(self._election.campaign(hand_over=True))

    async def _on_join(self, sender: str, message: JoinRequest) -> None:
        host = message.host or sender
        if not self.policy.dynamic_membership and sender not in self.configured:
            return
        if self.is_leader:
            self.leadership.membership.add_learner(message.voter_id, host)
        elif self.policy.dynamic_membership and self.leader_host and not message.host:
            self.peers.send(self.leader_host, JoinRequest(message.voter_id, host))
