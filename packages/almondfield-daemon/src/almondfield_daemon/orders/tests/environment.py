"""Runs each scenario in a paused event loop; scenarios with sockets wait for them."""

from almondfield_daemon.peers.tests.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
