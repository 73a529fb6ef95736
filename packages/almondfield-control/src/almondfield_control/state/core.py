"""The replicated state: tables, audit trail, pool leases, claims, fencing."""

import itertools
from dataclasses import dataclass

import msgspec
from almondfield_core.messages import (
    ChangeAccepted,
    ChangeConflict,
    PoolLease,
    RowChange,
)
from almondfield_core.tables import TableIndex, TableRows, Tables

from almondfield_control.commands import (
    ClaimKey,
    FencingIssued,
    LeasePool,
    LogEntry,
    LoseClaims,
    Member,
    MembershipChange,
    NoOperation,
    SettleClaim,
    TableCommand,
    command_of,
)
from almondfield_control.state.audit import AcceptedChange
from almondfield_control.state.claims import ClaimRecord, ClaimTable

__all__ = ["MAX_AUDIT_RECORDS", "ControlState"]

MAX_AUDIT_RECORDS = 1_000
MAX_CONFLICTS = 1_000
MAX_CHANGE_IDS = 50_000


@dataclass(frozen=True)
class _StateImage:
    """The whole state as a snapshot holds it."""

    index: int
    unix_s: float
    tables: Tables
    audit: tuple[AcceptedChange, ...]
    conflicts: tuple[ChangeConflict, ...]
    pool_leases: tuple[PoolLease, ...]
    claims: tuple[ClaimRecord, ...]
    fencing: int
    members: tuple[Member, ...]
    leases_index: int
    revision_by_change_id: dict[str, int]


