"""One member of the control group."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import eliot
from result import Err, Result

from almondfield_control.commands import Command, LogEntry, Member
from almondfield_control.consensus.election import Election
from almondfield_control.consensus.follower import Following
from almondfield_control.consensus.formation import Formation
from almondfield_control.consensus.leadership import Leadership
from almondfield_control.consensus.log import ReplicatedLog
from almondfield_control.consensus.messages import HandOver, JoinRequest
from almondfield_control.consensus.policy import GroupPolicy
from almondfield_control.consensus.roles import Role, RoleMachine
from almondfield_control.consensus.snapshots import Snapshot, SnapshotStore
from almondfield_control.errors import StorageError
from almondfield_control.state import ControlState, decode_image
from almondfield_control.storage import Disk, HardState, Journal
from almondfield_core.clock import WallClock, now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers
from almondfield_core.settings import TimingSettings

__all__ = ["Replica"]

_VOTER_ID_BITS = 128


class Replica:
    """A member of the control group with its log, state and role.

    :param peers: messages to the other hosts.
    :param disk: files of the data folder.
    :param configured: hosts that the settings name as voters.
    :param timing: intervals of the protocol.
    :param wall_clock: calendar time for new entries.
    :param chance: source of identities and election timeouts.
    :param policy: rules for the members of the group.

    :ivar hard: what must never be forgotten.
    :ivar saved: the hard state as it is synced.
    :ivar log: the replicated log.
    :ivar state: the state after the committed entries.
    :ivar commit_index: last entry known to be committed.
    :ivar durable_index: last entry known to be synced here.
    :ivar leader_host: host of the leader; empty where none is known.
    :ivar last_heard: when a leader was heard or a vote given, on the loop's clock.
    :ivar leadership: what a leader keeps; None in other roles.
    """

    def __init__(
        self,
        peers: Peers,
        disk: Disk,
        configured: tuple[str, ...],
        timing: TimingSettings,
        wall_clock: WallClock,
        chance: random.Random,
        policy: GroupPolicy | None = None,
    ) -> None:
        self.policy = policy or GroupPolicy()
        self.peers = peers
        self.configured = configured
        self.timing = timing
        self.wall_clock = wall_clock
        self.chance = chance
        self.journal = Journal(disk)
        self.hard = HardState(f"{chance.getrandbits(_VOTER_ID_BITS):032x}")
        self.log = ReplicatedLog(0, 0, ())
        self.state = ControlState()
        self.commit_index = 0
        self.durable_index = 0
        self.leader_host = ""
        self.last_heard = 0.0
        self.leadership: Leadership | None = None
        self.on_apply: list[Callable[[LogEntry, object], None]] = []
        self.on_lead: list[Callable[[], None]] = []
        self._roles = RoleMachine()
        self.saved = HardState("")
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures: asyncio.Queue[BaseException] = asyncio.Queue()
        self.snapshots = SnapshotStore(self)
        self._following = Following(self)
        self._formation = Formation(self)
        self._election = Election(self)

    @property
    def role(self) -> Role:
        """Return what this member does now."""
        return Role(self._roles.role)

    @property
    def voter_id(self) -> str:
        """Return the identity in the data folder."""
        return self.hard.voter_id

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads and its lease has not run out."""
        return self.leadership is not None and self.leadership.is_confirmed()

    @property
    def waiting_for(self) -> str:
        """Return what keeps this member from belonging to a group; else empty."""
        return self._formation.waiting_for

    @property
    def votes(self) -> bool:
        """Return whether the newest members name this identity as a voter."""
        return any(m.voter_id == self.voter_id and m.votes for m in self.log.members)

    @property
    def other_voters(self) -> tuple[Member, ...]:
        """Return the voting members but this one."""
        return tuple(
            m for m in self.log.members if m.votes and m.voter_id != self.voter_id
        )

    @property
    def quorum(self) -> int:
        """Return how many voters decide, this one included."""
        return sum(m.votes for m in self.log.members) // 2 + 1

    async def run(self) -> None:
        """Recover what the folder holds, then take part until cancelled.

        :raises DamageError: where the folder holds damaged records.
        """
        await self._recover()
        self._listen()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.journal.run())
                group.create_task(self._formation.run())
                group.create_task(self._election.run())
                group.create_task(self._end_on_failure())
        finally:
            self.step_down()

    async def propose(self, command: Command) -> Result[object, ControlUnavailable]:
        """Return the outcome of a command once it is committed and applied.

        :param command: the command.
        """
        if not self.is_leader:
            return Err(ControlUnavailable("not the leader", certainly_not_done=True))
        return await self.leadership.propose(command)

    async def save(self) -> None:
        """Return once the hard state is durable.

        :raises StorageError: where the write failed.
        """
        if self.hard != self.saved:
            hard = self.hard
            await self.journal.write(hard=hard)
            self.saved = hard

    def adopt_term(self, term: int) -> None:
        """Move to a newer term and give up any other role; :meth:`save` follows.

        :param term: a term that is at least the own one.
        """
        if term > self.hard.term:
            self.hard = replace(self.hard, term=term, voted_for="")
        self.step_down()

    def step_down(self) -> None:
        """Give up leadership or candidacy."""
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.stop()
            eliot.log_message(
                "control:steps-down", host=self.peers.host, term=leadership.term
            )
            self.leader_host = ""
        if self.role is not Role.UNFORMED:
            self.settle_role()

    def settle_role(self) -> None:
        """Take the role of a member that neither leads nor stands."""
        wanted = Role.FOLLOWER if self.votes else Role.LEARNER
        if self.role is wanted:
            return
        if self.votes:
            self._roles.follow()
        else:
            self._roles.learn()

    def stand(self) -> None:
        """Become a candidate."""
        self.leader_host = ""
        self._roles.stand()

    def lead(self, heard_at: dict[str, float]) -> None:
        """Become the leader of the term.

        :param heard_at: when the vote of each voter was asked for, by identity.
        """
        self._roles.win()
        self.leader_host = self.peers.host
        self.leadership = Leadership(self, heard_at)
        self.leadership.start()
        eliot.log_message("control:leads", host=self.peers.host, term=self.hard.term)
        for callback in self.on_lead:
            callback()

    def hears_leader(self) -> bool:
        """Return whether a promise to a leader or candidate still holds."""
        return now() < self.last_heard + self.timing.election_s

    def commit(self, index: int) -> None:
        """Apply what is committed up to an index.

        :param index: last entry known to be committed.
        """
        index = min(index, self.log.last_index)
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry(self.commit_index)
            outcome = self.state.apply(entry)
            for callback in tuple(self.on_apply):
                callback(entry, outcome)
            self.snapshots.count(entry.body)

    def append(self, entry: LogEntry) -> asyncio.Task[None]:
        """Append an entry of the own term to the own log.

        :param entry: the entry that follows the last one.
        :returns: a task that ends once the write is durable or has failed.
        """
        self.log.append((entry,))
        return self.spawn(
            self._await_durable(self.journal.write(entries=(entry,)), entry)
        )

    def install(
        self, snapshot: Snapshot, state: ControlState, log: ReplicatedLog
    ) -> None:
        """Take a durable snapshot in place of state and log.

        :param snapshot: the snapshot.
        :param state: the state that it holds.
        :param log: the entries after it.
        """
        self.state = state
        self.log = log
        self.commit_index = snapshot.index
        self.durable_index = log.last_index
        self.snapshots.latest = snapshot
        self.settle_role()

    def belongs(self, cluster_id: str, to_voter: str) -> bool:
        """Return whether a message addresses this identity in its group.

        :param cluster_id: group of the sender.
        :param to_voter: identity that is addressed.
        """
        if to_voter != self.voter_id or not self.hard.voter_id:
            return False
        return self._formation.accepts(cluster_id)

    def spawn(self, coroutine) -> asyncio.Task[None]:
        """Return a task that is kept until it ends.

        :param coroutine: what the task runs.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.put_nowait(task.exception())

    async def _end_on_failure(self) -> None:
        """Raise what a kept task raised: a member must not go on half alive."""
        raise await self._failures.get()

    async def _recover(self) -> None:
        recovered = await self.journal.recover()
        self.last_heard = now()
        if recovered.hard is None:
            await self.journal.compact(self.hard, 0, 0, b"", ())
            self.saved = self.hard
            return
        self.hard = self.saved = recovered.hard
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
        self.durable_index = self.log.last_index
        if self.hard.formed:
            self.settle_role()

    def _listen(self) -> None:
        self._following.listen()
        self.peers.listen(HandOver, self._on_hand_over)
        self.peers.listen(JoinRequest, self._on_join)
        self._formation.listen()
        self._election.listen()

    async def _await_durable(
        self, written: asyncio.Future[None], entry: LogEntry
    ) -> None:
        try:
            await written
        except StorageError:
            return
        self.mark_durable(entry.index, entry.term)
        if self.leadership is not None:
            self.leadership.advance()

    def mark_durable(self, index: int, term: int) -> None:
        """Note that the log is synced up to an entry, if it still holds that entry.

        :param index: place of the entry.
        :param term: term of the entry.
        """
        if self.log.term_at(index) == term:
            self.durable_index = max(self.durable_index, index)

    async def _on_hand_over(self, sender: str, message: HandOver) -> None:
        if not self.belongs(message.cluster_id, message.to_voter):
            return
        if message.term == self.hard.term and self.role is Role.FOLLOWER:
            self.spawn(self._election.campaign(hand_over=True))

    async def _on_join(self, sender: str, message: JoinRequest) -> None:
        host = message.host or sender
        if not self.policy.grows and sender not in self.configured:
            return
        if self.is_leader:
            self.leadership.membership.add_learner(message.voter_id, host)
        elif self.policy.grows and self.leader_host and not message.host:
            self.peers.send(self.leader_host, JoinRequest(message.voter_id, host))
