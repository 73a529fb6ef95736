"""What the audit trail keeps of a change, and its record for operators."""

from dataclasses import dataclass

from almondfield_core.messages import AuditRecord
from almondfield_core.tables import TableRows, describe_rows

__all__ = ["AcceptedChange", "record_of"]


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


def record_of(accepted: AcceptedChange) -> AuditRecord:
    """Return the record of a change, with a line for each row.

    :param accepted: the change.
    """
    return AuditRecord(
        revision=accepted.revision,
        change_id=accepted.change_id,
        author=accepted.author,
        unix_s=accepted.unix_s,
        difference=describe_rows(accepted.replaced, accepted.rows),
    )
