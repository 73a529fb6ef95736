"""Support for features under a paused clock."""

from almondfield_testing.core import (
    InMemoryNetwork,
    InMemoryPeers,
    after_scenario,
    before_scenario,
    run,
)

__all__ = [
    "InMemoryNetwork",
    "InMemoryPeers",
    "after_scenario",
    "before_scenario",
    "run",
]
