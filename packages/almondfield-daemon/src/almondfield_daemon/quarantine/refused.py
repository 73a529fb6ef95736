"""Servers that refused connections, so that their processes may have ended."""

from collections import OrderedDict

from almondfield_core.clock import now
from almondfield_daemon.fleet.registry import HEARTBEAT_TIMEOUT_S
from almondfield_daemon.server_notices import ServerStart

__all__ = ["RefusedStarts"]

# Announcements of a process that has ended may come late by a heartbeat timeout, and
# count for as long again. The next process is announced by then, or the server counts
# as unresponsive.
REFUSED_MEMORY_S = 2 * HEARTBEAT_TIMEOUT_S
REPORT_INTERVAL_S = 1.0
MAX_STARTS = 1000


class RefusedStarts:
    """The starts of servers that refused a connection in ``REFUSED_MEMORY_S``."""

    def __init__(self) -> None:
        self._refused_s_by_start: OrderedDict[ServerStart, float] = OrderedDict()

    def __contains__(self, start: ServerStart) -> bool:
        refused_s = self._refused_s_by_start.get(start)
        return refused_s is not None and now() - refused_s < REFUSED_MEMORY_S

    def add(self, start: ServerStart) -> bool:
        """Record that a server refused a connection.

        :param start: the start of the server, as it was announced.
        :returns: whether others should be told, as the last time is a while ago.
        """
        known_s = self._refused_s_by_start.get(start, float("-inf"))
        if now() - known_s < REPORT_INTERVAL_S:
            return False
        self._refused_s_by_start[start] = now()
        self._refused_s_by_start.move_to_end(start)
        if len(self._refused_s_by_start) > MAX_STARTS:
            self._refused_s_by_start.popitem(last=False)
        return True
