"""Fairness bounds, as derived in docs/design/fair-sharing.md."""

__all__ = ["fairness_bound", "interval_bound"]

MESSAGE_DELAY_S = 0.02
"""Time from sending a report to receiving its grant, in seconds."""


def fairness_bound(
    slots: int,
    largest_cost_s: float,
    weight: float,
    window_s: float,
    horizon_s: float = 0.0,
) -> float:
    """Return the largest lead of a team's counter over that of a waiting team.

    Both teams wait throughout, and their counters are equal at the start.

    :param slots: slots of the pool.
    :param largest_cost_s: cost of the most expensive request, in slot-seconds.
    :param weight: the smaller weight of the two teams.
    :param window_s: longest time between two reports of a router, in seconds.
    :param horizon_s: time over which the scheduler compensates for differences, in
        seconds.
    :returns: slot-seconds per weight.
    """
    delay_s = window_s + MESSAGE_DELAY_S
    return slots * (largest_cost_s + delay_s + horizon_s) / weight


def interval_bound(
    slots: int,
    largest_cost_s: float,
    weight: float,
    window_s: float,
    horizon_s: float = 0.0,
) -> float:
    """Return the largest difference of two teams' service over any interval.

    One team may lead at the start of an interval and the other at its end, each by
    up to :func:`fairness_bound`. The parameters are the same.
    """
    return 2 * fairness_bound(slots, largest_cost_s, weight, window_s, horizon_s)
