"""Slows streams that send more than a router can pass on beside its other requests."""

import asyncio

from almondfield_core.clock import now
from almondfield_core.settings import AnswerSettings

__all__ = ["StreamPace", "StreamPacing"]


class StreamPacing:
    """The work that all streams of a router may cause.

    A stream is passed on at any speed up to its burst. Beyond it, it goes on at a rate
    of its own, and all streams that are beyond their bursts share one rate.

    :param limits: limits on answers.
    """

    def __init__(self, limits: AnswerSettings) -> None:
        self.limits = limits
        self._waiting_count = 0

    async def wait(self, excess_bytes: float) -> None:
        """Return once the work beyond a stream's burst is paid off.

        :param excess_bytes: the work, as bytes.
        """
        self._waiting_count += 1
        shared_rate = self.limits.slowed_streams_bytes_per_s / self._waiting_count
        rate = min(self.limits.slowed_stream_bytes_per_s, shared_rate)
        try:
            await asyncio.sleep(excess_bytes / rate)
        finally:
            self._waiting_count -= 1


class StreamPace:
    """The work that one stream has caused.

    Nothing is read from its server while it waits, but what fits in the buffers.

    :param pacing: the work of all streams.

    :ivar waited_s: seconds that the stream has waited.
    """

    def __init__(self, pacing: StreamPacing) -> None:
        self._pacing = pacing
        self._limits = pacing.limits
        self._allowed_bytes = float(self._limits.stream_burst_bytes)
        self._counted_s = now()
        self.waited_s = 0.0

    async def spend(self, size_bytes: int, event_count: int) -> None:
        """Record events, and return once the stream may go on.

        :param size_bytes: size of the events.
        :param event_count: number of events and of other blocks of lines.
        """
        limits = self._limits
        began_s = now()
        earned = (began_s - self._counted_s) * limits.slowed_stream_bytes_per_s
        self._counted_s = began_s
        allowed = min(limits.stream_burst_bytes, self._allowed_bytes + earned)
        self._allowed_bytes = allowed - size_bytes - event_count * limits.event_bytes
        if self._allowed_bytes >= 0:
            return
        try:
            await self._pacing.wait(-self._allowed_bytes)
        finally:
            self._counted_s = now()
            self.waited_s += self._counted_s - began_s
        self._allowed_bytes = 0.0
