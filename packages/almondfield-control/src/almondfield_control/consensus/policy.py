"""How a control group comes to be and who may join it."""

from dataclasses import dataclass

__all__ = ["GroupPolicy"]


@dataclass(frozen=True)
class GroupPolicy:
    """Rules for the members of a control group.

    :ivar may_form: whether an empty folder may take part in forming a new group.
    :ivar grows: whether every host that asks becomes a voter, and one that stays
        silent stops being one; else only the configured hosts vote.
    :ivar least_voters: voters below which none is removed and no routing table is
        accepted.
    """

    may_form: bool = True
    grows: bool = False
    least_voters: int = 1
