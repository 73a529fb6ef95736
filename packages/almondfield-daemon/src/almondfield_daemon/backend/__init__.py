"""Calls to backend servers over HTTP/1.1."""

from almondfield_daemon.backend.core import HttpBackends

__all__ = ["HttpBackends"]
