"""Daemons of a fleet whose hosts discover each other from seeds."""

from almondfield_daemon.fleet_daemon.control import ControlHost
from almondfield_daemon.fleet_daemon.core import FleetHost
from almondfield_daemon.fleet_daemon.loop import SuspendAwareLoop
from almondfield_daemon.fleet_daemon.router import RouterHost
from almondfield_daemon.fleet_daemon.stop_signal import StopSignal

__all__ = ["ControlHost", "FleetHost", "RouterHost", "StopSignal", "SuspendAwareLoop"]
