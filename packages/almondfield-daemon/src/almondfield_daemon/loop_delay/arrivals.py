"""Bounds of the time at which requests arrived in the socket of their connection."""

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from almondfield_core.clock import now
from almondfield_daemon.loop_delay.core import IterationTimes

__all__ = [
    "ARRIVAL_KEY",
    "AcceptTimes",
    "Arrival",
    "ArrivalTracker",
    "arrival_of",
    "latest_arrival_s",
]

ARRIVAL_KEY = "arrival"  # in the state of an ASGI scope
# asyncio makes the protocol one iteration after it accepts the connection, and reads
# from it at the earliest two iterations after that.
ACCEPTED_ITERATIONS_AGO = 1
FIRST_READ_AFTER_ITERATIONS = 2


@dataclass(frozen=True)
class Arrival:
    """When the first byte of a request was in the socket.

    :ivar earliest_s: earliest possible time, in seconds of the loop's clock.
    :ivar latest_s: latest possible time, in seconds of the loop's clock.
    :ivar is_first: whether it is the first request of its connection.
    """

    earliest_s: float
    latest_s: float
    is_first: bool


class AcceptTimes:
    """Bounds the times at which the connections of one listener came.

    While more connections wait than the event loop accepts in one iteration, a
    connection may have come some iterations before it is accepted.

    :param per_iteration: largest number of connections accepted in one iteration.
    :param backlog: largest number of connections that wait to be accepted.
    """

    def __init__(self, per_iteration: int, backlog: int) -> None:
        self._per_iteration = per_iteration
        # Of the latest iteration, and of those before it that accepted all they could.
        self._earliest_s: deque[float] = deque(maxlen=-(-backlog // per_iteration))
        self._iteration = -1
        self._accepted = 0

    def connected_s(self, iterations: IterationTimes) -> float:
        """Return the earliest time at which a connection can have come.

        It is called once for each connection, when its protocol is made.

        :param iterations: iterations of the event loop.
        :returns: seconds of the loop's clock.
        """
        accepted_in = iterations.count - ACCEPTED_ITERATIONS_AGO
        if accepted_in != self._iteration:
            is_next = accepted_in == self._iteration + 1
            if not is_next or self._accepted < self._per_iteration:
                self._earliest_s.clear()
            earliest_s, _ = iterations.ready_between(ACCEPTED_ITERATIONS_AGO)
            self._earliest_s.append(earliest_s)
            self._iteration = accepted_in
            self._accepted = 0
        self._accepted += 1
        return self._earliest_s[0]


class ArrivalTracker:
    """Tells when the requests of one connection arrived.

    It is made together with the protocol of the connection.

    :param iterations: iterations of the event loop; None if it records none.
    :param accepts: times at which the listener's connections came.
    """

    def __init__(self, iterations: IterationTimes | None, accepts: AcceptTimes) -> None:
        self._iterations = iterations
        self._is_first = True
        if iterations is not None:
            self._connected_s = accepts.connected_s(iterations)
            self._first_read = iterations.count + FIRST_READ_AFTER_ITERATIONS

    def next_arrival(self) -> Arrival | None:
        """Return when the request arrived whose first byte is being read.

        :returns: None if the event loop records no iterations.
        """
        is_first, self._is_first = self._is_first, False
        if self._iterations is None:
            return None
        earliest_s, latest_s = self._iterations.ready_between()
        if is_first and self._iterations.count <= self._first_read:
            # It may have come together with the connection.
            earliest_s = self._connected_s
        return Arrival(earliest_s, latest_s, is_first)


def latest_arrival_s() -> float:
    """Return the latest time at which bytes arrived that are being read now.

    :returns: seconds of the loop's clock; the time of the call if the event loop
        records no iterations.
    """
    iterations = getattr(asyncio.get_running_loop(), "iterations", None)
    if iterations is None:
        return now()
    _, latest_s = iterations.ready_between()
    return latest_s


def arrival_of(state: Mapping[str, Any]) -> Arrival | None:
    """Return when a request arrived; None if that was not recorded.

    :param state: state of the request's ASGI scope.
    """
    return state.get(ARRIVAL_KEY)
