"""The fairness bound; docs/design/fair-sharing.md derives it."""

__all__ = ["fairness_bound", "interval_bound"]

MESSAGE_DELAY_S = 0.02
"""Time from a report's sending to its grant's arrival, in seconds."""


def fairness_bound(
    slots: int,
    largest_cost_s: float,
    weight: float,
    window_s: float,
    horizon_s: float = 0.0,
) -> float:
    """Return the most by which a team's counter passes that of a waiting team.

    Both teams wait throughout, and their counters were equal at the beginning.

    :param slots: slots of the pool.
    :param largest_cost_s: largest cost of a request, in slot-seconds.
    :param weight: the smaller weight of the two teams.
    :param window_s: longest time between two reports of a router, in seconds.
    :param horizon_s: time over which the scheduler makes up differences, in seconds.
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
    """Return the most by which two teams' service differs over any interval.

    An interval may begin while one team is ahead and end while the other is, each
    by as much as :func:`fairness_bound` allows. The parameters are the same.
    """
    return 2 * fairness_bound(slots, largest_cost_s, weight, window_s, horizon_s)
