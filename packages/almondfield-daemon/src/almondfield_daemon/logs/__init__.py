"""Structured logs to standard output."""

from almondfield_daemon.logs.core import LineLog

__all__ = ["LineLog"]
