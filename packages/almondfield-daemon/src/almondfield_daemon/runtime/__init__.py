"""The parts of one daemon, wired together."""

from almondfield_daemon.runtime.core import Daemon
from almondfield_daemon.runtime.secrets import Secrets, load_secrets

__all__ = ["Daemon", "Secrets", "load_secrets"]
