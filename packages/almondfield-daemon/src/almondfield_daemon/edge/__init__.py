"""HTTP endpoints of a host for callers and backend servers."""

from almondfield_daemon.edge.core import FleetMembership, build_caller_app

__all__ = ["FleetMembership", "build_caller_app"]
