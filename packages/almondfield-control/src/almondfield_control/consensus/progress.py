"""Replication progress of each member, kept by the leader."""

import asyncio

from almondfield_control.commands import Member

__all__ = ["Progress"]


class Progress:
    """Replication progress of one member.

    :param member: the member.
    :param next_index: first entry to send next.
    :param last_seen_at: when the newest message that it answered was sent, on the
        loop's clock.
    :param known_at: when it was last known to run before this leader asked it, on the
        loop's clock; an earlier leader may have told so.

    :ivar match_index: last entry that it holds durably.
    :ivar disk_fails: whether it reports that its last write to the disk failed.
    :ivar wake: set when there are entries to send.
    :ivar tasks: replication and heartbeat tasks of the member.
    """

    def __init__(
        self, member: Member, next_index: int, last_seen_at: float, known_at: float
    ) -> None:
        self.member = member
        self.match_index = 0
        self.disk_fails = False
        self.next_index = next_index
        self.last_seen_at = last_seen_at
        self._known_at = known_at
        self.wake = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def silent_since(self) -> float:
        """Return when the member was last known to run, on the loop's clock.

        Only :attr:`last_seen_at` counts for the lease of the leader.
        """
        return max(self.last_seen_at, self._known_at)
