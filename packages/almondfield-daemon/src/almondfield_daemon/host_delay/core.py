"""Estimate of the delay that this host adds to all messages."""

import statistics

from almondfield_core.clock import now

__all__ = ["HostDelay"]

RECENT_S = 5.0  # several intervals between requests to the same host
MIN_HOSTS = 3  # with fewer, a slow host can't be told from a slow link of this one
LATE_S = 0.25  # many round trips between data centres
MAX_ALLOWANCE_S = 0.5  # callers abandon answers and streams that pause for much longer
LOOP_DELAY_S = 1.0  # for how long a delay of the event loop counts


class HostDelay:
    """Delay between the arrival of messages at this host and their handling.

    If the replies of most hosts take long, the cause is this host: its event loop is
    busy, or its link is full. Timeouts of single hosts then show nothing about them.
    """

    def __init__(self) -> None:
        # When the last reply of each host came, and how long it took, in seconds.
        self._last_reply_by_host: dict[str, tuple[float, float]] = {}
        self._loop_delay_s = 0.0
        self._loop_delayed_until_s = float("-inf")

    def record_reply(self, host: str, reply_time_s: float) -> None:
        """Record a reply, in time or late.

        :param host: the host that replied.
        :param reply_time_s: seconds since the request was sent.
        """
        self._last_reply_by_host[host] = (now(), reply_time_s)

    def record_loop_delay(self, delay_s: float) -> None:
        """Record the longest delay of the event loop in a short interval.

        :param delay_s: the delay in seconds.
        """
        if delay_s >= self._loop_delay_s or now() >= self._loop_delayed_until_s:
            self._loop_delay_s = delay_s
            self._loop_delayed_until_s = now() + LOOP_DELAY_S

    @property
    def loop_delay_s(self) -> float:
        """Return the longest recent delay of the event loop, in seconds."""
        return 0.0 if now() >= self._loop_delayed_until_s else self._loop_delay_s

    def allowance_s(self) -> float:
        """Return by how much longer to wait for servers, in seconds."""
        return min(self.seconds(), MAX_ALLOWANCE_S)

    def seconds(self) -> float:
        """Return the estimate in seconds.

        If too few hosts replied recently, only the event loop's delay is known.
        """
        cutoff_s = now() - RECENT_S
        recent = [
            reply_time_s
            for received_s, reply_time_s in self._last_reply_by_host.values()
            if received_s > cutoff_s
        ]
        if len(recent) < MIN_HOSTS:
            return self.loop_delay_s
        return max(self.loop_delay_s, statistics.median_low(recent))

    @property
    def is_late(self) -> bool:
        """Return whether timeouts of other hosts are probably caused by this host."""
        return self.seconds() >= LATE_S
