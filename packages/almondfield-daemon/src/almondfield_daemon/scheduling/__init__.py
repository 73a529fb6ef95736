"""Routers ask the leading control host for model engines."""

from almondfield_daemon.scheduling.client import EngineClient, EnginePlace
from almondfield_daemon.scheduling.service import EngineService

__all__ = ["EngineClient", "EnginePlace", "EngineService"]
