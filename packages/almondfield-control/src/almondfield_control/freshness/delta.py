"""Differences between revisions of the tables."""

from dataclasses import dataclass

from almondfield_core.tables import TableRows

__all__ = ["TablesDelta"]


@dataclass(frozen=True)
class TablesDelta:
    """Row changes between one revision of the tables and a later one.

    :ivar base_revision: revision to which the delta applies.
    :ivar steps: rows put and removed by each revision after it, in order.
    """

    base_revision: int
    steps: tuple[TableRows, ...]

    @property
    def revision(self) -> int:
        """Return the revision that results from the delta."""
        return self.base_revision + len(self.steps)
