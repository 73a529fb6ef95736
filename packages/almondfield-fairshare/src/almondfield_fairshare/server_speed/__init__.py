"""Momentary slowdown of a backend server, by its own reports."""

from almondfield_fairshare.server_speed.core import (
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    Slowdown,
    largest_slowdowns,
)

__all__ = ["MAX_SLOWDOWN", "MIN_SLOWDOWN", "Slowdown", "largest_slowdowns"]
