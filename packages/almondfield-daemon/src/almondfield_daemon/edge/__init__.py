"""The HTTP face of a host towards callers and backend servers."""

from almondfield_daemon.edge.core import FleetMembership, build_caller_app

__all__ = ["FleetMembership", "build_caller_app"]
