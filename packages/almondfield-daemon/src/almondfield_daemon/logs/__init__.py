"""Structured logs as JSON lines."""

from almondfield_daemon.logs.core import LineLog
from almondfield_daemon.logs.libraries import take_library_messages

__all__ = ["LineLog", "take_library_messages"]
