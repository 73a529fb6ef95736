"""Structured logs as JSON lines."""

from almondfield_daemon.logs.core import LineLog
from almondfield_daemon.logs.libraries import capture_library_logs

__all__ = ["LineLog", "capture_library_logs"]
