"""Budget of what the connections of one process hold in memory, and of their number.

It handles up to some thousand connections, of which most hold nothing beyond the head
of the request that runs.
"""

from collections import Counter
from collections.abc import Mapping
from enum import Enum, StrEnum
from typing import Protocol

import eliot

from almondfield_core.clock import now

__all__ = ["ConnectionBudget", "Holder", "Limit", "Phase"]

LOG_INTERVAL_S = 1.0
FIRST_REQUEST_S = 1.0  # far more than an ordinary caller takes


class Limit(StrEnum):
    """A limit that a caller has met."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEADER_LINES = "header lines"
    HEADER_BYTES = "header bytes"
    FRAMING = "framing"


class Phase(Enum):
    """What a connection waits for."""

    WAITING = "waiting"  # for the caller: a whole request, or room for an answer
    WORKING = "working"  # for the answer to a whole request
    IDLE = "idle"  # for the next request


class Holder(Protocol):
    """A connection that counts in a budget."""

    def shed(self, limit: Limit) -> None:
        """Refuse what has come and close the connection at once.

        :param limit: the limit that is exceeded.
        """


class ConnectionBudget:
    """Limits what all connections hold, and closes some of them beyond the limit.

    Connections that wait for their callers are closed before any other, the oldest
    first of those that hold their mean or more, so that callers with little in memory
    stay while others fill it. If all that wait hold too little, the largest of all
    connections is closed.

    :param max_bytes: limit on all connections together, in bytes.
    :param max_connections: number of connections above which one that has no request
        to work on is closed for each new one, unless all of them have just come; 0 for
        no limit.
    :param most_connections: number of connections above which also one that has just
        come is closed.
    """

    def __init__(
        self, max_bytes: int, max_connections: int = 0, most_connections: int = 0
    ) -> None:
        self._most_connections = most_connections
        self._max_bytes = max_bytes
        self._max_connections = max_connections
        self._bytes_by_holder: dict[Holder, int] = {}
        # When they began to wait and to be idle, in that order, in seconds.
        self._waiting_since: dict[Holder, float] = {}
        self._idle_since: dict[Holder, float] = {}
        self._count = 0
        self._count_by_limit: Counter[Limit] = Counter()
        self._unlogged: Counter[Limit] = Counter()
        self._logged_s = -LOG_INTERVAL_S
        self.held_bytes = 0

    @property
    def count_by_limit(self) -> Mapping[Limit, int]:
        """Return how often callers have met each limit since the start."""
        return self._count_by_limit

    def connect(self, holder: Holder) -> None:
        """Count a new connection, and close one if there are too many.

        :param holder: the connection.
        """
        self._count += 1
        self._waiting_since[holder] = now()
        if self._max_connections and self._count > self._max_connections:
            victim = self._oldest()
            if victim is None:
                return
            self._forget(victim)
            self.record(Limit.CONNECTIONS)
            victim.shed(Limit.CONNECTIONS)

    def disconnect(self, holder: Holder) -> None:
        """Forget a connection that has ended.

        :param holder: the connection.
        """
        self._count -= 1
        self._forget(holder)

    def hold(self, holder: Holder, count: int, phase: Phase) -> None:
        """Replace what a connection holds, and close some if all hold too much.

        :param holder: the connection.
        :param count: bytes that it holds now, as they occupy memory.
        :param phase: what it waits for.
        """
        match phase:
            case Phase.WAITING:
                self._idle_since.pop(holder, None)
                if holder not in self._waiting_since:
                    self._waiting_since[holder] = now()
            case Phase.WORKING:
                self._idle_since.pop(holder, None)
                self._waiting_since.pop(holder, None)
            case Phase.IDLE:
                self._waiting_since.pop(holder, None)
                self._idle_since.pop(holder, None)
                self._idle_since[holder] = now()
        held = self._bytes_by_holder
        self.held_bytes += count - held.get(holder, 0)
        held[holder] = count
        while self.held_bytes > self._max_bytes:
            self._shed_one()

    def record(self, limit: Limit) -> None:
        """Count that a caller has met a limit, with at most one log line a second.

        :param limit: the limit.
        """
        self._count_by_limit[limit] += 1
        self._unlogged[limit] += 1
        if now() - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now()
        eliot.log_message(
            "connections:limited",
            count_by_limit={str(key): count for key, count in self._unlogged.items()},
            connections=self._count,
            held_bytes=self.held_bytes,
            max_bytes=self._max_bytes,
        )
        self._unlogged.clear()

    def _oldest(self) -> Holder | None:
        """Return the connection that is closed for a new one; None for none.

        New connections get some time for a request before they are closed.
        """
        latest_s = now() - FIRST_REQUEST_S
        for since_s_by_holder in (self._waiting_since, self._idle_since):
            for holder, since_s in since_s_by_holder.items():
                if since_s <= latest_s:
                    return holder
                break
        if self._count <= self._most_connections:
            return None
        return next(iter(self._waiting_since))

    def _shed_one(self) -> None:
        held = self._bytes_by_holder
        waiting = [held.get(holder, 0) for holder in self._waiting_since]
        waiting_bytes = sum(waiting)
        if waiting_bytes >= self.held_bytes - self._max_bytes:
            mean = waiting_bytes / len(waiting)
            victim = next(
                holder
                for holder, count in zip(self._waiting_since, waiting, strict=True)
                if count >= mean
            )
        else:
            victim = max(held, key=held.__getitem__)
        self._forget(victim)
        self.record(Limit.MEMORY)
        victim.shed(Limit.MEMORY)

    def _forget(self, holder: Holder) -> None:
        self._waiting_since.pop(holder, None)
        self._idle_since.pop(holder, None)
        self.held_bytes -= self._bytes_by_holder.pop(holder, 0)
