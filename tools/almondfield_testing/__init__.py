"""Test support: a paused event loop per scenario and an in-memory network."""

from almondfield_testing.core import (
    InMemoryNetwork,
    InMemoryPeers,
    after_scenario,
    before_scenario,
    count_calls,
    in_loop,
    run,
)

__all__ = [
    "InMemoryNetwork",
    "InMemoryPeers",
    "after_scenario",
    "before_scenario",
    "count_calls",
    "in_loop",
    "run",
]
