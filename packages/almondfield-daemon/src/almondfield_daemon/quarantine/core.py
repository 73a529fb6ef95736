"""Decides which parts of requests are quarantined.

A part of a prompt, or the digest of a whole request, is to blame if servers ended under
it one after the other, and no answer to a request that holds it was sound since. What
ends with a server by chance is not blamed: sound requests share parts that are answered
soundly elsewhere, and a part explains the crashes of the servers that ended under it
for all others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import eliot

from almondfield_core.clock import now
from almondfield_daemon.quarantine.crashes import (
    Crash,
    CrashEvidence,
    are_enough,
)
from almondfield_daemon.quarantine.messages import Quarantine
from almondfield_daemon.quarantine.parts import SoundParts
from almondfield_daemon.server_notices import ServerStart

__all__ = ["QuarantineTable"]

QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 3600.0
PROBATION_S = 3600.0
MAX_QUARANTINES = 100
CRASHES_TO_NARROW = 2  # one more may be a server that ended by chance
MAX_LOGGED_SERVERS = 8


@dataclass(frozen=True)
class _Entry:
    """Parts that are quarantined, or on probation after that.

    :ivar until_s: when the quarantine ends, in seconds of the loop's clock.
    :ivar number: how often the parts have been quarantined.
    :ivar crashes: starts of servers that ended under the parts.
    :ivar is_over: whether the end of the quarantine has been logged.
    """

    until_s: float
    number: int
    crashes: int
    is_over: bool = False


class QuarantineTable:
    """Quarantined parts, and what they and others are judged by, at one host."""

    def __init__(self) -> None:
        self._sound = SoundParts()
        self._evidence = CrashEvidence()
        self._entry_by_parts: dict[frozenset[str], _Entry] = {}
        self._renewed: list[frozenset[str]] = []

    @property
    def has_quarantines(self) -> bool:
        """Return whether there are quarantines, those on probation included."""
        return bool(self._entry_by_parts)

    @property
    def suspect_count(self) -> int:
        """Return the number of parts under which servers ended lately."""
        return len(self._evidence)

    @property
    def sound_count(self) -> int:
        """Return the number of parts that are remembered as sound."""
        return len(self._sound)

    def quarantined_count(self) -> int:
        """Return the number of quarantines that hold now."""
        return sum(entry.until_s > now() for entry in self._entry_by_parts.values())

    def left_s(self, parts: Iterable[str]) -> float:
        """Return the seconds for which a request is still refused; 0 if it isn't.

        :param parts: parts of the request.
        """
        held = frozenset(parts)
        until_s = [
            entry.until_s for key, entry in self._entry_by_parts.items() if key <= held
        ]
        return max(0.0, max(until_s, default=0.0) - now())

    def record_crash(
        self,
        start: ServerStart,
        parts: Iterable[str],
        ran_s: float = 0.0,
        ago_s: float = 0.0,
    ) -> tuple[str, ...]:
        """Record that a server ended under a request, and return the suspect parts.

        :param start: the start of the server.
        :param parts: parts of the request.
        :param ran_s: seconds from the choice of the server to its end.
        :param ago_s: seconds since then.
        """
        suspects = self._unsound(parts)
        held = frozenset(suspects)
        for key, entry in self._entry_by_parts.items():
            if key <= held and entry.until_s <= now():
                number = entry.number + 1
                until_s = now() + _duration_s(number)
                renewed = _Entry(until_s, number, entry.crashes + 1)
                self._entry_by_parts[key] = renewed
                self._renewed.append(key)
        self._evidence.record(start, suspects, ran_s, ago_s)
        return suspects

    def record_sound(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Record a sound answer, and return the parts that it clears.

        :param parts: parts of its request.
        """
        parts = tuple(parts)
        self._sound.record(parts)
        cleared = {part for part in parts if self._evidence.drop(part)}
        if self._entry_by_parts:
            cleared |= self._release(frozenset(parts))
        return tuple(sorted(cleared))

    def decide(self, *, may_blame: bool = True) -> tuple[Quarantine, ...]:
        """Return the new quarantines that the recorded crashes justify.

        :param may_blame: whether parts may be blamed that weren't blamed before.
        """
        self._evidence.expire()
        decided, self._renewed = self._renewed, []
        if may_blame:
            decided += self._narrow()
            decided += self._blame()
        return self._report(decided)

    def merge(
        self, quarantines: Iterable[Quarantine]
    ) -> tuple[tuple[Quarantine, ...], tuple[str, ...]]:
        """Return which quarantines of another host are new, and their sound parts.

        :param quarantines: the quarantines.
        """
        merged = []
        contradicted: set[str] = set()
        for item in quarantines:
            key = frozenset(self._unsound(item.parts))
            contradicted |= set(item.parts) - key
            entry = _Entry(now() + item.left_s, item.number, item.crashes)
            if key and self._put(key, entry):
                merged.append(key)
        return self._report(merged), tuple(sorted(contradicted))

    def quarantines(self) -> tuple[Quarantine, ...]:
        """Return all quarantines, and those that are over but on probation."""
        return tuple(self._describe(key) for key in self._entry_by_parts)

    def expire(self) -> None:
        """Log quarantines that are over, and drop those whose probation is."""
        for key, entry in list(self._entry_by_parts.items()):
            if entry.until_s <= now() and not entry.is_over:
                self._entry_by_parts[key] = replace(entry, is_over=True)
                eliot.log_message(
                    "part:expired", parts=sorted(key), number=entry.number
                )
            if entry.until_s + PROBATION_S <= now():
                del self._entry_by_parts[key]

    def _unsound(self, parts: Iterable[str]) -> tuple[str, ...]:
        return tuple(part for part in parts if part not in self._sound)

    def _blame(self) -> list[frozenset[str]]:
        """Quarantine parts whose crashes no quarantined part explains."""
        blamed = []
        explained = {
            start
            for key in self._entry_by_parts
            for part in key
            for start in self._evidence.starts(part)
        }
        while True:
            crash_by_start = self._most_crashes(explained)
            if not crash_by_start:
                break
            for parts in self._blamed_groups(crash_by_start, explained):
                entry = _Entry(now() + QUARANTINE_S, 1, len(crash_by_start))
                if self._put(parts, entry):
                    blamed.append(parts)
            explained |= crash_by_start.keys()
        return blamed

    def _narrow(self) -> list[frozenset[str]]:
        """Replace parts under which fewer servers ended than under their fellows."""
        narrowed = []
        for key, entry in list(self._entry_by_parts.items()):
            if key not in self._entry_by_parts:
                continue  # a narrower quarantine has replaced it
            count_by_part = {part: len(self._evidence.starts(part)) for part in key}
            most = max(count_by_part.values())
            rest = frozenset(p for p, count in count_by_part.items() if count == most)
            if rest < key and most >= entry.crashes + CRASHES_TO_NARROW:
                del self._entry_by_parts[key]
                if self._put(rest, replace(entry, crashes=most)):
                    narrowed.append(rest)
        return narrowed

    def _most_crashes(self, explained: set[ServerStart]) -> dict[ServerStart, Crash]:
        """Return the crashes of a part that has most; none if they are too few."""
        most: dict[ServerStart, Crash] = {}
        for _, crash_by_start in self._evidence.items(explained):
            if len(crash_by_start) > len(most) and are_enough(crash_by_start):
                most = crash_by_start
        return most

    def _blamed_groups(
        self, crash_by_start: dict[ServerStart, Crash], explained: set[ServerStart]
    ) -> list[frozenset[str]]:
        """Return the parts that were in all of some crashes, grouped by requests.

        Parts that were always together are one group. One that was in requests of
        several groups is no group of its own.
        """
        tied = {
            part
            for part, other in self._evidence.items(explained)
            if other.keys() == crash_by_start.keys()
        }
        companions = {self._evidence.companions(part) for part in tied}
        groups = {parts & tied for parts in companions}
        return [group for group in groups if not any(group < other for other in groups)]

    def _put(self, key: frozenset[str], entry: _Entry) -> bool:
        """Record a quarantine, and return whether it says more than what is known."""
        known = self._entry_by_parts.get(key)
        if known is not None:
            if known.number >= entry.number:
                return False
        elif any(other < key for other in self._entry_by_parts):
            return False
        for other in list(self._entry_by_parts):
            if key < other:
                del self._entry_by_parts[other]
        if known is None and len(self._entry_by_parts) >= MAX_QUARANTINES:
            oldest = next(iter(self._entry_by_parts))
            del self._entry_by_parts[oldest]
            eliot.log_message(
                "part:dropped", parts=sorted(oldest), limit=MAX_QUARANTINES
            )
        self._entry_by_parts[key] = entry
        return True

    def _release(self, sound: frozenset[str]) -> set[str]:
        """Take sound parts out of the quarantines, and return them."""
        released: set[str] = set()
        for key, entry in list(self._entry_by_parts.items()):
            if not key & sound or key not in self._entry_by_parts:
                continue
            released |= key & sound
            del self._entry_by_parts[key]
            rest = key - sound
            if rest:
                self._put(rest, entry)
            eliot.log_message(
                "part:cleared", parts=sorted(key & sound), still=sorted(rest)
            )
        return released

    def _report(self, keys: list[frozenset[str]]) -> tuple[Quarantine, ...]:
        """Log and return quarantines, without those that others have replaced."""
        left = [key for key in dict.fromkeys(keys) if key in self._entry_by_parts]
        for key in left:
            self._log_quarantine(key)
        return tuple(self._describe(key) for key in left)

    def _describe(self, key: frozenset[str]) -> Quarantine:
        entry = self._entry_by_parts[key]
        left_s = max(0.0, entry.until_s - now())
        return Quarantine(tuple(sorted(key)), left_s, entry.number, entry.crashes)

    def _log_quarantine(self, key: frozenset[str]) -> None:
        entry = self._entry_by_parts[key]
        starts = {start for part in key for start in self._evidence.starts(part)}
        eliot.log_message(
            "part:quarantined",
            parts=sorted(key),
            servers=sorted(start.name for start in starts)[:MAX_LOGGED_SERVERS],
            crashes=entry.crashes,
            number=entry.number,
            left_s=round(max(0.0, entry.until_s - now()), 1),
        )


def _duration_s(number: int) -> float:
    return min(MAX_QUARANTINE_S, QUARANTINE_S * 2 ** min(number - 1, 10))
