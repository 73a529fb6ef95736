"""Momentary slowdown of a server, by its reports of how long work takes now.

A server that shares its machine is slower or faster than usual for some tenths of a
second at a time. Load: on a fleet of 100 machines, 15 are slower by a factor of 2.5 at
any moment and are drawn anew each 0.6 s; reports come with answers, a few a second from
each server.

A report is assumed to hold for a time that is evenly distributed up to the lifetime, in
both directions: the slowdown that it tells of is expected to fall linearly to the usual
one. Between two reports, each holds for the half of the time that is nearer to it.
"""

from collections import deque
from collections.abc import Mapping
from heapq import nlargest
from typing import NamedTuple

__all__ = ["MAX_SLOWDOWN", "MIN_SLOWDOWN", "Slowdown", "largest_slowdowns"]

MAX_NAMED_SERVERS = 8  # in one log line
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
LIFETIME_S = 0.6  # after which a machine's speed is unrelated to that of the report
MAX_REPORTS = 8  # that are kept; more than a server sends while one prompt waits
# Follows within seconds what a server always reports, but not single slow moments.
USUAL_RATE_PER_S = 0.05
MEAN_TIME_CONSTANT_S = 10.0  # some dozen slow and quick moments
MIN_DEVIATION = 0.1  # from the usual slowdown; smaller ones aren't worth a prediction


class _Report(NamedTuple):
    """A report of a server.

    :ivar measured_s: when it was made, in seconds of the loop's clock.
    :ivar lost_share: part of the time that is lost as against the usual speed; negative
        for a server that is quicker than usual.
    """

    measured_s: float
    lost_share: float


class Slowdown:
    """Reported slowdown of one start of a server.

    :ivar latest: slowdown that it reported last.
    :ivar usual: slowdown that the server usually reports.
    :ivar mean_speed: mean speed, slow moments included, as a part of the usual one.
    """

    def __init__(self) -> None:
        self.usual = 1.0
        self.mean_speed = 1.0
        self.latest = 1.0
        self._measured_s = float("-inf")
        self._reports: deque[_Report] = deque(maxlen=MAX_REPORTS)

    def record(self, slowdown: float, measured_s: float) -> bool:
        """Record a report, and return whether it is a new and valid one.

        :param slowdown: time that work takes now, as a multiple of the usual time.
        :param measured_s: when the report was made, in seconds of the loop's clock.
        """
        is_valid = MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN
        if not is_valid or not measured_s > self._measured_s:
            return False
        covered_s = min(LIFETIME_S, measured_s - self._measured_s)
        step = USUAL_RATE_PER_S * covered_s
        self.usual += min(step, max(-step, slowdown - self.usual))
        self.latest = slowdown
        self._measured_s = measured_s
        speed = self.usual / slowdown
        weight = covered_s / MEAN_TIME_CONSTANT_S
        self.mean_speed += weight * (speed - self.mean_speed)
        self._reports.append(_Report(measured_s, 1 - speed))
        return True

    def factor(self, at_s: float) -> float:
        """Return the expected slowdown at a time after the latest report.

        :param at_s: the time, in seconds of the loop's clock.
        """
        held = self._held_share(at_s)
        return self.usual + (self.latest - self.usual) * held

    def outlook(self, at_s: float) -> tuple[float, float]:
        """Return what is lost at a time and from then on, as against the mean speed.

        Nothing is at about the usual speed.

        :param at_s: a time after the latest report, in seconds of the loop's clock.
        :returns: the expected part of the time that is lost at that time, and the
            expected loss from then on, in seconds.
        """
        deviation = self.latest / self.usual - 1
        if -MIN_DEVIATION < deviation < MIN_DEVIATION:
            return 0.0, 0.0
        held = self._held_share(at_s)
        lost_share = (1 - self.usual / self.latest / self.mean_speed) * held
        return lost_share, lost_share * held * LIFETIME_S / 2

    def loss_s(self, from_s: float, to_s: float) -> float:
        """Return the time that was lost as against the usual speed, in seconds.

        :param from_s: begin of an interval, in seconds of the loop's clock.
        :param to_s: its end.
        """
        loss_s = 0.0
        begin_s = float("-inf")
        last = len(self._reports) - 1
        for index, (measured_s, lost_share) in enumerate(self._reports):
            next_s = float("inf")
            if index < last:
                next_s = (measured_s + self._reports[index + 1].measured_s) / 2
            first_s = max(begin_s, measured_s - LIFETIME_S / 2, from_s)
            end_s = min(next_s, measured_s + LIFETIME_S / 2, to_s)
            loss_s += lost_share * max(0.0, end_s - first_s)
            begin_s = next_s
        return loss_s

    def _held_share(self, at_s: float) -> float:
        """Return how likely the latest report still holds."""
        age_s = at_s - self._measured_s
        if age_s >= LIFETIME_S:
            return 0.0
        return 1 - age_s / LIFETIME_S if age_s > 0 else 1.0


def largest_slowdowns(slowdown_by_server: Mapping[str, float]) -> dict[str, float]:
    """Return the largest slowdowns above the usual one, rounded for a log line.

    :param slowdown_by_server: slowdown of each server.
    """
    slow = [name for name, value in slowdown_by_server.items() if value > 1]
    names = nlargest(MAX_NAMED_SERVERS, slow, key=slowdown_by_server.__getitem__)
    return {name: round(slowdown_by_server[name], 2) for name in names}
