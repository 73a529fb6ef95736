"""The replicated state: tables, audit trail, pool leases, claims, fencing."""

import itertools

from almondfield_control.commands import (
    ChangeEvacuation,
    ClaimKey,
    FencingIssued,
    LeasePool,
    LogEntry,
    MarkClaimsLost,
    Member,
    MembershipChange,
    NoOperation,
    PublishTable,
    SettleClaim,
    TableCommand,
    command_of,
)
from almondfield_control.state.audit import AcceptedChange
from almondfield_control.state.claims import ClaimTable
from almondfield_control.state.evacuations import EvacuationTable
from almondfield_control.state.image import StateHead, StateImage
from almondfield_core.messages import (
    ChangeAccepted,
    ChangeConflict,
    PoolLease,
    RowChange,
)
from almondfield_core.tables import TableIndex, TableRows, Tables

__all__ = ["MAX_AUDIT_RECORDS", "ControlState"]

MAX_AUDIT_RECORDS = 1_000
MAX_CONFLICTS = 1_000
MAX_CHANGE_IDS = 50_000


class ControlState:
    """Replicated state after the entries applied so far.

    :ivar index: last applied entry.
    :ivar unix_s: latest time of an applied entry, in seconds since 1970; it never
        decreases.
    :ivar tables: the tables.
    :ivar table_index: index of the table rows by key.
    :ivar lease_by_pool: the host that each pool is leased to.
    :ivar leases_index: entry that last changed a pool lease.
    :ivar claims: claims on idempotency keys.
    :ivar fencing: last fencing number that was issued.
    :ivar members: members as of the last applied entry.
    :ivar published: the routing table in force; None before the first one.
    :ivar evacuations: evacuations of data centres.
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
        self.published: PublishTable | None = None
        self.evacuations = EvacuationTable()
        self._audit_by_revision: dict[int, AcceptedChange] = {}
        self._revision_by_change_id: dict[str, int] = {}
        self._conflict_by_change_id: dict[str, ChangeConflict] = {}

    def apply(self, entry: LogEntry) -> object:
        """Apply a committed entry and return its outcome.

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
            case MarkClaimsLost() as command:
                return self.claims.mark_lost(command)
            case PublishTable() as command:
                return self._publish(command)
            case ChangeEvacuation() as command:
                return self.evacuations.change(command, entry.index, self.unix_s)
            case FencingIssued():
                self.fencing += 1
                return self.fencing

    def first_answer(self, change_id: str) -> ChangeAccepted | ChangeConflict | None:
        """Return the first answer to a change; None if none is kept.

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
        :param limit: maximum number of changes.
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
        """Return the rows of each later revision; None if not all are kept.

        :param revision: an accepted revision.
        """
        newest = self.tables.revision
        if revision < newest and revision + 1 not in self._audit_by_revision:
            return None
        revisions = range(revision + 1, newest + 1)
        return tuple(self._audit_by_revision[number].rows for number in revisions)

    def image(self) -> StateImage:
        """Return the whole state as it is now, for a snapshot."""
        head = StateHead(
            index=self.index,
            unix_s=self.unix_s,
            revision=self.tables.revision,
            conflicts=tuple(self._conflict_by_change_id.values()),
            pool_leases=tuple(self.lease_by_pool.values()),
            leases_index=self.leases_index,
            fencing=self.fencing,
            members=self.members,
            published=self.published,
            evacuations=self.evacuations.records,
            revision_by_change_id=dict(self._revision_by_change_id),
        )
        return StateImage(
            head=head,
            pools=self.tables.pools,
            routes=self.tables.routes,
            audit=tuple(self._audit_by_revision.values()),
            claims=self.claims.records,
        )

    @classmethod
    def restore(cls, image: StateImage) -> "ControlState":
        """Return the state restored from the result of :meth:`image`.

        :param image: the image.
        """
        head = image.head
        state = cls()
        state.index = head.index
        state.unix_s = head.unix_s
        state.tables = Tables(head.revision, image.pools, image.routes)
        state.table_index = TableIndex(state.tables)
        state.lease_by_pool = {lease.pool: lease for lease in head.pool_leases}
        state.claims = ClaimTable(image.claims)
        state.fencing = head.fencing
        state.members = head.members
        state.published = head.published
        state.evacuations = EvacuationTable(head.evacuations)
        state.leases_index = head.leases_index
        state._revision_by_change_id = dict(head.revision_by_change_id)
        state._audit_by_revision = {change.revision: change for change in image.audit}
        state._conflict_by_change_id = {
            conflict.change_id: conflict for conflict in head.conflicts
        }
        return state

    def _publish(self, command: PublishTable) -> int:
        """Publish a table if it is newer; return the version in force."""
        current = self.published
        if current is None or command.table.version > current.table.version:
            self.published = current = command
        return current.table.version

    def _change_tables(self, change: RowChange) -> ChangeAccepted | ChangeConflict:
        earlier = self.first_answer(change.change_id)
        if earlier is not None:
            return earlier
        if change.expect_revision != self.tables.revision:
            return self._record_conflict(change)
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
        # Copies references only; the rows are shared with the previous tables.
        self.tables = self.table_index.tables(revision)
        self._audit_by_revision[revision] = accepted
        self._revision_by_change_id[change.change_id] = revision
        self._drop_oldest()
        return ChangeAccepted(change.change_id, revision)

    def _record_conflict(self, change: RowChange) -> ChangeConflict:
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
