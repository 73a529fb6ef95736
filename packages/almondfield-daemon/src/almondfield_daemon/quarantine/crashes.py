"""Which servers ended under which parts of prompts."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator

import eliot

from almondfield_core.clock import now
from almondfield_daemon.server_notices import ServerStart

__all__ = ["CrashEvidence", "are_enough"]

CRASH_MEMORY_S = 60.0
# Servers that end within this time may end by a common cause, such as a power failure.
SAME_MOMENT_S = 0.1
CRASHES_TO_QUARANTINE = 3  # each at another moment
CRASHES_OF_TWO_MOMENTS = 5  # as above, but at two moments only
MAX_SUSPECTS = 5000
MAX_STARTS_PER_PART = 32
STARTS_TO_LOG = 2


class CrashEvidence:
    """Starts of servers that ended in the last ``CRASH_MEMORY_S``, by part.

    Once there are too many parts, the one without a new crash for longest is dropped.
    """

    def __init__(self) -> None:
        self._crash_s_by_part: OrderedDict[str, dict[ServerStart, float]] = (
            OrderedDict()
        )
        self._is_full = False

    def __len__(self) -> int:
        return len(self._crash_s_by_part)

    def __contains__(self, part: str) -> bool:
        return part in self._crash_s_by_part

    def record(self, start: ServerStart, parts: Iterable[str]) -> None:
        """Record that a server ended under some parts.

        :param start: the start of the server.
        :param parts: the parts.
        """
        for part in parts:
            crash_s_by_start = self._crash_s_by_part.setdefault(part, {})
            self._crash_s_by_part.move_to_end(part)
            if start in crash_s_by_start:
                continue
            crash_s_by_start[start] = now()
            if len(crash_s_by_start) > MAX_STARTS_PER_PART:
                del crash_s_by_start[next(iter(crash_s_by_start))]
            if len(crash_s_by_start) == STARTS_TO_LOG:
                servers = [start.name for start in crash_s_by_start]
                eliot.log_message("part:suspected", part=part, servers=servers)
        while len(self._crash_s_by_part) > MAX_SUSPECTS:
            self._crash_s_by_part.popitem(last=False)
            if not self._is_full:
                self._is_full = True
                eliot.log_message("part:suspects-full", limit=MAX_SUSPECTS)

    def drop(self, part: str) -> bool:
        """Drop what is known of a part, and return whether anything was.

        :param part: the part.
        """
        return self._crash_s_by_part.pop(part, None) is not None

    def starts(self, part: str) -> dict[ServerStart, float]:
        """Return when which servers ended under a part, in order.

        :param part: the part.
        """
        return self._crash_s_by_part.get(part, {})

    def items(
        self, excluded: Collection[ServerStart]
    ) -> Iterator[tuple[str, dict[ServerStart, float]]]:
        """Return the parts, each with when which servers ended under it.

        :param excluded: starts that are left out.
        """
        for part, crash_s_by_start in self._crash_s_by_part.items():
            yield (
                part,
                {s: at_s for s, at_s in crash_s_by_start.items() if s not in excluded},
            )

    def expire(self) -> None:
        """Drop crashes that are older than ``CRASH_MEMORY_S``."""
        cutoff_s = now() - CRASH_MEMORY_S
        for part, crash_s_by_start in list(self._crash_s_by_part.items()):
            for start, at_s in list(crash_s_by_start.items()):
                if at_s <= cutoff_s:
                    del crash_s_by_start[start]
            if not crash_s_by_start:
                del self._crash_s_by_part[part]
        self._is_full = self._is_full and len(self._crash_s_by_part) >= MAX_SUSPECTS


def are_enough(crash_s_by_start: dict[ServerStart, float]) -> bool:
    """Return whether so many servers ended under a part that it is to blame.

    :param crash_s_by_start: when which servers ended, in seconds of the loop's clock.
    """
    moments = _count_moments(crash_s_by_start)
    if moments == 2:
        return len(crash_s_by_start) >= CRASHES_OF_TWO_MOMENTS
    return moments >= CRASHES_TO_QUARANTINE


def _count_moments(crash_s_by_start: dict[ServerStart, float]) -> int:
    count = 0
    last_s = float("-inf")
    for at_s in sorted(crash_s_by_start.values()):
        if at_s - last_s >= SAME_MOMENT_S:
            count += 1
            last_s = at_s
    return count
