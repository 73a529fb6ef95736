"""Close of connections whose callers still write."""

import asyncio
from collections.abc import Callable

import eliot

from almondfield_core.clock import now

__all__ = ["STOP_LINGER_S", "LingeringTransport"]

LINGER_IDLE_S = 2.0  # a packet lost on the way is sent again within this time
LINGER_S = 10.0  # far less than callers may take for a head or a body
UNREAD_S = 30.0  # callers may pause while they handle a part of an answer
OUTPUT_CHECK_S = 0.1
STOP_LINGER_S = 0.1  # a stopping process has a small part of its grace period left
MAX_DISCARDED_BYTES = 64 * 1024 * 1024


class LingeringTransport:
    """Transport whose close waits for a caller that still writes its request.

    A close with unread bytes, or before further bytes arrive, resets the connection:
    the caller's write fails, and its answer may be discarded. Here the close ends the
    output after the answer, and discards what arrives until the caller closes too,
    within limits on the time and on the bytes. The limits on the time begin once the
    answer has left the write buffer; before, a caller must read on.

    :param transport: transport of the connection.
    :param is_unread: returns whether bytes of a request lie unread or may still arrive.
    :param on_linger: called when the close begins to wait.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        is_unread: Callable[[], bool],
        on_linger: Callable[[], None],
    ) -> None:
        self.write = transport.write
        self.abort = transport.abort
        self.get_extra_info = transport.get_extra_info
        self.get_write_buffer_size = transport.get_write_buffer_size
        self._transport = transport
        self._is_unread = is_unread
        self._on_linger = on_linger
        self._max_linger_s = LINGER_S
        self._until_s = 0.0
        self._began_s = 0.0
        self._received_s = 0.0
        self._is_output_sent = False
        self._buffered_bytes = 0
        self._sent_s = 0.0
        self._ended_by = "caller"
        self._discarded_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.is_lingering = False

    def is_closing(self) -> bool:
        """Return whether the connection is closed or its close waits."""
        return self.is_lingering or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection, or wait if its caller may still write.

        While an answer is sent, the caller may write another request.
        """
        if self._transport.get_write_buffer_size() or self._is_unread():
            self.linger()
        else:
            self.close_at_once()

    def close_at_once(self) -> None:
        """Close the connection without waiting for its caller."""
        if not self.is_closing():
            self._transport.close()

    def linger(self) -> None:
        """End the output and wait for the caller's end of the connection."""
        if self.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.close()
            return
        self.is_lingering = True
        self._began_s = self._sent_s = now()
        self._buffered_bytes = self._transport.get_write_buffer_size()
        self._transport.resume_reading()
        self._on_linger()
        self._check_time()

    def discard(self, data: bytes) -> None:
        """Discard what the caller has written meanwhile.

        :param data: the bytes.
        """
        self._received_s = now()
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            # What is still buffered is sent; the timer runs on until it is.
            self._end("bytes")

    def shorten_linger(self) -> None:
        """Wait less from now on, as the process stops."""
        self._max_linger_s = STOP_LINGER_S
        if self.is_lingering:
            self._until_s = min(self._until_s, now() + STOP_LINGER_S)
            self._check_time()

    def record_end(self, error: Exception | None) -> None:
        """Stop waiting, as the connection is closed, and log how the wait ended.

        :param error: error of the connection; None for a proper end.
        """
        self._stop_timer()
        if self.is_lingering:
            eliot.log_message(
                "connection:lingered",
                ended_by=self._ended_by if error is None else "reset",
                after_ms=round((now() - self._began_s) * 1000, 1),
                discarded_bytes=self._discarded_bytes,
            )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end(self, reason: str) -> None:
        self._ended_by = reason
        self._transport.close()

    def _check_time(self) -> None:
        self._stop_timer()
        buffered_bytes = self._transport.get_write_buffer_size()
        if buffered_bytes:
            self._check_output(buffered_bytes)
            return
        if not self._is_output_sent:
            self._is_output_sent = True
            self._received_s = now()
            self._until_s = now() + self._max_linger_s
        end_s = min(self._until_s, self._received_s + LINGER_IDLE_S)
        if now() < end_s:
            self._start_timer(end_s)
        elif end_s < self._until_s:
            self._end("silence")
        else:
            self._end("stop" if self._max_linger_s == STOP_LINGER_S else "time")

    def _check_output(self, buffered_bytes: int) -> None:
        """Wait on while the caller reads; discard the rest if it has stopped to."""
        if buffered_bytes < self._buffered_bytes:
            self._buffered_bytes = buffered_bytes
            self._sent_s = now()
        end_s = self._sent_s + UNREAD_S
        if now() < end_s:
            self._start_timer(min(end_s, now() + OUTPUT_CHECK_S))
        else:
            self._ended_by = "unread"
            self._transport.abort()

    def _start_timer(self, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(at_s, self._check_time)
