"""Recent load of a group of engines."""

import math
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

from almondfield_core.clock import now
from almondfield_fairshare.engines.engine import Engine
from almondfield_fairshare.server_speed import largest_slowdowns

__all__ = [
    "BusyShare",
    "DecisionCounts",
    "EngineLoad",
    "TeamLoad",
    "UsedShare",
    "summarize_load",
]

TIME_CONSTANT_S = 1.0  # many prompts, but much shorter than the window of the shares


@dataclass(frozen=True)
class EngineLoad:
    """Load of a scheduler since the previous collection.

    :ivar engines: engines that accept new work.
    :ivar busy_share: mean fraction of them that had prompts to prefill, over about 1 s.
    :ivar admitted: admitted requests.
    :ivar unsent: admitted requests that their routers did not send.
    :ivar unreported: attempts that were over, or had begun, without a report that
        arrived.
    :ivar unscheduled: prompts that routers sent without a decision.
    :ivar unread_tokens: uncached prompt tokens of the admitted requests.
    :ivar refused_full: requests refused because the engines were full.
    :ivar refused_over_share: requests refused because their team exceeded its share.
    :ivar refused_late: requests of callers that returned too late to be answered in
        time, refused in favour of first requests of their team.
    :ivar refused_overdue: requests that waited too long for a decision.
    :ivar longest_wait_s: longest predicted wait at an engine now, in seconds.
    :ivar prefill_rate: median of the engines' prompt tokens per second.
    :ivar least_prefill_rate: that of the slowest engine.
    :ivar most_prefill_rate: that of the quickest engine.
    :ivar slowdowns: largest momentary slowdowns now, by engine.
    :ivar answer_delay_s: time from the end of prefill to the report of the first event,
        in seconds.
    """

    engines: int = 0
    busy_share: float = 0.0
    admitted: int = 0
    unsent: int = 0
    unreported: int = 0
    unscheduled: int = 0
    unread_tokens: int = 0
    refused_full: int = 0
    refused_over_share: int = 0
    refused_late: int = 0
    refused_overdue: int = 0
    longest_wait_s: float = 0.0
    prefill_rate: float = 0.0
    least_prefill_rate: float = 0.0
    most_prefill_rate: float = 0.0
    slowdowns: dict[str, float] = field(default_factory=dict)
    answer_delay_s: float = 0.0


@dataclass(frozen=True)
class TeamLoad:
    """Demand and share of one team, and decisions since the previous collection.

    :ivar team: name of the team.
    :ivar demand: work that it requested of the scheduler in the window, in tokens.
    :ivar granted: work that it was granted in the window, in tokens.
    :ivar admitted: admitted requests.
    :ivar unsent: admitted requests that their routers did not send.
    :ivar refused_full: requests refused because the engines were full.
    :ivar refused_over_share: requests refused because it exceeded its share.
    :ivar refused_late: requests refused because their callers returned too late.
    :ivar refused_overdue: requests refused because they waited too long for a decision.
    """

    team: str
    demand: int
    granted: int
    admitted: int = 0
    unsent: int = 0
    refused_full: int = 0
    refused_over_share: int = 0
    refused_late: int = 0
    refused_overdue: int = 0


class DecisionCounts:
    """Counts of a scheduler's decisions, in total and by team."""

    def __init__(self) -> None:
        self._total: Counter[str] = Counter()
        self._by_team: dict[str, Counter[str]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add to a count that is not kept by team.

        :param name: field of :class:`EngineLoad`.
        :param count: what is added.
        """
        self._total[name] += count

    def add_for(self, team: str, name: str) -> None:
        """Count one request of a team.

        :param team: name of the team.
        :param name: field of :class:`EngineLoad` and :class:`TeamLoad`.
        """
        self._total[name] += 1
        self._by_team.setdefault(team, Counter())[name] += 1

    def collect(self) -> Counter[str]:
        """Return the totals, and reset them."""
        total, self._total = self._total, Counter()
        return total

    def collect_by_team(self) -> dict[str, Counter[str]]:
        """Return the counts by team, and reset them."""
        by_team, self._by_team = self._by_team, {}
        return by_team


class BusyShare:
    """Exponential moving average of the fraction of engines that prefill prompts."""

    def __init__(self) -> None:
        self._share = 0.0
        self._current = 0.0
        self._since_s = now()

    def record(self, share: float) -> None:
        """Record the fraction of engines that have prompts to prefill from now on.

        :param share: fraction of all engines, from 0 to 1.
        """
        self._share = self.value()
        self._since_s = now()
        self._current = share

    def value(self) -> float:
        """Return the recent mean fraction of engines that had prompts to prefill."""
        decay = math.exp((self._since_s - now()) / TIME_CONSTANT_S)
        return decay * self._share + (1 - decay) * self._current


class UsedShare:
    """Recent part of a group of engines that is in use."""

    def __init__(self) -> None:
        self._busy = BusyShare()
        self._slots = BusyShare()

    def record(
        self, open_engines: Sequence[Engine], engines: Collection[Engine], at_s: float
    ) -> None:
        """Record what is in use from now on; engines that aren't open count as used.

        The time of an engine counts by its prefill rate: where rates differ, the quick
        engines are used most and do most of the work.

        :param open_engines: engines that take requests.
        :param engines: all engines.
        :param at_s: the current time, in seconds of the loop's clock.
        """
        total_rate = sum([e.prefill_rate for e in engines])
        idle_rate = sum(
            [e.prefill_rate for e in open_engines if e.idle_from_s <= at_s <= e.due_s]
        )
        busy = 1 - idle_rate / total_rate if engines else 0.0
        used = sum([engine.used_slot_share for engine in open_engines])
        closed = len(engines) - len(open_engines)
        self._busy.record(busy)
        self._slots.record((used + closed) / max(1, len(engines)))

    def busy(self) -> float:
        """Return the recent part of the time to prefill prompts that was used."""
        return self._busy.value()

    def value(self) -> float:
        """Return the recent part in use of the time to prefill, or of the slots."""
        return max(self._busy.value(), self._slots.value())


def summarize_load(
    engines: Sequence[Engine],
    busy_share: float,
    answer_delay_s: float,
    counts: Mapping[str, int],
) -> EngineLoad:
    """Return the load of a group of engines.

    :param engines: the engines.
    :param busy_share: recent part of them that had prompts to prefill.
    :param answer_delay_s: time from the end of prefill to the report of the first
        event, in seconds.
    :param counts: counts of decisions, by field.
    """
    at_s = now()
    rates = [engine.prefill_rate for engine in engines] or [0.0]
    slowdown_by_server = {e.server.name: e.slowdown.factor(at_s) for e in engines}
    return EngineLoad(
        engines=len(engines),
        busy_share=busy_share,
        longest_wait_s=max([engine.wait_s(at_s) for engine in engines], default=0.0),
        prefill_rate=median(rates),
        least_prefill_rate=min(rates),
        most_prefill_rate=max(rates),
        slowdowns=largest_slowdowns(slowdown_by_server),
        answer_delay_s=answer_delay_s,
        **counts,
    )
