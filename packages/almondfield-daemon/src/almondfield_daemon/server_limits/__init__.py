"""Requests a second that backend servers take from all routers together."""

from almondfield_daemon.server_limits.client import ServerLimits
from almondfield_daemon.server_limits.messages import NamedLimit
from almondfield_daemon.server_limits.rate_limit import RateLimit
from almondfield_daemon.server_limits.service import LimitService

__all__ = ["LimitService", "NamedLimit", "RateLimit", "ServerLimits"]
