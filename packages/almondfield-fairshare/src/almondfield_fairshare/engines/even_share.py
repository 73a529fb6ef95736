"""Max-min fair division of a total."""

import math
from collections.abc import Iterable

__all__ = ["even_share"]


def even_share(amounts: Iterable[float], total: float) -> float:
    """Return the most that each may have of a total; infinite if it suffices for all.

    Who wants less than an even share gets all of it; the rest is divided evenly among
    the others.

    :param amounts: what each wants.
    :param total: what there is, in the same unit.
    """
    ascending = sorted(amounts)
    left = total
    for index, amount in enumerate(ascending):
        share = left / (len(ascending) - index)
        if amount > share:
            return share
        left -= amount
    return math.inf
