"""Delays of an event loop, and how long requests waited before they were read."""

from almondfield_daemon.loop_delay.arrivals import (
    ARRIVAL_KEY,
    AcceptTimes,
    Arrival,
    ArrivalTracker,
    arrival_of,
    latest_arrival_s,
)
from almondfield_daemon.loop_delay.core import IterationTimes, LongestDelay
from almondfield_daemon.loop_delay.monitor import LoopMonitor

__all__ = [
    "ARRIVAL_KEY",
    "AcceptTimes",
    "Arrival",
    "ArrivalTracker",
    "IterationTimes",
    "LongestDelay",
    "LoopMonitor",
    "arrival_of",
    "latest_arrival_s",
]
