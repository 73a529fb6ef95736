"""Measures and logs the delays of an event loop at intervals."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import eliot

from almondfield_core.clock import now
from almondfield_daemon.loop_delay.core import LATE_S, LongestDelay

__all__ = ["LoopMonitor"]

CHECK_INTERVAL_S = 0.25
LOG_INTERVAL_S = 1.0
MS_PER_S = 1000


class LoopMonitor:
    """Measures and logs the delays of the running event loop.

    :param observe: called with the longest delay of each interval, in seconds.
    """

    def __init__(self, observe: Callable[[float], None] = lambda delay_s: None) -> None:
        self.observe = observe
        self._longest_s = 0.0
        self._late_count = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        iterations = getattr(asyncio.get_running_loop(), "iterations", None)
        logged_s, cpu_s = now(), time.process_time()
        while True:
            due_s = now() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._add(now() - due_s, iterations)
            elapsed_s = now() - logged_s
            if elapsed_s < LOG_INTERVAL_S:
                continue
            cpu_before_s, cpu_s = cpu_s, time.process_time()
            logged_s = now()
            if self._longest_s >= LATE_S:
                eliot.log_message(
                    "loop:late",
                    longest_ms=round(self._longest_s * MS_PER_S, 1),
                    late_iterations=self._late_count,
                    interval_ms=round(elapsed_s * MS_PER_S, 1),
                    cores=round((cpu_s - cpu_before_s) / elapsed_s, 3),
                )
            self._longest_s = 0.0
            self._late_count = 0

    def _add(self, overdue_s: float, iterations: Any) -> None:
        """Add the delays of one interval.

        :param overdue_s: delay of the timer that ended it, in seconds; it takes one
            iteration or more.
        :param iterations: iterations of the event loop; None if it records none.
        """
        if iterations is None:
            longest = LongestDelay(overdue_s)
        else:
            longest = iterations.take_longest()
        self._longest_s = max(self._longest_s, longest.seconds)
        self._late_count += longest.late_count
        self.observe(longest.seconds)
