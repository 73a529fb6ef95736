"""Estimate of the delay that this host adds to all messages."""

import statistics

from almondfield_core.clock import now

__all__ = ["HostDelay"]

RECENT_S = 5.0  # several intervals between requests to the same host
MIN_HOSTS = 3  # with fewer, a slow host can't be told from a slow link of this one
LATE_S = 0.25  # many round trips between data centres


class HostDelay:
    """Delay between the arrival of messages at this host and their handling.

    If the replies of most hosts take long, the cause is this host: its event loop is
    busy, or its link is full. Time-outs of single hosts then show nothing about them.
    """

    def __init__(self) -> None:
        # When the last reply of each host came, and how long it took, in seconds.
        self._last_reply_by_host: dict[str, tuple[float, float]] = {}

    def record_reply(self, host: str, reply_time_s: float) -> None:
        """Record a reply, in time or late.

        :param host: the host that replied.
        :param reply_time_s: seconds since the request was sent.
        """
        self._last_reply_by_host[host] = (now(), reply_time_s)

    def seconds(self) -> float:
        """Return the estimate in seconds; 0 if too few hosts replied recently."""
        cutoff_s = now() - RECENT_S
        recent = [
            reply_time_s
            for received_s, reply_time_s in self._last_reply_by_host.values()
            if received_s > cutoff_s
        ]
        return statistics.median_low(recent) if len(recent) >= MIN_HOSTS else 0.0

    @property
    def is_late(self) -> bool:
        """Return whether time-outs of other hosts are probably caused by this host."""
        return self.seconds() >= LATE_S
