"""The replicated log in memory, after the last snapshot."""

import itertools

from almondfield_control.commands import (
    LogEntry,
    Member,
    MembershipChange,
    command_of,
)
from almondfield_core.wire import kind_of

__all__ = ["ReplicatedLog"]

_MEMBERSHIP_KIND = kind_of(MembershipChange)


class ReplicatedLog:
    """Entries after a base index that a snapshot covers, with their memberships.

    :param base_index: last entry that the snapshot covers; 0 for none.
    :param base_term: term of that entry.
    :param members: members as of that entry.
    """

    def __init__(
        self, base_index: int, base_term: int, members: tuple[Member, ...]
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        self._members_by_index = {base_index: members}

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest membership, committed or not."""
        return self._members_by_index[self.members_index]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the newest membership."""
        return max(self._members_by_index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the log does not hold it.

        :param index: index of the entry.
        """
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Return an entry after the base.

        :param index: index of the entry.
        """
        return self._entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> tuple[LogEntry, ...]:
        """Return all entries after an index.

        :param index: index in the log, not before the base.
        """
        return tuple(self._entries[index - self.base_index :])

    def next_entries(
        self, index: int, max_count: int, max_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Return the first entries after an index, and at least one if there is any.

        :param index: index in the log, not before the base.
        :param max_count: maximum number of entries.
        :param max_bytes: maximum size of their bodies; a larger entry comes alone.
        """
        start = index - self.base_index
        candidates = self._entries[start : start + max_count]
        sizes = itertools.accumulate(len(entry.body) for entry in candidates)
        fitting = sum(1 for _ in itertools.takewhile(max_bytes.__ge__, sizes))
        return tuple(candidates[: max(1, fitting)])

    def bytes_between(self, index: int, last_index: int) -> int:
        """Return the size of the entries after an index, up to another one.

        :param index: index in the log, not before the base.
        :param last_index: index of the last entry that counts.
        """
        start = index - self.base_index
        stop = last_index - self.base_index
        return sum(len(entry.body) for entry in self._entries[start:stop])

    def retained_from(self, index: int, max_count: int, max_bytes: int) -> int:
        """Return the base that leaves a bounded number and size of covered entries.

        :param index: last entry that a snapshot covers.
        :param max_count: maximum number of entries up to it.
        :param max_bytes: maximum size of these entries.
        """
        first = max(self.base_index, index - max_count)
        covered = self._entries[first - self.base_index : index - self.base_index]
        sizes = itertools.accumulate(len(entry.body) for entry in reversed(covered))
        return index - sum(1 for _ in itertools.takewhile(max_bytes.__ge__, sizes))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that follow the last one.

        :param entries: the entries.
        """
        for entry in entries:
            if entry.kind == _MEMBERSHIP_KIND:
                self._members_by_index[entry.index] = command_of(entry).members
        self._entries.extend(entries)

    def truncate_after(self, index: int) -> None:
        """Drop the entries after an index.

        :param index: last entry to keep.
        """
        del self._entries[index - self.base_index :]
        for dropped_at in [at for at in self._members_by_index if at > index]:
            del self._members_by_index[dropped_at]

    def compact_to(self, index: int) -> None:
        """Drop the entries up to an index that a snapshot now covers.

        :param index: last entry that the snapshot covers.
        """
        base_term = self.term_at(index)
        members = self.members_as_of(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = base_term
        later = {at: item for at, item in self._members_by_index.items() if at > index}
        self._members_by_index = {index: members, **later}

    def members_as_of(self, index: int) -> tuple[Member, ...]:
        """Return the membership in effect at an entry.

        :param index: index of the entry.
        """
        return self._members_by_index[
            max(at for at in self._members_by_index if at <= index)
        ]
