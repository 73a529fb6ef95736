"""Rules for forming a control group and for its membership."""

from dataclasses import dataclass

__all__ = ["GroupPolicy"]


@dataclass(frozen=True)
class GroupPolicy:
    """Rules for the members of a control group.

    :ivar may_form: whether a host with an empty folder may take part in forming
        a new group.
    :ivar dynamic_membership: whether every host that requests to join becomes a
        voter and an unresponsive one is removed; else only the configured hosts vote.
    :ivar min_voters: minimum number of voters: a lost one is removed below it only for
        a successor that holds the log, and no routing table is accepted below it.
    """

    may_form: bool = True
    dynamic_membership: bool = False
    min_voters: int = 1
