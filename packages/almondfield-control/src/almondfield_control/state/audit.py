"""What the audit trail keeps of a change, and its record for operators."""

import asyncio
from dataclasses import dataclass

from almondfield_core.messages import AuditRecord
from almondfield_core.tables import TableRows, describe_rows

__all__ = ["AcceptedChange", "records_of"]

# More rows than these are told in a thread, to keep heartbeats and leases going.
MAX_ROWS_ON_LOOP = 1_000


@dataclass(frozen=True)
class AcceptedChange:
    """One accepted change.

    :ivar revision: revision that the change made.
    :ivar change_id: identifier of the change.
    :ivar author: who asked for it.
    :ivar unix_s: when it was accepted, in seconds since 1970.
    :ivar rows: rows put and removed.
    :ivar replaced: rows that were there before under the same keys.
    """

    revision: int
    change_id: str
    author: str
    unix_s: float
    rows: TableRows
    replaced: TableRows


async def records_of(changes: tuple[AcceptedChange, ...]) -> tuple[AuditRecord, ...]:
    """Return the records of changes, with a line for each row.

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
