"""Which servers ended under which parts of prompts."""

from collections import OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

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
MAX_STARTS_PER_PART = 16
STARTS_TO_LOG = 2


@dataclass(frozen=True)
class _Suspect:
    """A part under which servers ended.

    :ivar crash_s_by_start: when which servers ended, in seconds of the loop's clock.
    :ivar companions: parts that were in each prompt with the part, itself included.
    """

    crash_s_by_start: dict[ServerStart, float]
    companions: frozenset[str]


class CrashEvidence:
    """Starts of servers that ended in the last ``CRASH_MEMORY_S``, by part.

    Once there are too many parts, the one without a new crash for longest is dropped.
    """

    def __init__(self) -> None:
        self._suspect_by_part: OrderedDict[str, _Suspect] = OrderedDict()
        self._is_full = False

    def __len__(self) -> int:
        return len(self._suspect_by_part)

    def record(self, start: ServerStart, parts: Collection[str]) -> None:
        """Record that a server ended under a prompt.

        :param start: the start of the server.
        :param parts: parts of the prompt that may be to blame.
        """
        prompt = frozenset(parts)
        for part in parts:
            suspect = self._suspect_by_part.get(part, _Suspect({}, prompt))
            companions = suspect.companions & prompt
            self._suspect_by_part[part] = replace(suspect, companions=companions)
            self._suspect_by_part.move_to_end(part)
            _record_start(part, suspect.crash_s_by_start, start)
        while len(self._suspect_by_part) > MAX_SUSPECTS:
            self._suspect_by_part.popitem(last=False)
            if not self._is_full:
                self._is_full = True
                eliot.log_message("part:suspects-full", limit=MAX_SUSPECTS)

    def drop(self, part: str) -> bool:
        """Drop what is known of a part, and return whether anything was.

        :param part: the part.
        """
        return self._suspect_by_part.pop(part, None) is not None

    def starts(self, part: str) -> dict[ServerStart, float]:
        """Return when which servers ended under a part, in order.

        :param part: the part.
        """
        suspect = self._suspect_by_part.get(part)
        return suspect.crash_s_by_start if suspect else {}

    def companions(self, part: str) -> frozenset[str]:
        """Return the parts that were in each prompt with a part, itself included.

        :param part: a part under which servers ended.
        """
        return self._suspect_by_part[part].companions

    def items(
        self, excluded: Collection[ServerStart]
    ) -> Iterator[tuple[str, dict[ServerStart, float]]]:
        """Return the parts, each with when which servers ended under it.

        :param excluded: starts that are left out.
        """
        for part, suspect in self._suspect_by_part.items():
            starts = suspect.crash_s_by_start
            yield part, {s: at_s for s, at_s in starts.items() if s not in excluded}

    def expire(self) -> None:
        """Drop crashes that are older than ``CRASH_MEMORY_S``."""
        cutoff_s = now() - CRASH_MEMORY_S
        for part, suspect in list(self._suspect_by_part.items()):
            for start, at_s in list(suspect.crash_s_by_start.items()):
                if at_s <= cutoff_s:
                    del suspect.crash_s_by_start[start]
            if not suspect.crash_s_by_start:
                del self._suspect_by_part[part]
        self._is_full = self._is_full and len(self._suspect_by_part) >= MAX_SUSPECTS


def _record_start(
    part: str, crash_s_by_start: dict[ServerStart, float], start: ServerStart
) -> None:
    if start in crash_s_by_start:
        return
    crash_s_by_start[start] = now()
    if len(crash_s_by_start) > MAX_STARTS_PER_PART:
        del crash_s_by_start[next(iter(crash_s_by_start))]
    if len(crash_s_by_start) == STARTS_TO_LOG:
        servers = [start.name for start in crash_s_by_start]
        eliot.log_message("part:suspected", part=part, servers=servers)


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
