"""Recent durations of a pool's requests, and a high quantile of them."""

import math
from collections import deque

from almondfield_core.clock import now

__all__ = ["RecentDurations"]

MAX_SAMPLES = 256  # a dozen of them are above the 95th percentile
MIN_SAMPLES = 40  # two of them are above the 95th percentile
SAMPLE_LIFETIME_S = 30.0
# A sort of all samples for each request would cost more than the request's timer.
QUANTILE_LIFETIME_S = 0.25


class RecentDurations:
    """The latest durations of one kind of request, for a limited time.

    :param quantile: quantile that is asked for, between 0 and 1.
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        # When each was recorded, in seconds of the loop's clock, and the duration.
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._high_s: float | None = None
        self._computed_s = -math.inf

    @property
    def is_empty(self) -> bool:
        """Return whether all samples are too old."""
        return not self._samples or self._samples[-1][0] < now() - SAMPLE_LIFETIME_S

    def record(self, duration_s: float) -> None:
        """Add a duration.

        :param duration_s: the duration in seconds.
        """
        self._samples.append((now(), duration_s))

    def high_s(self) -> float | None:
        """Return the quantile in seconds; None with too few samples.

        It may be a fraction of a second old.
        """
        at_s = now()
        if at_s - self._computed_s >= QUANTILE_LIFETIME_S:
            self._computed_s = at_s
            self._high_s = self._compute(at_s - SAMPLE_LIFETIME_S)
        return self._high_s

    def _compute(self, oldest_s: float) -> float | None:
        while self._samples and self._samples[0][0] < oldest_s:
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return None
        durations_s = sorted([duration_s for _, duration_s in self._samples])
        return durations_s[math.ceil(self._quantile * len(durations_s)) - 1]
