"""One daemon, composed of its parts."""

from almondfield_daemon.runtime.core import Daemon
from almondfield_daemon.runtime.secrets import Secrets, load_secrets

__all__ = ["Daemon", "Secrets", "load_secrets"]
