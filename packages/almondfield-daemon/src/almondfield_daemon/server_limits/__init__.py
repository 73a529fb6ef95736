"""Requests a second that backend servers take from all routers together."""

from almondfield_daemon.server_limits.client import ServerLimits
from almondfield_daemon.server_limits.cold_bound import ColdBound
from almondfield_daemon.server_limits.cold_servers import ColdServers, is_cold_time
from almondfield_daemon.server_limits.messages import NamedCold, NamedLimit
from almondfield_daemon.server_limits.rate_limit import RateLimit
from almondfield_daemon.server_limits.refusal_spread import RefusalSpread
from almondfield_daemon.server_limits.service import LimitService

__all__ = [
    "ColdBound",
    "ColdServers",
    "LimitService",
    "NamedCold",
    "NamedLimit",
    "RateLimit",
    "RefusalSpread",
    "ServerLimits",
    "is_cold_time",
]
