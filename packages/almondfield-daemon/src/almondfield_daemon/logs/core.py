"""Writes log messages as JSON lines, at a bounded rate and without blocking."""

import asyncio
import os
from collections import Counter
from typing import Any

import msgspec

from almondfield_core.clock import now

__all__ = ["LineLog"]

LINES_PER_S = 200  # more than the requests of a router at full processor load
BURST_LINES = 1000
MAX_PENDING_BYTES = 256 * 1024
SUMMARY_INTERVAL_S = 1.0
DROPPED_FIELDS = ("task_uuid", "task_level")
# At most one line a second and pool; they count what is beyond the limit.
PERIODIC_KINDS = frozenset(
    ("daemon:usage", "request:counts", "scheduler:load", "scheduler:teams")
)


class LineLog:
    """An eliot destination that writes to a file descriptor.

    Lines beyond the rate limit, except those of periodic counts, and lines that exceed
    the buffer because the reader is slow, are omitted and counted by kind. A summary
    line reports these counts at most once a second.

    :param descriptor: file descriptor to write to; it is set to non-blocking mode.
    :param host: name of the host, added to each line.
    """

    def __init__(self, descriptor: int, host: str) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._host = host
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._pending = bytearray()
        self._is_flush_scheduled = False
        self._allowance = float(BURST_LINES)
        self._refilled_s = 0.0
        self._omitted_by_kind: Counter[str] = Counter()
        self._summary_written_s = 0.0

    def __call__(self, message: dict[str, Any]) -> None:
        """Log one message.

        :param message: the message, as passed by eliot.
        """
        kind = str(message.get("message_type", message.get("action_type", "")))
        if kind not in PERIODIC_KINDS and not self._may_write():
            self._omitted_by_kind[kind] += 1
            return
        fields = {k: v for k, v in message.items() if k not in DROPPED_FIELDS}
        self._append(kind, {"host": self._host} | fields)
        self._write_summary()

    def flush(self) -> None:
        """Write pending lines, as far as the descriptor accepts them."""
        self._is_flush_scheduled = False
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            # The rest is written with the next line. Once the buffer is full, further
            # lines are counted as omitted.
            pass

    def _append(self, kind: str, fields: dict[str, Any]) -> None:
        line = self._encoder.encode(fields) + b"\n"
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._omitted_by_kind[kind] += 1
            return
        self._pending += line
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            loop.call_soon(self.flush)

    def _may_write(self) -> bool:
        try:
            now_s = now()
        except RuntimeError:
            return True
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + max(0.0, refill))
        self._refilled_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _write_summary(self) -> None:
        if not self._omitted_by_kind:
            return
        now_s = now()
        if now_s - self._summary_written_s < SUMMARY_INTERVAL_S:
            return
        self._summary_written_s = now_s
        omitted, self._omitted_by_kind = self._omitted_by_kind, Counter()
        fields = {"message_type": "log:omitted", "count_by_kind": dict(omitted)}
        self._append("log:omitted", {"host": self._host} | fields)
