"""How many requests a cold server may get, and how that is divided."""

import math
from dataclasses import dataclass

__all__ = [
    "COLD_WINDOW_S",
    "PART_LIFETIME_S",
    "PART_SPACING_S",
    "PERMIT_LIFETIME_S",
    "WARM_WINDOW_S",
    "ColdBound",
]

BOUND_WINDOW_S = 1.0
# Time from the question for a permit until the request has to be sent. It covers the
# reply of the leader and a new connection to another data centre.
PERMIT_LIFETIME_S = 0.4
# What is sent within one second was permitted within this time.
COLD_WINDOW_S = BOUND_WINDOW_S + PERMIT_LIFETIME_S
# Admissions to warm servers don't expire; they usually arrive within 0.1 s.
WARM_WINDOW_S = BOUND_WINDOW_S + 0.1
WARM_MARGIN = 1
PART_SPACING_S = COLD_WINDOW_S
PART_LIFETIME_S = 5.0  # outlasts elections; a new leader waits as long
MAX_PARTS_SHARE = 1 / 4  # of the bound; the rest allows the leader the whole rate


@dataclass(frozen=True)
class ColdBound:
    """Most requests that one cold server gets in a second, over all routers.

    :ivar overrun: requests for each one that the server tolerates.
    :ivar slack: further requests.
    """

    overrun: float = 1.5
    slack: float = 5.0

    def total(self, per_s: float) -> int:
        """Return the most requests in any second.

        :param per_s: requests a second that a cold server tolerates.
        """
        return math.floor(per_s * self.overrun + self.slack)

    def parts(self, per_s: float) -> int:
        """Return how many routers may send one request a second without a leader.

        :param per_s: requests a second that a cold server tolerates.
        """
        return math.floor(MAX_PARTS_SHARE * self.total(per_s))

    def permits(self, per_s: float) -> int:
        """Return the most permits of the leader in :data:`COLD_WINDOW_S`.

        :param per_s: requests a second that a cold server tolerates.
        """
        return self.total(per_s) - self.parts(per_s)

    def admissions(self, per_s: float) -> int:
        """Return the most admissions to a warm server in :data:`WARM_WINDOW_S`.

        :param per_s: requests a second that the server tolerates when it is cold.
        """
        return max(1, self.total(per_s) - WARM_MARGIN)
