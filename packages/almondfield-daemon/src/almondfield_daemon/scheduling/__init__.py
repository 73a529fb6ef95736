"""Requests for model engines from routers to the leading control host."""

from almondfield_daemon.scheduling.client import EngineClient, EnginePlace
from almondfield_daemon.scheduling.service import EngineService

__all__ = ["EngineClient", "EnginePlace", "EngineService"]
