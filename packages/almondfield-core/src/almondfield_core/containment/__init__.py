"""Containment of unexpected errors in loops that run as long as a host."""

from almondfield_core.containment.core import contain_errors

__all__ = ["contain_errors"]
