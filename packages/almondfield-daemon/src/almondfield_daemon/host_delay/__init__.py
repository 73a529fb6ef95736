"""The delay that this host itself adds to what others send it."""

from almondfield_daemon.host_delay.core import HostDelay

__all__ = ["HostDelay"]
