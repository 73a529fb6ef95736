"""Queue of the messages to one host, bounded by their number and their bytes."""

from collections import deque
from collections.abc import Callable, Iterator

from almondfield_daemon.peers.frames import Envelope, Purpose

__all__ = ["ByteBudget", "EnvelopeQueue", "counted_bytes"]

MAX_QUEUED_ENVELOPES = 4096
LARGE_BYTES = 64 * 1024  # smaller messages are bounded by their number


class ByteBudget:
    """Memory that the large messages of several queues may take together.

    :param max_bytes: size of these messages, in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def has_room(self, size: int) -> bool:
        """Return whether a message fits; one of any size fits if there is no other.

        :param size: size of the message in bytes.
        """
        return not self.used_bytes or self.used_bytes + size <= self.max_bytes


class EnvelopeQueue:
    """Messages in the order in which they are sent.

    A queue of too many messages drops its oldest one-way message first. One without
    room for a large message drops its own large ones, oldest first, and if it has none,
    that message. Requests that are dropped time out; one-way messages are sent anew.

    :param budget: bytes that this queue shares with others.
    :param on_drop: called for each message that is dropped.
    """

    def __init__(self, budget: ByteBudget, on_drop: Callable[[], None]) -> None:
        self._budget = budget
        self._on_drop = on_drop
        self._envelopes: deque[Envelope] = deque()

    def __len__(self) -> int:
        return len(self._envelopes)

    def __iter__(self) -> Iterator[Envelope]:
        return iter(self._envelopes)

    @property
    def next_size(self) -> int:
        """Return the size of the first message in bytes."""
        return len(self._envelopes[0].body)

    def append(self, envelope: Envelope) -> None:
        """Queue a message, and drop older ones for it if need be.

        :param envelope: the message.
        """
        if len(self._envelopes) >= MAX_QUEUED_ENVELOPES:
            self._drop(self._first_index(_is_one_way) or 0)
        size = counted_bytes(envelope)
        while size and not self._budget.has_room(size):
            large_index = self._first_index(counted_bytes)
            if large_index is None:
                self._on_drop()
                return
            self._drop(large_index)
        self._budget.used_bytes += size
        self._envelopes.append(envelope)

    def popleft(self) -> Envelope:
        """Remove and return the first message."""
        return self._remove(0)

    def remove_request(self, tag: int) -> None:
        """Remove a request if it is queued.

        :param tag: its tag.
        """
        index = self._first_index(
            lambda item: item.purpose is Purpose.REQUEST and item.tag == tag
        )
        if index is not None:
            self._remove(index)

    def drop_outdated(self) -> int:
        """Remove what a silent host needn't get any more; return how many messages.

        That is one-way messages, which describe an outdated state, and large replies,
        which would keep the messages to other hosts out of the budget.
        """
        removed = [item for item in self._envelopes if _may_be_outdated(item)]
        kept = (item for item in self._envelopes if not _may_be_outdated(item))
        self._envelopes = deque(kept)
        self._budget.used_bytes -= sum(map(counted_bytes, removed))
        return len(removed)

    def _first_index(self, is_wanted: Callable[[Envelope], object]) -> int | None:
        matching = (i for i, item in enumerate(self._envelopes) if is_wanted(item))
        return next(matching, None)

    def _drop(self, index: int) -> None:
        self._remove(index)
        self._on_drop()

    def _remove(self, index: int) -> Envelope:
        envelope = self._envelopes[index]
        del self._envelopes[index]
        self._budget.used_bytes -= counted_bytes(envelope)
        return envelope


def _is_one_way(envelope: Envelope) -> bool:
    return envelope.purpose is Purpose.ONE_WAY


def _may_be_outdated(envelope: Envelope) -> bool:
    is_reply = envelope.purpose is Purpose.REPLY
    return _is_one_way(envelope) or (is_reply and counted_bytes(envelope) > 0)


def counted_bytes(envelope: Envelope) -> int:
    """Return the size of a large message in bytes, 0 for a smaller one.

    :param envelope: the message.
    """
    body = envelope.body
    # Messages of a host to itself are objects, not bytes.
    size = len(body) if isinstance(body, bytes) else 0
    return size if size >= LARGE_BYTES else 0
