"""Bounds of the time at which requests arrived in the socket of their connection."""

from dataclasses import dataclass
from typing import Any

from almondfield_daemon.loop_delay.core import IterationTimes

__all__ = ["ARRIVAL_KEY", "Arrival", "ArrivalTracker", "arrival_of"]

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


class ArrivalTracker:
    """Tells when the requests of one connection arrived.

    It is made together with the protocol of the connection.

    :param iterations: iterations of the event loop; None if it records none.
    """

    def __init__(self, iterations: IterationTimes | None) -> None:
        self._iterations = iterations
        self._is_first = True
        if iterations is not None:
            accepted_s = iterations.ready_between(ACCEPTED_ITERATIONS_AGO)
            self._connected_s = accepted_s[0]
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


def arrival_of(scope: Any) -> Arrival | None:
    """Return when a request arrived; None if that was not recorded.

    :param scope: ASGI scope of the request.
    """
    return scope.get("state", {}).get(ARRIVAL_KEY)
