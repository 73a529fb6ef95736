"""The request to shut a daemon down, and when it came."""

import asyncio
from collections.abc import Callable

from almondfield_core.clock import now
from almondfield_core.containment import contain_errors

__all__ = ["StopSignal"]

# The event loop calls a signal's handler one iteration after it finds the signal, which
# may have interrupted the wait of the iteration before.
LEAST_ITERATIONS = 3
# Another thread may take the signal; the loop goes on until that thread wakes it.
MAX_HANDING_OVER_S = 0.02


class StopSignal(asyncio.Event):
    """Event that requests the shutdown of a daemon; set by the handler of a signal.

    A busy event loop learns of a signal late, but its sender counts the grace period
    of the shutdown from when it sent the signal.

    :ivar requested_s: earliest time at which the signal can have come, in seconds of
        the loop's clock; None before.
    """

    def __init__(self) -> None:
        super().__init__()
        self.requested_s: float | None = None
        self._callbacks: list[Callable[[float], None]] = []

    def set(self) -> None:
        """Record the request, and wake all tasks that wait for it."""
        super().set()
        if self.requested_s is None:
            self.requested_s = _earliest_s()
            for callback in self._callbacks:
                self._call(callback)

    def on_request(self, callback: Callable[[float], None]) -> None:
        """Call a function at the first request, before any task goes on that waits.

        After the request, it is called at once.

        :param callback: gets the time of the request.
        """
        if self.requested_s is None:
            self._callbacks.append(callback)
        else:
            self._call(callback)

    def _call(self, callback: Callable[[float], None]) -> None:
        with contain_errors("stop"):
            callback(self.requested_s)


def _earliest_s() -> float:
    """Return the earliest time at which a signal can have come that is handled now."""
    iterations = getattr(asyncio.get_running_loop(), "iterations", None)
    if iterations is None:
        return now()
    return iterations.earliest_ready_s(now() - MAX_HANDING_OVER_S, LEAST_ITERATIONS)