class ControlState:
    """State after the entries applied so far.

    :ivar index: last applied entry.
    :ivar unix_s: time of the newest entry; never goes back.
    :ivar tables: the tables.
    :ivar table_index: the tables by the keys of their rows.
    :ivar lease_by_pool: the host that each pool is leased to.
    :ivar leases_index: entry that last changed a pool lease.
    :ivar claims: claims on idempotency keys.
    :ivar fencing: last fencing number that was issued.
    :ivar members: members as of the last applied entry.
    """

    def __init__(self) -> None:
        self.index = 0
        self.unix_s = 0.0
        self.tables = Tables()
        self.table_index = TableIndex()
        self.lease_by_pool: dict[str, PoolLease] = {}
        self.leases_index = 0
        self.claims = ClaimTable()
        self.fencing = 0
        self.members: tuple[Member, ...] = ()
        self._audit_by_revision: dict[int, AcceptedChange] = {}
        self._revision_by_change_id: dict[str, int] = {}
        self._conflict_by_change_id: dict[str, ChangeConflict] = {}

    def apply(self, entry: LogEntry) -> object:
        """Return what a committed entry leads to.

        :param entry: the entry after :attr:`index`.
        """
        self.index = entry.index
        self.unix_s = max(self.unix_s, entry.unix_s)
        match command_of(entry):
            case NoOperation():
                return None
            case MembershipChange(members):
                self.members = members
                return members
            case TableCommand(change):
                return self._change_tables(change)
            case LeasePool(pool, host):
                return self._lease_pool(pool, host)
            case ClaimKey() as command:
                return self.claims.claim(command, self.unix_s)
            case SettleClaim() as command:
                return self.claims.settle(command)
            case LoseClaims() as command:
                return self.claims.lose(command)
            case FencingIssued():
                self.fencing += 1
                return self.fencing

    def answer_of(self, change_id: str) -> ChangeAccepted | ChangeConflict | None:
        """Return the first answer to a change; None where it is not known.

        :param change_id: identifier of the change.
        """
        revision = self._revision_by_change_id.get(change_id)
        if revision is not None:
            return ChangeAccepted(change_id, revision)
        return self._conflict_by_change_id.get(change_id)

    def history(
        self, after_revision: int, limit: int, last_revision: int | None = None
    ) -> tuple[AcceptedChange, ...]:
        """Return accepted changes in order.

        :param after_revision: the first change has a greater revision.
        :param limit: number of changes, at most.
        :param last_revision: no change has a greater revision; None for no bound.
        """
        last = self.tables.revision if last_revision is None else last_revision
        changes = (
            change
            for revision, change in self._audit_by_revision.items()
            if after_revision < revision <= last
        )
        return tuple(itertools.islice(changes, limit))

    def rows_since(self, revision: int) -> tuple[TableRows, ...] | None:
        """Return the rows of each revision after one; None where not all are kept.

        :param revision: an accepted revision.
        """
        newest = self.tables.revision
        if revision < newest and revision + 1 not in self._audit_by_revision:
            return None
        revisions = range(revision + 1, newest + 1)
        return tuple(self._audit_by_revision[number].rows for number in revisions)

    def encode(self) -> bytes:
        """Return the whole state as MessagePack."""
        image = _StateImage(
            index=self.index,
            unix_s=self.unix_s,
            tables=self.tables,
            audit=tuple(self._audit_by_revision.values()),
            conflicts=tuple(self._conflict_by_change_id.values()),
            pool_leases=tuple(self.lease_by_pool.values()),
            claims=self.claims.records,
            fencing=self.fencing,
            members=self.members,
            leases_index=self.leases_index,
            revision_by_change_id=self._revision_by_change_id,
        )
        return msgspec.msgpack.encode(image)

    @classmethod
    def decode(cls, body: bytes) -> "ControlState":
        """Return the state that :meth:`encode` gave.

        :param body: the state as MessagePack.
        :raises msgspec.ValidationError: where the body is no state.
        """
        image = msgspec.msgpack.decode(body, type=_StateImage)
        state = cls()
        state.index = image.index
        state.unix_s = image.unix_s
        state.tables = image.tables
        state.table_index = TableIndex(image.tables)
        state.lease_by_pool = {lease.pool: lease for lease in image.pool_leases}
        state.claims = ClaimTable(image.claims)
        state.fencing = image.fencing
        state.members = image.members
        state.leases_index = image.leases_index
        state._revision_by_change_id = image.revision_by_change_id
        for record in image.audit:
            state._audit_by_revision[record.revision] = record
        for conflict in image.conflicts:
            state._conflict_by_change_id[conflict.change_id] = conflict
        return state

    def _change_tables(self, change: RowChange) -> ChangeAccepted | ChangeConflict:
        earlier = self.answer_of(change.change_id)
        if earlier is not None:
            return earlier
        if change.expect_revision != self.tables.revision:
            return self._refuse(change)
        revision = self.tables.revision + 1
        accepted = AcceptedChange(
            revision=revision,
            change_id=change.change_id,
            author=change.author,
            unix_s=self.unix_s,
            rows=change.rows,
            replaced=self.table_index.replaced_by(change.rows),
        )
        self.table_index.apply(change.rows)
        # Copies references only; the rows are shared with the tables before.
        self.tables = self.table_index.tables(revision)
        self._audit_by_revision[revision] = accepted
        self._revision_by_change_id[change.change_id] = revision
        self._drop_oldest()
        return ChangeAccepted(change.change_id, revision)

    def _refuse(self, change: RowChange) -> ChangeConflict:
        winner = self._audit_by_revision.get(change.expect_revision + 1)
        conflict = ChangeConflict(
            change_id=change.change_id,
            revision=self.tables.revision,
            winner_change_id=winner.change_id if winner else "",
            winner_author=winner.author if winner else "",
        )
        self._conflict_by_change_id[change.change_id] = conflict
        if len(self._conflict_by_change_id) > MAX_CONFLICTS:
            del self._conflict_by_change_id[next(iter(self._conflict_by_change_id))]
        return conflict

    def _drop_oldest(self) -> None:
        if len(self._audit_by_revision) > MAX_AUDIT_RECORDS:
            del self._audit_by_revision[next(iter(self._audit_by_revision))]
        if len(self._revision_by_change_id) > MAX_CHANGE_IDS:
            del self._revision_by_change_id[next(iter(self._revision_by_change_id))]

    def _lease_pool(self, pool: str, host: str) -> PoolLease:
        earlier = self.lease_by_pool.get(pool)
        epoch = earlier.epoch + 1 if earlier else 1
        self.lease_by_pool[pool] = PoolLease(pool, host, epoch)
        self.leases_index = self.index
        return self.lease_by_pool[pool]
