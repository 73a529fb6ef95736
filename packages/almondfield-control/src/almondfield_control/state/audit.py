"""Accepted changes of the audit trail, and their records for operators."""

import asyncio
from dataclasses import dataclass

from almondfield_core.messages import AuditRecord
from almondfield_core.tables import TableRows, describe_rows

__all__ = ["AcceptedChange", "audit_records_of"]

# Changes with more rows are described in a thread, so that heartbeats and leases are
# not delayed.
MAX_ROWS_ON_LOOP = 1_000


@dataclass(frozen=True)
class AcceptedChange:
    """A table change that was accepted.

    :ivar revision: revision that the change created.
    :ivar change_id: identifier of the change.
    :ivar author: author of the change.
    :ivar unix_s: when it was accepted, in seconds since 1970.
    :ivar rows: rows put and removed.
    :ivar replaced: previous rows with the same keys.
    """

    revision: int
    change_id: str
    author: str
    unix_s: float
    rows: TableRows
    replaced: TableRows


async def audit_records_of(
    changes: tuple[AcceptedChange, ...],
) -> tuple[AuditRecord, ...]:
    """Return the audit records of changes, with one line per changed row.

    :param changes: the changes.
    """
    if sum(len(change.rows) for change in changes) <= MAX_ROWS_ON_LOOP:
        return tuple(map(_record_of, changes))
    return await asyncio.to_thread(lambda: tuple(map(_record_of, changes)))


def _record_of(accepted: AcceptedChange) -> AuditRecord:
    return AuditRecord(
        revision=accepted.revision,
        change_id=accepted.change_id,
        author=accepted.author,
        unix_s=accepted.unix_s,
        difference=describe_rows(accepted.replaced, accepted.rows),
    )
