"""Discovery of the hosts and backend servers of a fleet from a few seed hosts."""

from almondfield_daemon.fleet.control import FleetControl
from almondfield_daemon.fleet.messages import FleetServer, RouterState, ServerPhase
from almondfield_daemon.fleet.registry import ServerRegistry
from almondfield_daemon.fleet.routers import RouterDirectory
from almondfield_daemon.fleet.view import FleetView

__all__ = [
    "FleetControl",
    "FleetServer",
    "FleetView",
    "RouterDirectory",
    "RouterState",
    "ServerPhase",
    "ServerRegistry",
]
