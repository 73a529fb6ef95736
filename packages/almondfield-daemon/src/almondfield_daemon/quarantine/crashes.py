"""Which servers ended under which parts of requests."""

from collections import OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

import eliot

from almondfield_core.clock import now
from almondfield_daemon.quarantine.digests import is_digest
from almondfield_daemon.server_notices import ServerStart

__all__ = ["Crash", "CrashEvidence", "are_enough"]

CRASH_MEMORY_S = 60.0
# Servers that end within this time may end by a common cause, such as a power failure.
SAME_MOMENT_S = 0.1
REPORT_JITTER_S = 0.02  # between two reports to one host
CRASHES_TO_QUARANTINE = 3  # each at another moment
CRASHES_OF_TWO_MOMENTS = 5  # as above, but at two moments only
MAX_SUSPECTS = 5000
MAX_STARTS_PER_PART = 16
STARTS_TO_LOG = 2


@dataclass(frozen=True)
class Crash:
    """The end of a server under a part.

    :ivar at_s: when it ended, in seconds of the loop's clock.
    :ivar follows: whether the request was sent to it once the server before had ended
        under the same request, so that no common cause ended both at once.
    """

    at_s: float
    follows: bool = False


@dataclass(frozen=True)
class _Suspect:
    """A part under which servers ended.

    :ivar crash_by_start: the ends of servers, in the order of their reports.
    :ivar companions: parts that were in each request with the part, itself included.
    """

    crash_by_start: dict[ServerStart, Crash]
    companions: frozenset[str]


class CrashEvidence:
    """Starts of servers that ended in the last ``CRASH_MEMORY_S``, by part.

    Once there are too many parts, the one without a new crash for longest is dropped.
    """

    def __init__(self) -> None:
        self._suspect_by_part: OrderedDict[str, _Suspect] = OrderedDict()
        # Suspects under which enough servers ended, in the same order. All others, one
        # for each request that was cut, are left out of decisions.
        self._repeated: OrderedDict[str, None] = OrderedDict()
        self._is_full = False

    def __len__(self) -> int:
        return len(self._suspect_by_part)

    def record(
        self,
        start: ServerStart,
        parts: Collection[str],
        ran_s: float = 0.0,
        ago_s: float = 0.0,
    ) -> None:
        """Record that a server ended under a request.

        :param start: the start of the server.
        :param parts: parts of the request that may be to blame.
        :param ran_s: seconds from the choice of the server to its end.
        :param ago_s: seconds since then.
        """
        request = frozenset(parts)
        ended_s = now() - ago_s
        for part in parts:
            suspect = self._suspect_by_part.get(part, _Suspect({}, request))
            companions = suspect.companions & request
            self._suspect_by_part[part] = replace(suspect, companions=companions)
            self._suspect_by_part.move_to_end(part)
            crash_by_start = suspect.crash_by_start
            _expire_starts(crash_by_start)
            if start not in crash_by_start:
                # A prompt's part is in many requests, which may run at the same time.
                sent_s = ended_s - ran_s if is_digest(part) else float("-inf")
                _record_start(part, crash_by_start, start, sent_s, ended_s)
            if len(crash_by_start) >= CRASHES_TO_QUARANTINE:
                self._repeated[part] = None
                self._repeated.move_to_end(part)
        while len(self._suspect_by_part) > MAX_SUSPECTS:
            self.drop(next(iter(self._suspect_by_part)))
            if not self._is_full:
                self._is_full = True
                eliot.log_message("part:suspects-full", limit=MAX_SUSPECTS)

    def drop(self, part: str) -> bool:
        """Drop what is known of a part, and return whether anything was.

        :param part: the part.
        """
        self._repeated.pop(part, None)
        return self._suspect_by_part.pop(part, None) is not None

    def starts(self, part: str) -> dict[ServerStart, Crash]:
        """Return which servers ended under a part, in order.

        :param part: the part.
        """
        suspect = self._suspect_by_part.get(part)
        return suspect.crash_by_start if suspect else {}

    def companions(self, part: str) -> frozenset[str]:
        """Return the parts that were in each request with a part, itself included.

        :param part: a part under which servers ended.
        """
        return self._suspect_by_part[part].companions

    def items(
        self, excluded: Collection[ServerStart]
    ) -> Iterator[tuple[str, dict[ServerStart, Crash]]]:
        """Return the parts that may be to blame, with the ends of servers under them.

        :param excluded: starts that are left out.
        """
        for part in self._repeated:
            crash_by_start = self._suspect_by_part[part].crash_by_start
            yield (
                part,
                {s: crash for s, crash in crash_by_start.items() if s not in excluded},
            )

    def expire(self) -> None:
        """Drop parts without a crash in the last ``CRASH_MEMORY_S``."""
        cutoff_s = now() - CRASH_MEMORY_S
        for part in list(self._repeated):
            crash_by_start = self._suspect_by_part[part].crash_by_start
            _expire_starts(crash_by_start)
            if len(crash_by_start) < CRASHES_TO_QUARANTINE:
                del self._repeated[part]
        while self._suspect_by_part:
            part, suspect = next(iter(self._suspect_by_part.items()))
            crashes = suspect.crash_by_start.values()
            if any(crash.at_s > cutoff_s for crash in crashes):
                break
            self.drop(part)
        self._is_full = self._is_full and len(self._suspect_by_part) >= MAX_SUSPECTS


def _expire_starts(crash_by_start: dict[ServerStart, Crash]) -> None:
    """Drop crashes that are older than ``CRASH_MEMORY_S``."""
    cutoff_s = now() - CRASH_MEMORY_S
    for start, crash in list(crash_by_start.items()):
        if crash.at_s <= cutoff_s:
            del crash_by_start[start]


def _record_start(
    part: str,
    crash_by_start: dict[ServerStart, Crash],
    start: ServerStart,
    sent_s: float,
    ended_s: float,
) -> None:
    last_s = max((crash.at_s for crash in crash_by_start.values()), default=None)
    follows = last_s is not None and sent_s >= last_s - REPORT_JITTER_S
    crash_by_start[start] = Crash(ended_s, follows)
    if len(crash_by_start) > MAX_STARTS_PER_PART:
        del crash_by_start[next(iter(crash_by_start))]
    if len(crash_by_start) == STARTS_TO_LOG:
        servers = [start.name for start in crash_by_start]
        eliot.log_message("part:suspected", part=part, servers=servers)


def are_enough(crash_by_start: dict[ServerStart, Crash]) -> bool:
    """Return whether so many servers ended under a part that it is to blame.

    :param crash_by_start: the ends of servers.
    """
    moments = _count_moments(crash_by_start)
    if moments == 2:
        return len(crash_by_start) >= CRASHES_OF_TWO_MOMENTS
    return moments >= CRASHES_TO_QUARANTINE


def _count_moments(crash_by_start: dict[ServerStart, Crash]) -> int:
    count = 0
    last_s = float("-inf")
    for crash in sorted(crash_by_start.values(), key=lambda crash: crash.at_s):
        if crash.follows or crash.at_s - last_s >= SAME_MOMENT_S:
            count += 1
            last_s = crash.at_s
    return count
