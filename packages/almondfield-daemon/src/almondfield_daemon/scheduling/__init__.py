"""Requests for model engines from routers to the leading control host."""

from almondfield_daemon.scheduling.assignment import EngineAssignment
from almondfield_daemon.scheduling.client import EngineClient
from almondfield_daemon.scheduling.service import EngineService

__all__ = ["EngineAssignment", "EngineClient", "EngineService"]
