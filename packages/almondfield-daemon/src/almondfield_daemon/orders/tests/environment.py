"""Runs each scenario in an event loop with simulated time.

Scenarios over real sockets get the event loop that the features of peers use.
"""

from almondfield_daemon.peers.tests.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
