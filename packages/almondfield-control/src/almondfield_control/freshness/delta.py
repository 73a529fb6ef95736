"""Changes of rows that lead from one revision of the tables to a later one."""

from dataclasses import dataclass

from almondfield_core.tables import TableRows

__all__ = ["TablesDelta"]


@dataclass(frozen=True)
class TablesDelta:
    """What leads from one revision of the tables to another.

    :ivar base_revision: revision that the delta starts from.
    :ivar steps: rows put and removed by each revision after it, in order.
    """

    base_revision: int
    steps: tuple[TableRows, ...]

    @property
    def revision(self) -> int:
        """Return the revision that the delta leads to."""
        return self.base_revision + len(self.steps)
