"""HTTP listeners of the daemon."""

from almondfield_daemon.serving.core import HttpListener, ListenError, bind

__all__ = ["HttpListener", "ListenError", "bind"]
