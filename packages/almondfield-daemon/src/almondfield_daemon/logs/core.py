"""Writes log messages as JSON lines, bounded in number and never blocking."""

import asyncio
import os
from collections import Counter
from typing import Any

import msgspec

from almondfield_core.clock import now

__all__ = ["LineLog"]

LINES_PER_S = 200  # a router at the load of its processor serves fewer requests
BURST_LINES = 1000
MAX_PENDING_BYTES = 256 * 1024
SUMMARY_S = 1.0
DROPPED_FIELDS = ("task_uuid", "task_level")


class LineLog:
    """An eliot destination that writes to a descriptor.

    Lines beyond the bound, and lines that the reader does not take, are counted by
    kind; a line tells the counts once a second while there are any.

    :param descriptor: where to write; it is set not to block.
    :param host: name of the host, written in each line.
    """

    def __init__(self, descriptor: int, host: str) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._host = host
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._pending = bytearray()
        self._is_scheduled = False
        self._allowance = float(BURST_LINES)
        self._refilled_s = 0.0
        self._omitted_by_kind: Counter[str] = Counter()
        self._told_s = 0.0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message.

        :param message: the message as eliot gives it.
        """
        kind = str(message.get("message_type", message.get("action_type", "")))
        if not self._may_write():
            self._omitted_by_kind[kind] += 1
            return
        fields = {k: v for k, v in message.items() if k not in DROPPED_FIELDS}
        self._put(kind, {"host": self._host} | fields)
        self._tell_omitted()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._is_scheduled = False
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            # Goes out with the next line, or is counted once the bound is reached.
            pass

    def _put(self, kind: str, fields: dict[str, Any]) -> None:
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
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self.flush)

    def _may_write(self) -> bool:
        try:
            moment_s = now()
        except RuntimeError:
            return True
        earned = (moment_s - self._refilled_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + max(0.0, earned))
        self._refilled_s = moment_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _tell_omitted(self) -> None:
        if not self._omitted_by_kind:
            return
        moment_s = now()
        if moment_s - self._told_s < SUMMARY_S:
            return
        self._told_s = moment_s
        omitted, self._omitted_by_kind = self._omitted_by_kind, Counter()
        fields = {"message_type": "log:omitted", "count_by_kind": dict(omitted)}
        self._put("log:omitted", {"host": self._host} | fields)
