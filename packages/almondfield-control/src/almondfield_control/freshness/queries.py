"""Revision queries that a voter answers for hosts without a leader."""

from almondfield_control.commands import TableCommand
from almondfield_control.consensus import Replica
from almondfield_control.freshness.messages import RevisionAnswer, RevisionQuery
from almondfield_core.wire import kind_of

__all__ = ["RevisionQueryHandler"]

_TABLE_KIND = kind_of(TableCommand)


class RevisionQueryHandler:
    """Answers revision queries.

    :param replica: the member of the control group on this host.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def register_handlers(self) -> None:
        """Register the handler of revision queries."""
        self._replica.peers.register_handler(RevisionQuery, self._on_query)

    async def _on_query(
        self, sender: str, query: RevisionQuery
    ) -> RevisionAnswer | None:
        replica = self._replica
        if not replica.is_voter:
            return None
        uncommitted = replica.log.entries_after(replica.commit_index)
        pending = sum(entry.kind == _TABLE_KIND for entry in uncommitted)
        return RevisionAnswer(
            voter_id=replica.voter_id,
            revision=replica.state.tables.revision + pending,
            hears_leader=replica.is_leader or replica.has_recent_leader(),
            members_index=replica.log.members_index,
            members=replica.log.members,
        )
